#pragma once

#include "measure/measurement.h"

#include <ostream>
#include <string>
#include <vector>

namespace damaskhall::measure {

/// Name, unit and target of a figure; the target is that of docs/design.md, 1.5.
struct Figure
{
    std::string name;
    std::string unit;
    double target = 0;
    Bound bound = Bound::None;
};

/// Returns the rows NAME.median and NAME.worst of one figure over all seeds. Without a target,
/// the worst value is the highest. Thread safety: reentrant.
std::vector<Row> summarise(const Figure &figure, const std::vector<double> &values,
                           const std::string &inputs);

/// Returns "ok" or "short", or "-" for a row without a target. Thread safety: reentrant.
std::string verdict(const Row &row);

/// Writes "NAME VALUE UNIT TARGET ok|short" and a line end. Thread safety: none.
void printRow(std::ostream &out, const Row &row);

/// Writes a header and one line per row, with the inputs, as CSV. Thread safety: none.
void writeCsv(std::ostream &out, const std::vector<Row> &rows, const MeasureOptions &options);

/// Appends @p more to @p rows.
void append(std::vector<Row> &rows, const std::vector<Row> &more);

} // namespace damaskhall::measure
