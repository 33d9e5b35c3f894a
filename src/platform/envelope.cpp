#include "platform/envelope.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace damaskhall {

using Json = nlohmann::json;

const HistoryEntry *Envelope::findChange(const std::string &id) const
{
    const auto found = std::find_if(history.begin(), history.end(),
                                    [&id](const auto &entry) { return entry.changeId == id; });
    return found == history.end() ? nullptr : &*found;
}

Result<Envelope> parseEnvelope(const std::string &json, const std::string &peer)
{
    try {
        const Json object = Json::parse(json);
        Envelope envelope{Revision{object.at("revision").get<std::uint64_t>()},
                          object.value("change", ""),
                          object.at("declaration").get<std::string>(),
                          {},
                          object.value("era", std::uint32_t{0})};
        for (const Json &entry : object.value("history", Json::array())) {
            envelope.history.push_back({Revision{entry.at("revision").get<std::uint64_t>()},
                                        entry.at("change").get<std::string>(),
                                        entry.at("author").get<std::string>(),
                                        Milliseconds{entry.at("time_ms").get<std::int64_t>()}});
        }
        return envelope;
    } catch (const Json::exception &error) {
        return Error{ErrorCode::Malformed, Step::ReadPlatform, peer, error.what()};
    }
}

std::string formatEnvelope(const Envelope &envelope)
{
    Json history = Json::array();
    for (const HistoryEntry &entry : envelope.history) {
        history.push_back({{"revision", entry.revision.value},
                           {"change", entry.changeId},
                           {"author", entry.author},
                           {"time_ms", entry.time.value}});
    }
    const Json object = {{"revision", envelope.revision.value},
                         {"change", envelope.changeId},
                         {"declaration", envelope.declaration},
                         {"history", std::move(history)},
                         {"era", envelope.era}};
    // An author in another encoding must not make a change fail.
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace damaskhall
