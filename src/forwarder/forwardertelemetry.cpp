#include "forwarder/forwardertelemetry.h"

#include "config/declaration.h"
#include "forwarder/admissiontelemetry.h"
#include "forwarder/routemetrics.h"
#include "metrics/distribution.h"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

namespace damaskhall {

namespace {

/// Log lines about individual flows per second and reason; the counters still count every packet.
constexpr std::uint32_t MaxFlowLinesPerSecond = 20;
/// Log lines about individual upstreams per second. Without the limit, an instance that starts
/// among thousands of upstreams would log each of them before it forwards its first packet.
constexpr std::uint32_t MaxUpstreamLinesPerSecond = 50;
/// Log lines about the spillover of services per second.
constexpr std::uint32_t MaxSpillLinesPerSecond = 5;
/// Interval of the log line with the totals of the control traffic.
constexpr Milliseconds ControlTrafficLogInterval = 10_s;
constexpr std::array<std::string_view, 3> PeerDatagramNames = {"membership", "directory_update",
                                                               "changes_request"};

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

struct ForwarderTelemetry::Private
{
    /// Limits the number of log lines per second for one kind of line.
    struct LineRateLimit
    {
        Milliseconds windowStart{-1};
        std::uint32_t lines = 0;
        std::uint64_t suppressed = 0;
    };

    Private(BoundedLog &boundedLog, Clock logClock)
        : log(boundedLog)
        , clock(std::move(logClock))
    {
    }

    // Returns the number of lines suppressed since the last one that was logged, or nothing if this
    // one is suppressed.
    static std::optional<std::uint64_t> admitLine(LineRateLimit &limit, Milliseconds now,
                                                  std::uint32_t maxLines = MaxFlowLinesPerSecond)
    {
        if (now - limit.windowStart >= 1_s || limit.windowStart < 0_ms) {
            limit.windowStart = now;
            limit.lines = 0;
        }
        if (limit.lines >= maxLines) {
            ++limit.suppressed;
            return std::nullopt;
        }
        ++limit.lines;
        return std::exchange(limit.suppressed, 0);
    }

    void reportPacket(const FlowPacket &packet, const FlowDecision &decision, Milliseconds now)
    {
        // Packets of established flows and held packets are only counted.
        if (decision.reason == FlowReason::Established || decision.action == FlowAction::Hold) {
            return;
        }
        const auto suppressed =
                admitLine(reasonRateLimits.at(static_cast<std::size_t>(decision.reason)), now);
        if (!suppressed) {
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
                 {"left_out", std::to_string(*suppressed)}});
    }

    void reportAnswer(const FlowPacket &packet, UpstreamKey upstream, Milliseconds duration,
                      Milliseconds target)
    {
        const Milliseconds now = clock.now();
        const bool isLate = target > 0_ms && duration > target;
        routeMetrics.addAnswer(packet.key.route, duration, isLate, now);
        if (!isLate) {
            return;
        }
        if (const auto suppressed = admitLine(lateAnswerRateLimit, now)) {
            log.log(LogLevel::Warn, "flow", "late answer",
                    {{"client", toString(packet.key.client)},
                     {"route", toString(packet.key.route)},
                     {"upstream", hex(upstream.id.value)},
                     {"answer_ms", std::to_string(duration.value)},
                     {"target_ms", std::to_string(target.value)},
                     {"left_out", std::to_string(*suppressed)}});
        }
    }

    std::string dataCentreName(DataCentreId dataCentre) const
    {
        const auto found = dataCentreNames.find(dataCentre);
        return found == dataCentreNames.end() ? hex(dataCentre.value) : found->second;
    }

    void printEvacuations(std::ostream &text, const FlowController &controller,
                          Milliseconds now) const
    {
        std::map<DataCentreId, std::string> names = dataCentreNames;
        for (const auto &[dataCentre, evacuation] : controller.evacuated()) {
            names.emplace(dataCentre, hex(dataCentre.value));
        }
        for (const auto &[dataCentre, name] : names) {
            const auto found = controller.evacuated().find(dataCentre);
            const bool isEvacuated = found != controller.evacuated().end();
            const std::int64_t seconds =
                    isEvacuated ? (now - found->second.startedAt).value / 1000 : 0;
            text << "damaskhall_evacuated{data_centre=\"" << name << "\"} " << (isEvacuated ? 1 : 0)
                 << "\n"
                 << "damaskhall_evacuation_seconds{data_centre=\"" << name << "\"} " << seconds
                 << "\n";
        }
    }

