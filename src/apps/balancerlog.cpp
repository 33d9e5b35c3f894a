#include "apps/balancerlog.h"

#include "admin/nodestatus.h"

#include <array>
#include <utility>

namespace damaskhall {

namespace {

constexpr Milliseconds RepeatInterval = 10_s;
/// Above the longest back-off between two calls of one kind, about 6.4 s.
constexpr Milliseconds PlatformQuietTime = 8_s;

struct ControlSentence
{
    LogLevel level;
    const char *sentence;
};

// Index: the enumeration's value.
constexpr std::array<ControlSentence, ControlEventCount> ControlSentences = {{
        {LogLevel::Warn, "Lower revision ignored."},
        {LogLevel::Error, "Declaration rejected; the one in force stays."},
        {LogLevel::Debug, "Declaration applied."},
        {LogLevel::Warn, "Malformed control message refused."},
        {LogLevel::Warn, "Control message of another protocol version refused."},
        {LogLevel::Info, "Member suspected."},
        {LogLevel::Warn, "Member declared dead."},
        {LogLevel::Error, "Another process runs under this instance id."},
        {LogLevel::Warn, "An entry of the platform's list cannot be read; the others hold."},
}};

LogLevel levelOf(ChangeOutcome outcome)
{
    return outcome == ChangeOutcome::Unknown ? LogLevel::Warn : LogLevel::Info;
}

const char *sentenceOf(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return "Change accepted.";
    case ChangeOutcome::Refused:
        return "Change refused.";
    case ChangeOutcome::Unchanged:
        return "Change without difference.";
    case ChangeOutcome::Unknown:
        break;
    }
    return "Outcome of change unknown.";
}

} // namespace

BalancerLog::BalancerLog(Clock clock)
    : m_clock(clock)
    , m_limiter(std::move(clock), RepeatInterval)
    , m_view(std::make_shared<const RoutingView>())
{
}

void BalancerLog::noteView(const std::shared_ptr<const RoutingView> &view)
{
    std::shared_ptr<const RoutingView> before;
    {
        const std::lock_guard lock(m_mutex);
        before = std::exchange(m_view, view);
    }
    const Revision revision = view->declaration->revision;
    if (revision != before->declaration->revision) {
        m_control.log(LogLevel::Info, "Revision in force.",
                      {{"revision", std::to_string(revision.value)},
                       {"before", std::to_string(before->declaration->revision.value)},
                       {"services", std::to_string(view->declaration->services.size())}});
    }
    if (view->isEvacuated != before->isEvacuated) {
        m_control.log(LogLevel::Info,
                      view->isEvacuated ? "The data centre is evacuated; new work is refused."
                                        : "The evacuation has ended.",
                      {{"revision", std::to_string(revision.value)}});
    }
    noteMembers(*before, *view);
    noteUpstreams(*before, *view);
}

void BalancerLog::noteMembers(const RoutingView &before, const RoutingView &after)
{
    for (const MemberView &member : after.members) {
        const MemberView *known = before.findMember(member.id);
        if (!known || known->state != member.state || known->incarnation != member.incarnation) {
            m_control.log(LogLevel::Info, "Member changed.",
                          {{"id", std::to_string(member.id.value)},
                           {"endpoint", toString(member.endpoint)},
                           {"state", toString(member.state)}});
        }
    }
}

void BalancerLog::noteUpstreams(const RoutingView &before, const RoutingView &after)
{
    for (const auto &[id, upstream] : after.upstreams) {
        const UpstreamView *known = before.findUpstream(id);
        const bool isLeaving = upstream.state == UpstreamState::Leaving;
        if (known && known->state == upstream.state) {
            continue;
        }
        m_control.log(known || isLeaving ? LogLevel::Info : LogLevel::Debug,
                      isLeaving ? "Upstream is leaving." : "Upstream listed.",
                      {{"upstream", std::to_string(id.value)},
                       {"endpoint", toString(upstream.endpoint)}});
    }
}

void BalancerLog::noteControlEvent(ControlEvent event)
{
    const auto index = static_cast<std::size_t>(event);
    const ControlSentence &line = ControlSentences.at(index);
    if (const auto suppressed = m_limiter.pass("control" + std::to_string(index))) {
        m_control.log(line.level, line.sentence, {{"suppressed", std::to_string(*suppressed)}});
    }
}

void BalancerLog::noteRefusal(RefusalReason reason)
{
    const std::string name(toString(reason));
    if (const auto suppressed = m_limiter.pass("refusal " + name)) {
        m_traffic.log(LogLevel::Warn, "Work refused.",
                      {{"reason", name}, {"suppressed", std::to_string(*suppressed)}});
    }
}

void BalancerLog::noteRetry(RetryReason reason)
{
    if (reason == RetryReason::PlatformRetry) {
        const std::lock_guard lock(m_mutex);
        m_lastPlatformRetry = m_clock.now();
        return;
    }
    const std::string name(toString(reason));
    if (const auto suppressed = m_limiter.pass("retry " + name)) {
        m_traffic.log(LogLevel::Debug, "Sent again.",
                      {{"reason", name}, {"suppressed", std::to_string(*suppressed)}});
    }
}

void BalancerLog::noteChange(const ChangeRequest &change, const ChangeResult &result)
{
    m_admin.log(levelOf(result.outcome), sentenceOf(result.outcome),
                {{"change", change.changeId},
                 {"author", change.author},
                 {"revision", std::to_string(result.revision.value)},
                 {"reason", result.reason.empty() ? "none" : result.reason}});
}

bool BalancerLog::checkPlatform()
{
    const std::lock_guard lock(m_mutex);
    const bool isReachable =
            !m_lastPlatformRetry || m_clock.now() - *m_lastPlatformRetry > PlatformQuietTime;
    if (isReachable != m_isPlatformReachable) {
        m_isPlatformReachable = isReachable;
        if (isReachable) {
            m_control.log(LogLevel::Info, "Platform is back.");
        } else {
            m_control.log(LogLevel::Warn, "Platform unreachable; serving goes on without it.");
        }
    }
    return isReachable;
}

} // namespace damaskhall
