#include "measure/report.h"

#include "measure/statistics.h"

#include <algorithm>
#include <cstdio>

namespace damaskhall::measure {

namespace {

std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.6g", value);
    return text;
}

std::string targetText(const Row &row)
{
    switch (row.bound) {
    case Bound::AtMost:
        return "<=" + number(row.target);
    case Bound::AtLeast:
        return ">=" + number(row.target);
    case Bound::None:
        break;
    }
    return "-";
}

} // namespace

std::vector<Row> summarise(const Figure &figure, const std::vector<double> &values,
                           const std::string &inputs)
{
    if (values.empty()) {
        return {};
    }
    const auto [lowest, highest] = std::minmax_element(values.begin(), values.end());
    const double worst = figure.bound == Bound::AtLeast ? *lowest : *highest;
    const Row middle{figure.name + ".median", median(values), figure.unit,
                     figure.target,           figure.bound,   inputs};
    const Row last{figure.name + ".worst", worst, figure.unit, figure.target, figure.bound, inputs};
    return {middle, last};
}

std::string verdict(const Row &row)
{
    switch (row.bound) {
    case Bound::AtMost:
        return row.value <= row.target ? "ok" : "short";
    case Bound::AtLeast:
        return row.value >= row.target ? "ok" : "short";
    case Bound::None:
        break;
    }
    return "-";
}

void printRow(std::ostream &out, const Row &row)
{
    out << row.name << ' ' << number(row.value) << ' ' << row.unit << ' ' << targetText(row) << ' '
        << verdict(row) << std::endl;
}

void writeCsv(std::ostream &out, const std::vector<Row> &rows, const MeasureOptions &options)
{
    out << "name,value,unit,target,verdict,seed,seeds,inputs\n";
    for (const Row &row : rows) {
        out << row.name << ',' << number(row.value) << ',' << row.unit << ',' << targetText(row)
            << ',' << verdict(row) << ',' << options.seed << ',' << options.seeds << ",\""
            << row.inputs << "\"\n";
    }
}

void append(std::vector<Row> &rows, const std::vector<Row> &more)
{
    rows.insert(rows.end(), more.begin(), more.end());
}

} // namespace damaskhall::measure
