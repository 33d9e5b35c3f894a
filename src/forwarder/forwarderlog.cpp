#include "forwarder/forwarderlog.h"

#include "forwarder/routemetrics.h"
#include "metrics/distribution.h"

#include <array>
#include <map>
#include <sstream>

namespace damaskhall {

namespace {

/// Lines about single flows per second and reason; the counters stay complete.
constexpr std::uint32_t MaxFlowLinesPerSecond = 20;
/// Lines about single upstreams per second: a start among thousands would write one for each before
/// it forwards a packet.
constexpr std::uint32_t MaxUpstreamLinesPerSecond = 50;

std::string hex(std::uint64_t value)
{
    std::ostringstream text;
    text << std::hex << value;
    return text.str();
}

std::string_view toString(UpstreamHealth health)
{
    switch (health) {
    case UpstreamHealth::Ready:
        return "ready";
    case UpstreamHealth::Unconfirmed:
        return "unconfirmed";
    case UpstreamHealth::Leaving:
        return "leaving";
    case UpstreamHealth::Gone:
        return "gone";
    case UpstreamHealth::Replaced:
        break;
    }
    return "replaced";
}

bool isRefusal(FlowAction action)
{
    return action == FlowAction::Reset || action == FlowAction::Drop;
}

} // namespace

struct ForwarderLog::Private
{
    /// Bounds the lines of one reason.
    struct Allowance
    {
        Milliseconds second{-1};
        std::uint32_t lines = 0;
        std::uint64_t left = 0;
    };

    Private(BoundedLog &boundedLog, Clock logClock)
        : log(boundedLog)
        , clock(std::move(logClock))
    {
    }

    // Returns the number of lines left out before this one, or nothing if this one is left out.
    static std::optional<std::uint64_t> pass(Allowance &allowance, Milliseconds now,
                                             std::uint32_t most = MaxFlowLinesPerSecond)
    {
        if (now - allowance.second >= 1_s || allowance.second < 0_ms) {
            allowance.second = now;
            allowance.lines = 0;
        }
        if (allowance.lines >= most) {
            ++allowance.left;
            return std::nullopt;
        }
        ++allowance.lines;
        return std::exchange(allowance.left, 0);
    }

    void reportPacket(const FlowPacket &packet, const FlowDecision &decision, Milliseconds now)
    {
        // Packets of known flows are counted only.
        if (decision.reason == FlowReason::Established || decision.action == FlowAction::Hold) {
            return;
        }
        const auto left = pass(allowances.at(static_cast<std::size_t>(decision.reason)), now);
        if (!left) {
            return;
        }
        const LogLevel level = isRefusal(decision.action) ? LogLevel::Warn : LogLevel::Info;
        log.log(level, "flow", toString(decision.action),
                {{"reason", std::string(toString(decision.reason))},
                 {"client", toString(packet.key.client)},
                 {"route", toString(packet.key.route)},
                 {"copy", std::to_string(packet.copy)},
                 {"upstream", hex(decision.upstream.id.value)},
                 {"cookie", hex(packet.cookie.value)},
                 {"version", std::to_string(decision.declaration.value)},
                 {"left_out", std::to_string(*left)}});
    }

    void reportAnswer(const FlowPacket &packet, UpstreamKey upstream, Milliseconds duration,
                      Milliseconds target)
    {
        const Milliseconds now = clock.now();
        const bool isLate = target > 0_ms && duration > target;
        routes.addAnswer(packet.key.route, duration, isLate, now);
        if (!isLate) {
            return;
        }
        if (const auto left = pass(lateAllowance, now)) {
            log.log(LogLevel::Warn, "flow", "late answer",
                    {{"client", toString(packet.key.client)},
                     {"route", toString(packet.key.route)},
                     {"upstream", hex(upstream.id.value)},
                     {"answer_ms", std::to_string(duration.value)},
                     {"target_ms", std::to_string(target.value)},
                     {"left_out", std::to_string(*left)}});
        }
    }

