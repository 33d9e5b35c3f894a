#include "apps/explain.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>

namespace damaskhall {

namespace {

/// Line of a log: "TIME LEVEL PART: SENTENCE NAME=VALUE ...".
struct Line
{
    std::string time;
    std::string part;
    std::string text;
};

std::optional<Line> parseLine(const std::string &text)
{
    std::istringstream words(text);
    Line line;
    std::string level;
    if (!(words >> line.time >> level >> line.part) || !line.part.ends_with(':')) {
        return std::nullopt;
    }
    line.part.pop_back();
    line.text = text;
    return line;
}

/// Returns the value of a field that has no blanks, or an empty string.
std::string field(const std::string &text, const std::string &name)
{
    const std::size_t begin = text.find(" " + name + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + name.size() + 2;
    return text.substr(value, text.find(' ', value) - value);
}

/// What the instance believed when it decided: the last line about each upstream of the flows, each
/// evacuated data centre, the store and the declaration.
class Beliefs
{
public:
    explicit Beliefs(const std::set<std::string> &upstreams)
        : m_upstreams(upstreams)
    {
    }

    void note(const Line &line)
    {
        if (line.part == "upstreams") {
            const std::string upstream = field(line.text, "upstream");
            if (m_upstreams.contains(upstream)) {
                m_last[line.part + upstream] = line;
            }
        } else if (line.part == "evacuation") {
            m_last[line.part + field(line.text, "data_centre")] = line;
        } else if (line.part == "store" || line.part == "config" || line.part == "process") {
            m_last[line.part] = line;
        }
    }

    /// Returns the lines since the last call.
    std::vector<Line> take()
    {
        std::vector<Line> lines;
        for (const auto &[key, line] : m_last) {
            lines.push_back(line);
        }
        m_last.clear();
        return lines;
    }

private:
    std::set<std::string> m_upstreams;
    std::map<std::string, Line> m_last;
};

std::vector<Line> parseLog(const std::string &text)
{
    std::vector<Line> lines;
    std::istringstream stream(text);
    for (std::string row; std::getline(stream, row);) {
        if (auto line = parseLine(row)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

bool concerns(const Line &line, const std::string &client)
{
    return line.part == "flow" && field(line.text, "client") == client;
}

} // namespace

std::vector<std::string> explainClient(const std::vector<InstanceLog> &logs, Endpoint client)
{
    const std::string name = toString(client);
    std::vector<std::pair<std::string, std::string>> story;
    for (const InstanceLog &log : logs) {
        const std::vector<Line> lines = parseLog(log.text);
        std::set<std::string> upstreams;
        for (const Line &line : lines) {
            if (concerns(line, name)) {
                upstreams.insert(field(line.text, "upstream"));
            }
        }
        Beliefs beliefs(upstreams);
        for (const Line &line : lines) {
            if (!concerns(line, name)) {
                beliefs.note(line);
                continue;
            }
            for (const Line &belief : beliefs.take()) {
                story.emplace_back(belief.time, log.name + " " + belief.text);
            }
            story.emplace_back(line.time, log.name + " " + line.text);
        }
    }
    std::stable_sort(story.begin(), story.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<std::string> rows;
    rows.reserve(story.size());
    for (const auto &[time, row] : story) {
        rows.push_back(row);
    }
    return rows;
}

} // namespace damaskhall