    // The highest values are always there, so that alerts need not handle missing series.
    void printCapacity(std::ostream &text, const CapacityStatus &status) const
    {
        const auto printUpstream = [&text](const std::string &name, double share,
                                           Milliseconds age) {
            const std::string label = "{upstream=\"" + name + "\"} ";
            text << "damaskhall_refusing_upstream_share" << label << share << "\n"
                 << "damaskhall_refusing_upstream_age_milliseconds" << label << age.value << "\n";
        };
        CapacityStatus::RefusingUpstream highest;
        for (const auto &upstream : status.refusing) {
            printUpstream(hex(upstream.key.id.value), upstream.refusalShare, upstream.age);
            highest = upstream.refusalShare > highest.refusalShare ? upstream : highest;
        }
        printUpstream("highest", highest.refusalShare, highest.age);
        double highestShare = 0;
        for (const auto &spill : status.spills) {
            text << "damaskhall_spill_share{service=\"" << spill.service << "\"} " << spill.share
                 << "\n";
            highestShare = std::max(highestShare, spill.share);
        }
        text << "damaskhall_spill_share{service=\"highest\"} " << highestShare << "\n";
        printLoads(text, status.loads);
        text << "damaskhall_remote_flows_total{reason=\"spill\"} " << status.spilledFlows << "\n"
             << "damaskhall_remote_flows_total{reason=\"own_busy\"} " << status.otherRemoteFlows
             << "\n";
    }

    void printLoads(std::ostream &text, const std::vector<CapacityStatus::Load> &loads) const
    {
        const auto printLoad = [&text](const std::string &dataCentre,
                                       const CapacityStatus::Load &load) {
            const std::string label =
                    "{service=\"" + load.service + "\",data_centre=\"" + dataCentre + "\"} ";
            text << "damaskhall_data_centre_refusal_share" << label << load.refusalShare << "\n"
                 << "damaskhall_data_centre_slowdown" << label << load.slowdown << "\n"
                 << "damaskhall_data_centre_load_age_milliseconds" << label << load.age.value
                 << "\n";
        };
        CapacityStatus::Load highest;
        highest.service = "highest";
        for (const auto &load : loads) {
            printLoad(dataCentreName(load.dataCentre), load);
            highest.refusalShare = std::max(highest.refusalShare, load.refusalShare);
            highest.slowdown = std::max(highest.slowdown, load.slowdown);
            highest.age = std::max(highest.age, load.age);
        }
        printLoad("highest", highest);
    }