    BoundedLog &log;
    Clock clock;
    std::array<Allowance, FlowReasonCount> allowances{};
    Allowance lateAllowance;
    Allowance upstreamAllowance;
    RouteMetrics routes;
    Distribution storeCalls;
    Distribution newsAges;
    std::map<std::pair<StoreCall::Kind, StoreOutcome>, std::uint64_t> storeOutcomes;
    std::uint64_t mistakes = 0;
    std::uint64_t storeLosses = 0;
    std::uint64_t peerMistakes = 0;
    std::uint64_t probesAnswered = 0;
    std::uint64_t probesFailed = 0;
    std::array<std::uint64_t, ControlEventCount> peerEvents{};
    LogLimiter peerLimit{clock, 1_s};
};

ForwarderLog::ForwarderLog(BoundedLog &log, Clock clock)
    : m_d(std::make_unique<Private>(log, std::move(clock)))
{
}

ForwarderLog::~ForwarderLog() = default;

FlowRouterHooks ForwarderLog::flowHooks(RandomSource random)
{
    return {std::move(random),
            [d = m_d.get()](const FlowPacket &packet, const FlowDecision &decision,
                            Milliseconds now) { d->reportPacket(packet, decision, now); },
            [d = m_d.get()](const FlowPacket &packet, UpstreamKey upstream, Milliseconds duration,
                            Milliseconds target) {
                d->reportAnswer(packet, upstream, duration, target);
            },
            [d = m_d.get()](const FlowPacket &packet, Milliseconds duration) {
                d->routes.addOpening(packet.key.route, duration, d->clock.now());
            },
            {}};
}

FlowControllerHooks ForwarderLog::controlHooks(RandomSource random)
{
    FlowControllerHooks hooks;
    hooks.random = std::move(random);
    hooks.reportUpstream = [d = m_d.get()](const UpstreamRecord &record, Revision revision) {
        const auto left =
                Private::pass(d->upstreamAllowance, d->clock.now(), MaxUpstreamLinesPerSecond);
        if (!left) {
            return;
        }
        d->log.log(LogLevel::Info, "upstreams", "An upstream changed.",
                   {{"upstream", hex(record.entry.key.id.value)},
                    {"standing", std::string(toString(record.health))},
                    {"address", toString(record.entry.endpoint)},
                    {"born", std::to_string(record.entry.key.born.value)},
                    {"store_revision", std::to_string(revision.value)},
                    {"left_out", std::to_string(*left)}});
    };
    hooks.reportDirectory = [d = m_d.get()](StoreCall::Kind call, std::size_t upstreams,
                                            Revision revision) {
        const bool isList = call == StoreCall::Kind::List;
        d->log.log(LogLevel::Info, "upstreams", "The directory is complete.",
                   {{"source", isList ? "list" : "snapshot"},
                    {"upstreams", std::to_string(upstreams)},
                    {"store_revision", std::to_string(revision.value)}});
    };
    hooks.reportSnapshot = [d = m_d.get()](StoreOutcome outcome, const std::string &detail,
                                           Revision revision) {
        const bool isSaved = outcome == StoreOutcome::Done;
        d->log.log(isSaved ? LogLevel::Info : LogLevel::Warn, "store",
                   isSaved ? "A snapshot was saved." : "A snapshot was not saved.",
                   {{"outcome", std::string(toString(outcome))},
                    {"detail", detail},
                    {"store_revision", std::to_string(revision.value)}});
    };
    hooks.reportDeclaration = [d = m_d.get()](const RouteTable &table) {
        d->log.log(LogLevel::Info, "config", "A declaration is in force.",
                   {{"version", std::to_string(table.revision.value)},
                    {"routes", std::to_string(table.routes.size())}});
    };
    hooks.reportInvalidItem = [d = m_d.get()](const std::string &mistake, Revision revision) {
        ++d->mistakes;
        d->log.log(LogLevel::Warn, "store", "An item cannot be used.",
                   {{"mistake", mistake}, {"store_revision", std::to_string(revision.value)}});
    };
    hooks.reportStore = [d = m_d.get()](bool isAway, const std::string &detail) {
        d->storeLosses += isAway ? 1 : 0;
        d->log.log(isAway ? LogLevel::Warn : LogLevel::Info, "store",
                   isAway ? "The store was lost." : "The store is back.", {{"detail", detail}});
    };
    return hooks;
}

ControlHooks ForwarderLog::peerHooks(RandomSource random)
{
    return {std::move(random), [](RetryReason) {},
            [d = m_d.get()](ControlEvent event) {
                ++d->peerEvents.at(static_cast<std::size_t>(event));
            }};
}

void ForwarderLog::reportProbe(UpstreamKey upstream, Endpoint endpoint, bool isReachable)
{
    ++(isReachable ? m_d->probesAnswered : m_d->probesFailed);
    m_d->log.log(isReachable ? LogLevel::Debug : LogLevel::Warn, "upstreams",
                 isReachable ? "A silent upstream accepts connections."
                             : "A silent upstream accepts no connection.",
                 {{"upstream", hex(upstream.id.value)}, {"address", toString(endpoint)}});
}

void ForwarderLog::reportPeerMistake(const Error &error, Endpoint peer)
{
    ++m_d->peerMistakes;
    if (const auto left = m_d->peerLimit.pass("peer")) {
        m_d->log.log(LogLevel::Warn, "peers", "A datagram cannot be read.",
                     {{"peer", toString(peer)},
                      {"detail", toString(error)},
                      {"left_out", std::to_string(*left)}});
    }
}

void ForwarderLog::reportStart(const ForwarderSettings &settings)
{
    m_d->log.log(LogLevel::Info, "process", "Started.",
                 {{"name", settings.name},
                  {"version", DAMASKHALL_VERSION},
                  {"data_centre", settings.dataCentre},
                  {"listen", toString(settings.listen)}});
}

void ForwarderLog::reportStop(std::string_view sentence, const ForwarderSettings &settings)
{
    m_d->log.log(LogLevel::Info, "process", sentence, {{"name", settings.name}});
}

void ForwarderLog::reportReload(const ForwarderSettings &before, const ForwarderSettings &after)
{
    m_d->log.log(LogLevel::Info, "process", "The settings were read again.",
                 {{"log_level_before", before.logLevel}, {"log_level", after.logLevel}});
}

void ForwarderLog::reportReloadFailure(const Error &error)
{
    m_d->log.log(LogLevel::Error, "process", "The changed settings are wrong; the old ones stay.",
                 {{"mistakes", toString(error)}});
}

void ForwarderLog::reportStoreCall(StoreCall::Kind kind, StoreOutcome outcome,
                                   Milliseconds duration)
{
    ++m_d->storeOutcomes[{kind, outcome}];
    if (kind != StoreCall::Kind::Watch) {
        m_d->storeCalls.add(duration, m_d->clock.now());
    }
}

void ForwarderLog::reportNews(Milliseconds age)
{
    m_d->newsAges.add(age, m_d->clock.now());
}

std::string ForwarderLog::metrics(const State &state) const
{
    std::ostringstream text;
    for (int i = 0; i < FlowReasonCount; ++i) {
        const auto reason = static_cast<FlowReason>(i);
        text << "damaskhall_flow_packets_total{reason=\"" << toString(reason) << "\"} "
             << state.counts.byReason.at(static_cast<std::size_t>(i)) << "\n";
    }
    const Milliseconds now = m_d->clock.now();
    const auto confirmed = state.controller.confirmedAt();
    text << "damaskhall_flow_packets_not_held_total " << state.counts.heldTooMany << "\n"
         << "damaskhall_flows " << state.counts.flows << "\n"
         << "damaskhall_declaration_version " << state.controller.revision().value << "\n"
         << "damaskhall_directory_age_milliseconds "
         << (confirmed ? (now - *confirmed).value : now.value) << "\n"
         << "damaskhall_store_away " << (state.controller.isStoreUnreachable() ? 1 : 0) << "\n"
         << "damaskhall_store_losses_total " << m_d->storeLosses << "\n"
         << "damaskhall_store_mistakes_total " << m_d->mistakes << "\n";
    for (const auto &[call, count] : m_d->storeOutcomes) {
        text << "damaskhall_store_calls_total{call=\"" << toString(call.first) << "\",outcome=\""
             << toString(call.second) << "\"} " << count << "\n";
    }
    printDistribution(text, "damaskhall_store_call_milliseconds", "", m_d->storeCalls, now);
    printDistribution(text, "damaskhall_news_age_milliseconds", "", m_d->newsAges, now);
    text << "damaskhall_peers " << state.peers << "\n"
         << "damaskhall_peers_suspected_total "
         << m_d->peerEvents.at(static_cast<std::size_t>(ControlEvent::MemberSuspected)) << "\n"
         << "damaskhall_peer_mistakes_total " << m_d->peerMistakes << "\n"
         << "damaskhall_log_lines_lost_total " << state.lostLines << "\n"
         << "damaskhall_upstream_probes_total{result=\"reachable\"} " << m_d->probesAnswered << "\n"
         << "damaskhall_upstream_probes_total{result=\"unreachable\"} " << m_d->probesFailed
         << "\n";
    std::array<int, 5> healths{};
    for (const UpstreamRecord &record : state.controller.directory().records()) {
        ++healths.at(static_cast<std::size_t>(record.health));
    }
    for (int i = 0; i < static_cast<int>(healths.size()); ++i) {
        text << "damaskhall_upstreams{standing=\"" << toString(static_cast<UpstreamHealth>(i))
             << "\"} " << healths.at(static_cast<std::size_t>(i)) << "\n";
    }
    text << m_d->routes.text(now);
    return text.str();
}

} // namespace damaskhall
