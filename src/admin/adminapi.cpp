#include "admin/adminapi.h"

#include "config/declarationparser.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace damaskhall {

namespace {

using Json = nlohmann::json;

constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;
constexpr int HttpMethodNotAllowed = 405;
constexpr int HttpConflict = 409;
constexpr int HttpUnprocessable = 422;
constexpr int HttpUnavailable = 503;
constexpr int HttpGatewayTimeout = 504;
constexpr std::size_t MaxChangeIdLength = 64;
constexpr std::size_t MaxAuthorLength = 64;

AdminReply jsonReply(int status, const Json &json)
{
    return {status, "application/json", json.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

AdminReply errorReply(int status, const std::string &message)
{
    return jsonReply(status, {{"error", message}});
}

AdminReply errorReply(const Error &error)
{
    // Mistakes of the declaration are told without the step in front.
    if (error.code == ErrorCode::InvalidValue || error.code == ErrorCode::Oversized) {
        return errorReply(HttpUnprocessable, error.detail);
    }
    return errorReply(HttpUnavailable, toString(error));
}

Json entryJson(const HistoryEntry &entry)
{
    return {{"revision", entry.revision.value},
            {"change", entry.changeId},
            {"author", entry.author},
            {"time_ms", entry.time.value}};
}

AdminReply resultReply(const ChangeResult &result)
{
    static constexpr const char *Names[] = {"accepted", "refused", "unchanged", "unknown"};
    static constexpr int Statuses[] = {HttpOk, HttpConflict, HttpOk, HttpGatewayTimeout};
    const auto outcome = static_cast<std::size_t>(result.outcome);
    Json json = {{"outcome", Names[outcome]},
                 {"revision", result.revision.value},
                 {"reason", result.reason},
                 {"differences", result.differences}};
    if (result.winner) {
        json["winner"] = entryJson(*result.winner);
    }
    return jsonReply(Statuses[outcome], json);
}

std::string parameter(const AdminRequest &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

std::optional<std::uint64_t> numberParameter(const AdminRequest &request, const std::string &name)
{
    const std::string text = parameter(request, name);
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = code == std::errc() && end == text.data() + text.size();
    return isNumber ? std::optional(number) : std::nullopt;
}

bool isChangeId(const std::string &text)
{
    constexpr std::string_view Allowed = "0123456789abcdefghijklmnopqrstuvwxyz-";
    return !text.empty() && text.size() <= MaxChangeIdLength &&
           text.find_first_not_of(Allowed) == std::string::npos;
}

} // namespace

AdminApi::AdminApi(AdminHooks hooks, DeclarationStore &store)
    : m_hooks(std::move(hooks))
    , m_store(store)
{
}

bool AdminApi::isQuick(const AdminRequest &request)
{
    return request.path != "/stored" && request.path != "/history" && request.path != "/apply" &&
           request.path != "/settle";
}

AdminReply AdminApi::handle(const AdminRequest &request)
{
    const bool isChange = request.path == "/apply" || request.path == "/settle";
    if (request.method != (isChange ? "POST" : "GET")) {
        return errorReply(HttpMethodNotAllowed, isChange ? "expected POST" : "expected GET");
    }
    if (request.path == "/status") {
        return {HttpOk, "application/json", formatStatus(m_hooks.status())};
    }
    if (request.path == "/metrics") {
        return {HttpOk, "text/plain; version=0.0.4", m_hooks.metricsText()};
    }
    if (request.path == "/declaration") {
        return declaration();
    }
    if (request.path == "/stored") {
        return stored();
    }
    if (request.path == "/history") {
        return history();
    }
    if (request.path == "/apply") {
        return apply(request);
    }
    if (request.path == "/settle") {
        return settle(request);
    }
    return errorReply(HttpNotFound,
                      "expected /status, /declaration, /stored, /history, /metrics, /apply or "
                      "/settle");
}

AdminReply AdminApi::declaration() const
{
    const auto view = m_hooks.status().view;
    return jsonReply(HttpOk, {{"revision", view->declaration->revision.value},
                              {"declaration", formatDeclaration(*view->declaration)}});
}

AdminReply AdminApi::stored()
{
    const auto stored = m_store.read();
    if (!stored) {
        return errorReply(stored.assume_error());
    }
    const Envelope &envelope = stored.assume_value().envelope;
    return jsonReply(HttpOk, {{"version", stored.assume_value().version},
                              {"revision", envelope.revision.value},
                              {"change", envelope.changeId},
                              {"declaration", envelope.declaration}});
}

AdminReply AdminApi::history()
{
    const auto stored = m_store.read();
    if (!stored && !m_store.lastRead()) {
        return errorReply(stored.assume_error());
    }
    Json entries = Json::array();
    for (const HistoryEntry &entry : m_store.lastRead()->envelope.history) {
        entries.push_back(entryJson(entry));
    }
    // While the platform is away, the last known history is better than none.
    return jsonReply(HttpOk, {{"stale", !stored}, {"history", std::move(entries)}});
}

AdminReply AdminApi::apply(const AdminRequest &request)
{
    ChangeRequest change;
    change.declaration = request.body;
    change.changeId = parameter(request, "change");
    change.author = parameter(request, "author").substr(0, MaxAuthorLength);
    const auto version = numberParameter(request, "expected_version");
    if (!isChangeId(change.changeId) || !version) {
        return errorReply(HttpBadRequest, "expected the parameters change and expected_version");
    }
    change.expectedVersion = *version;
    if (request.query.contains("expected_change")) {
        change.expectedChange = parameter(request, "expected_change");
    }
    change.highestInForce =
            std::max(inForce(), Revision{numberParameter(request, "in_force").value_or(0)});
    if (request.query.contains("above_revision")) {
        const auto above = numberParameter(request, "above_revision");
        if (!above) {
            return errorReply(HttpBadRequest, "expected a number as above_revision");
        }
        change.aboveRevision = Revision{*above};
    }
    const auto result = m_store.apply(change);
    if (!result) {
        return errorReply(result.assume_error());
    }
    m_hooks.reportChange(change, result.assume_value());
    return resultReply(result.assume_value());
}

AdminReply AdminApi::settle(const AdminRequest &request)
{
    const std::string change = parameter(request, "change");
    if (!isChangeId(change)) {
        return errorReply(HttpBadRequest, "expected the parameter change");
    }
    const Revision reported{numberParameter(request, "in_force").value_or(0)};
    const auto result = m_store.settle(change, std::max(inForce(), reported));
    if (!result) {
        return errorReply(result.assume_error());
    }
    return resultReply(result.assume_value());
}

Revision AdminApi::inForce() const
{
    return m_hooks.status().view->declaration->revision;
}

} // namespace damaskhall