    BoundedLog &log;
    Clock clock;
    std::map<DataCentreId, std::string> dataCentreNames;
    LineRateLimit invalidItemRateLimit;
    std::array<LineRateLimit, FlowReasonCount> reasonRateLimits{};
    LineRateLimit lateAnswerRateLimit;
    LineRateLimit upstreamRateLimit;
    LineRateLimit withheldRateLimit;
    LineRateLimit probeRateLimit;
    std::uint64_t linkQueued = 0;
    /// When a packet last had to wait for the link; empty a second later.
    std::optional<Milliseconds> linkFullAt;
    LineRateLimit spillRateLimit;
    RouteMetrics routeMetrics;
    Distribution storeCallDurations;
    Distribution updateAges;
    struct Traffic
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    std::map<std::pair<StoreCall::Kind, StoreOutcome>, std::uint64_t> storeCallCounts;
    std::map<std::pair<StoreCall::Kind, StoreCall::Reason>, Traffic> storeTraffic;
    std::array<Traffic, PeerDatagramNames.size()> peerTraffic{};
    Milliseconds nextControlTrafficLine;
    std::uint64_t invalidItems = 0;
    std::uint64_t storeLosses = 0;
    std::uint64_t storeRestorations = 0;
    std::uint64_t peerDecodeErrors = 0;
    std::uint64_t probesSucceeded = 0;
    std::uint64_t probesFailed = 0;
    std::array<std::uint64_t, ControlEventCount> peerEventCounts{};
    LogLimiter peerLogLimiter{clock, 1_s};
    AdmissionLog admissionLog{log};
};

ForwarderTelemetry::ForwarderTelemetry(BoundedLog &log, Clock clock)
    : m_d(std::make_unique<Private>(log, std::move(clock)))
{
}

ForwarderTelemetry::~ForwarderTelemetry() = default;

void ForwarderTelemetry::setDataCentres(const std::vector<std::string> &names)
{
    for (const std::string &name : names) {
        m_d->dataCentreNames[DataCentreId{serviceId(name).value}] = name;
    }
}

FlowRouterHooks ForwarderTelemetry::flowHooks(RandomSource random)
{
    FlowRouterHooks hooks;
    hooks.random = std::move(random);
    hooks.report = [d = m_d.get()](const FlowPacket &packet, const FlowDecision &decision,
                                   Milliseconds now) { d->reportPacket(packet, decision, now); };
    hooks.reportAnswer = [d = m_d.get()](const FlowPacket &packet, UpstreamKey upstream,
                                         Milliseconds duration, Milliseconds target) {
        d->reportAnswer(packet, upstream, duration, target);
    };
    hooks.reportOpening = [d = m_d.get()](const FlowPacket &packet, Milliseconds duration) {
        d->routeMetrics.addOpening(packet.key.route, duration, d->clock.now());
    };
    hooks.reportWithheld = [d = m_d.get()](UpstreamKey upstream, WithheldReason reason) {
        if (const auto suppressed = Private::admitLine(d->withheldRateLimit, d->clock.now())) {
            d->log.log(LogLevel::Info, "flow", "An upstream is not taken as unreachable.",
                       {{"upstream", hex(upstream.id.value)},
                        {"reason", std::string(toString(reason))},
                        {"left_out", std::to_string(*suppressed)}});
        }
    };
    hooks.reportSpill = [d = m_d.get()](const std::string &service, bool isSpilling,
                                        const LoadEstimate &own) {
        const auto suppressed =
                Private::admitLine(d->spillRateLimit, d->clock.now(), MaxSpillLinesPerSecond);
        if (!suppressed) {
            return;
        }
        d->log.log(LogLevel::Info, "placement",
                   isSpilling ? "Flows leave the own data centre."
                              : "Flows stay in the own data centre again.",
                   {{"service", service},
                    {"refusal_share", std::to_string(own.refusalShare)},
                    {"slowdown", std::to_string(own.slowdown)},
                    {"left_out", std::to_string(*suppressed)}});
    };
    return hooks;
}

FlowControllerHooks ForwarderTelemetry::controlHooks(RandomSource random)
{
    FlowControllerHooks hooks;
    hooks.random = std::move(random);
    hooks.reportUpstream = [d = m_d.get()](const UpstreamRecord &record, StoreRevision revision) {
        const auto suppressed =
                Private::admitLine(d->upstreamRateLimit, d->clock.now(), MaxUpstreamLinesPerSecond);
        if (!suppressed) {
            return;
        }
        d->log.log(LogLevel::Info, "upstreams", "An upstream changed.",
                   {{"upstream", hex(record.entry.key.id.value)},
                    {"key_hash", hex(record.entry.key.id.keyHash)},
                    {"standing", std::string(toString(record.health))},
                    {"address", toString(record.entry.endpoint)},
                    {"born", std::to_string(record.entry.key.born.value)},
                    {"store_revision", toString(revision)},
                    {"left_out", std::to_string(*suppressed)}});
    };
    hooks.reportDirectory = [d = m_d.get()](StoreCall::Kind call, std::size_t upstreams,
                                            StoreRevision revision) {
        const bool isList = call == StoreCall::Kind::List;
        d->log.log(LogLevel::Info, "upstreams", "The directory is complete.",
                   {{"source", isList ? "list" : "snapshot"},
                    {"upstreams", std::to_string(upstreams)},
                    {"store_revision", toString(revision)}});
    };
    hooks.reportSnapshot = [d = m_d.get()](StoreOutcome outcome, const std::string &detail,
                                           StoreRevision revision) {
        const bool isSaved = outcome == StoreOutcome::Done;
        d->log.log(isSaved ? LogLevel::Info : LogLevel::Warn, "store",
                   isSaved ? "A snapshot was saved." : "A snapshot was not saved.",
                   {{"outcome", std::string(toString(outcome))},
                    {"detail", detail},
                    {"store_revision", toString(revision)}});
    };
    hooks.reportDeclaration = [d = m_d.get()](const RouteTable &table) {
        d->log.log(LogLevel::Info, "config", "A declaration is in force.",
                   {{"version", std::to_string(table.revision.value)},
                    {"routes", std::to_string(table.routes.size())}});
    };
    hooks.reportInvalidItem = [d = m_d.get()](const std::string &error, StoreRevision revision) {
        ++d->invalidItems;
        if (const auto suppressed = Private::admitLine(d->invalidItemRateLimit, d->clock.now())) {
            d->log.log(LogLevel::Warn, "store", "An item cannot be used.",
                       {{"mistake", error},
                        {"store_revision", toString(revision)},
                        {"left_out", std::to_string(*suppressed)}});
        }
    };
    hooks.reportEvacuation = [d = m_d.get()](DataCentreId dataCentre, bool isEvacuated,
                                             StoreRevision revision) {
        d->log.log(LogLevel::Info, "evacuation",
                   isEvacuated ? "A data centre is evacuated." : "An evacuation has ended.",
                   {{"data_centre", d->dataCentreName(dataCentre)},
                    {"store_revision", toString(revision)}});
    };
    hooks.reportStore = [d = m_d.get()](bool isUnreachable, const std::string &detail) {
        d->storeLosses += isUnreachable ? 1 : 0;
        d->log.log(isUnreachable ? LogLevel::Warn : LogLevel::Info, "store",
                   isUnreachable ? "The store was lost." : "The store is back.",
                   {{"detail", detail}});
    };
    hooks.reportStoreEra = [d = m_d.get()](StoreRevision known, StoreRevision current) {
        ++d->storeRestorations;
        d->log.log(LogLevel::Warn, "store", "The store has returned from an older copy.",
                   {{"known_revision", toString(known)}, {"store_revision", toString(current)}});
    };
    return hooks;
}

ControlHooks ForwarderTelemetry::peerHooks(RandomSource random)
{
    return {std::move(random), [](RetryReason) {},
            [d = m_d.get()](ControlEvent event) {
                ++d->peerEventCounts.at(static_cast<std::size_t>(event));
            }};
}

void ForwarderTelemetry::reportProbeResult(UpstreamKey upstream, Endpoint endpoint,
                                           bool isReachable)
{
    ++(isReachable ? m_d->probesSucceeded : m_d->probesFailed);
    const auto suppressed = Private::admitLine(m_d->probeRateLimit, m_d->clock.now());
    if (!suppressed) {
        return;
    }
    m_d->log.log(isReachable ? LogLevel::Debug : LogLevel::Warn, "upstreams",
                 isReachable ? "A connection attempt to an upstream succeeded."
                             : "A connection attempt to an upstream failed.",
                 {{"upstream", hex(upstream.id.value)},
                  {"address", toString(endpoint)},
                  {"left_out", std::to_string(*suppressed)}});
}

void ForwarderTelemetry::reportPeerDecodeError(const Error &error, Endpoint peer)
{
    ++m_d->peerDecodeErrors;
    if (const auto suppressed = m_d->peerLogLimiter.pass("peer")) {
        m_d->log.log(LogLevel::Warn, "peers", "A datagram cannot be read.",
                     {{"peer", toString(peer)},
                      {"detail", toString(error)},
                      {"left_out", std::to_string(*suppressed)}});
    }
}

void ForwarderTelemetry::reportStart(const ForwarderSettings &settings)
{
    for (const std::string &name : settings.dataCentres) {
        m_d->dataCentreNames[{serviceId(name).value}] = name;
    }
    m_d->dataCentreNames[{serviceId(settings.dataCentre).value}] = settings.dataCentre;
    m_d->log.log(LogLevel::Info, "process", "Started.",
                 {{"name", settings.name},
                  {"version", DAMASKHALL_VERSION},
                  {"data_centre", settings.dataCentre},
                  {"listen", toString(settings.listen)},
                  {"leaving_limit_ms", std::to_string(settings.leavingLimit.value)},
                  {"declaration_limit_ms", std::to_string(settings.declarationLimit.value)},
                  {"flow_lifetime_ms", std::to_string(settings.flowLifetime.value)},
                  {"stop_limit_ms", std::to_string(settings.stopLimit.value)}});
}

void ForwarderTelemetry::reportStopProgress(std::string_view message,
                                            const ForwarderSettings &settings)
{
    m_d->log.log(LogLevel::Info, "process", message, {{"name", settings.name}});
}

void ForwarderTelemetry::reportReload(const ForwarderSettings &before,
                                      const ForwarderSettings &after)
{
    m_d->log.log(LogLevel::Info, "process", "The settings were read again.",
                 {{"log_level_before", before.logLevel},
                  {"log_level", after.logLevel},
                  {"stop_limit_ms_before", std::to_string(before.stopLimit.value)},
                  {"stop_limit_ms", std::to_string(after.stopLimit.value)}});
}

void ForwarderTelemetry::reportReloadFailure(const Error &error)
{
    m_d->log.log(LogLevel::Error, "process", "The changed settings are wrong; the old ones stay.",
                 {{"mistakes", toString(error)}});
}

void ForwarderTelemetry::reportStoreCall(const StoreCall &call, StoreOutcome outcome,
                                         std::size_t bytes, Milliseconds duration)
{
    ++m_d->storeCallCounts[{call.kind, outcome}];
    Private::Traffic &traffic = m_d->storeTraffic[{call.kind, call.reason}];
    ++traffic.messages;
    traffic.bytes += bytes;
    if (call.kind != StoreCall::Kind::Watch) {
        m_d->storeCallDurations.add(duration, m_d->clock.now());
    }
}

void ForwarderTelemetry::countPeerDatagram(PeerDatagram kind, std::size_t bytes)
{
    Private::Traffic &traffic = m_d->peerTraffic.at(static_cast<std::size_t>(kind));
    ++traffic.messages;
    traffic.bytes += bytes;
}

void ForwarderTelemetry::reportControlTraffic()
{
    const Milliseconds now = m_d->clock.now();
    if (now < m_d->nextControlTrafficLine) {
        return;
    }
    m_d->nextControlTrafficLine = now + ControlTrafficLogInterval;
    std::ostringstream calls;
    for (const auto &[call, traffic] : m_d->storeTraffic) {
        calls << (calls.tellp() > 0 ? "," : "") << toString(call.first) << "/"
              << toString(call.second) << ":" << traffic.messages << ":" << traffic.bytes;
    }
    const auto &[membership, updates, requests] = m_d->peerTraffic;
    m_d->log.log(LogLevel::Info, "control", "Control traffic since the start.",
                 {{"store_calls_and_bytes", calls.str()},
                  {"membership_datagrams", std::to_string(membership.messages)},
                  {"membership_bytes", std::to_string(membership.bytes)},
                  {"update_datagrams", std::to_string(updates.messages)},
                  {"update_bytes", std::to_string(updates.bytes)},
                  {"changes_requests", std::to_string(requests.messages)}});
}

void ForwarderTelemetry::reportLink(const LinkSchedulerCounters &link)
{
    const Milliseconds now = m_d->clock.now();
    const bool isQueueing = link.queued != std::exchange(m_d->linkQueued, link.queued);
    const bool wasFull = m_d->linkFullAt.has_value();
    if (isQueueing) {
        m_d->linkFullAt = now;
    }
    const bool isOver = wasFull && !isQueueing && now - *m_d->linkFullAt >= 1_s;
    if (isOver) {
        m_d->linkFullAt.reset();
    }
    if (isOver || (isQueueing && !wasFull)) {
        m_d->log.log(isOver ? LogLevel::Info : LogLevel::Warn, "link",
                     isOver ? "No packet waits for the link any more."
                            : "Packets wait for the link.",
                     {{"queued", std::to_string(link.queued)},
                      {"dropped", std::to_string(link.dropped)},
                      {"longest_wait_ms", std::to_string(link.longestWait.value)}});
    }
}

void ForwarderTelemetry::reportAdmission(const AdmissionReport &report)
{
    m_d->admissionLog.report(report, m_d->clock.now());
}

void ForwarderTelemetry::reportUpdateAge(Milliseconds age)
{
    m_d->updateAges.add(age, m_d->clock.now());
}

std::string ForwarderTelemetry::metrics(const MetricsInput &input) const
{
    std::ostringstream text;
    for (int i = 0; i < FlowReasonCount; ++i) {
        const auto reason = static_cast<FlowReason>(i);
        text << "damaskhall_flow_packets_total{reason=\"" << toString(reason) << "\"} "
             << input.counters.byReason.at(static_cast<std::size_t>(i)) << "\n";
    }
    const Milliseconds now = m_d->clock.now();
    const auto confirmedAt = input.controller.confirmedAt();
    text << "damaskhall_flow_packets_not_held_total " << input.counters.holdQueueOverflows << "\n"
         << "damaskhall_flows " << input.counters.flows << "\n"
         << "damaskhall_link_queued_total " << input.counters.link.queued << "\n"
         << "damaskhall_link_superseded_total " << input.counters.link.superseded << "\n"
         << "damaskhall_link_dropped_total " << input.counters.link.dropped << "\n"
         << "damaskhall_link_waiting_bytes " << input.counters.link.waitingBytes << "\n"
         << "damaskhall_link_longest_wait_milliseconds " << input.counters.link.longestWait.value
         << "\n"
         << "damaskhall_declaration_version " << input.controller.revision().value << "\n"
         << "damaskhall_directory_age_milliseconds "
         << (confirmedAt ? (now - *confirmedAt).value : now.value) << "\n"
         << "damaskhall_store_away " << (input.controller.isStoreUnreachable() ? 1 : 0) << "\n"
         << "damaskhall_store_losses_total " << m_d->storeLosses << "\n"
         << "damaskhall_store_restorations_total " << m_d->storeRestorations << "\n"
         << "damaskhall_store_mistakes_total " << m_d->invalidItems << "\n";
    for (const auto &[call, count] : m_d->storeCallCounts) {
        text << "damaskhall_store_calls_total{call=\"" << toString(call.first) << "\",outcome=\""
             << toString(call.second) << "\"} " << count << "\n";
    }
    for (const auto &[call, traffic] : m_d->storeTraffic) {
        text << "damaskhall_store_received_bytes_total{call=\"" << toString(call.first)
             << "\",reason=\"" << toString(call.second) << "\"} " << traffic.bytes << "\n"
             << "damaskhall_store_calls_by_reason_total{call=\"" << toString(call.first)
             << "\",reason=\"" << toString(call.second) << "\"} " << traffic.messages << "\n";
    }
    for (std::size_t i = 0; i < PeerDatagramNames.size(); ++i) {
        text << "damaskhall_peer_sent_bytes_total{message=\"" << PeerDatagramNames.at(i) << "\"} "
             << m_d->peerTraffic.at(i).bytes << "\n";
    }
    printDistribution(text, "damaskhall_store_call_milliseconds", "", m_d->storeCallDurations, now);
    printDistribution(text, "damaskhall_news_age_milliseconds", "", m_d->updateAges, now);
    text << "damaskhall_peers " << input.peers << "\n"
         << "damaskhall_peers_suspected_total "
         << m_d->peerEventCounts.at(static_cast<std::size_t>(ControlEvent::MemberSuspected)) << "\n"
         << "damaskhall_peer_mistakes_total " << m_d->peerDecodeErrors << "\n"
         << "damaskhall_log_lines_lost_total " << input.lostLines << "\n"
         << "damaskhall_upstream_probes_total{result=\"reachable\"} " << m_d->probesSucceeded
         << "\n"
         << "damaskhall_upstream_probes_total{result=\"unreachable\"} " << m_d->probesFailed
         << "\n";
    for (int i = 0; i < WithheldReasonCount; ++i) {
        text << "damaskhall_unreachable_withheld_total{reason=\""
             << toString(static_cast<WithheldReason>(i)) << "\"} "
             << input.counters.withheld.at(static_cast<std::size_t>(i)) << "\n";
    }
    std::array<int, 5> healthCounts{};
    for (const UpstreamRecord &record : input.controller.directory().records()) {
        ++healthCounts.at(static_cast<std::size_t>(record.health));
    }
    for (int i = 0; i < static_cast<int>(healthCounts.size()); ++i) {
        text << "damaskhall_upstreams{standing=\"" << toString(static_cast<UpstreamHealth>(i))
             << "\"} " << healthCounts.at(static_cast<std::size_t>(i)) << "\n";
    }
    m_d->printEvacuations(text, input.controller, now);
    printAdmission(text, input.counters.admission);
    m_d->printCapacity(text, input.counters.capacity);
    for (const auto &[service, cold] : input.counters.cold) {
        const std::string label = "service=\"" + input.controller.serviceName(service) + "\"";
        text << "damaskhall_cold_flows_total{" << label << ",outcome=\"placed\"} " << cold.placed
             << "\n"
             << "damaskhall_cold_flows_total{" << label << ",outcome=\"moved\"} " << cold.moved
             << "\n"
             << "damaskhall_cold_flows_total{" << label << ",outcome=\"refused\"} " << cold.refused
             << "\n"
             << "damaskhall_cold_share{" << label << "} " << cold.share << "\n";
    }
    text << m_d->routeMetrics.toPrometheusText(now);
    return text.str();
}

} // namespace damaskhall
