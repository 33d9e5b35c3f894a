#include "config/settingvalues.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace damaskhall {

bool readEndpoint(const std::string &text, Endpoint &endpoint)
{
    const Result<Endpoint> parsed = parseEndpoint(text);
    if (!parsed) {
        return false;
    }
    endpoint = parsed.assume_value();
    return true;
}

bool readNumber(const std::string &text, double &number)
{
    const char *end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, number);
    return code == std::errc() && rest == end && std::isfinite(number);
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        std::string item = text.substr(begin, end - begin);
        std::erase(item, ' ');
        items.push_back(std::move(item));
        begin = end + 1;
    }
    return items;
}

bool readEndpoints(const std::string &text, std::vector<Endpoint> &endpoints)
{
    endpoints.clear();
    for (const std::string &item : splitList(text)) {
        Endpoint endpoint;
        if (!readEndpoint(item, endpoint)) {
            return false;
        }
        endpoints.push_back(endpoint);
    }
    return true;
}

bool readLogLevel(const std::string &text, std::string &level)
{
    const std::vector<std::string> levels = {"debug", "info", "warn", "error"};
    level = text;
    return std::find(levels.begin(), levels.end(), text) != levels.end();
}

} // namespace damaskhall
