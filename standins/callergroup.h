#pragma once

#include "callerline.h"
#include "contenthash.h"
#include "runlog.h"
#include "workload.h"

#include "base/random.h"
#include "client/feedclient.h"
#include "client/requestclient.h"
#include "client/uploadclient.h"

#include <list>
#include <set>

/// All callers of one class of work. Thread safety: none.
class CallerGroup
{
public:
    CallerGroup(asio::io_context &context, damaskhall::Endpoint fabric, Workload workload,
                std::vector<std::string> workspaces, damaskhall::RandomSource &random)
        : m_context(context)
        , m_fabric(fabric)
        , m_workload(std::move(workload))
        , m_workspaces(std::move(workspaces))
        , m_random(random)
    {
    }

    /// Starts what is due at @p elapsed since the start of the run.
    void start(damaskhall::Milliseconds now, damaskhall::Milliseconds elapsed)
    {
        using namespace damaskhall;
        const bool isFeed = m_workload.kind == WorkKind::Feed;
        const double seconds = static_cast<double>(elapsed.value) / 1000.0;
        const double due = isFeed ? m_workload.amount : m_workload.amount * seconds;
        while (static_cast<double>(m_totals.asked) < due) {
            ++m_totals.asked;
            startOne(now);
        }
    }

    void tick(damaskhall::Milliseconds now)
    {
        for (auto &line : m_feeds) {
            line.tick(now);
        }
        tickAndCollect(m_requests, now);
        tickAndCollect(m_uploads, now);
    }

    bool isIdle() const { return m_requests.empty() && m_uploads.empty(); }
    const Workload &workload() const { return m_workload; }

    /// Returns the number of feeds with a recent sign of life.
    std::size_t liveFeeds(damaskhall::Milliseconds now) const
    {
        std::size_t live = 0;
        for (const auto &line : m_feeds) {
            live += line.client().isOpen() &&
                    line.client().timeSinceUpstreamFrame(now) <= FeedSilenceLimit;
        }
        return live;
    }

    /// Returns the totals so far; flows are counted from the feeds.
    ClassTotals totals() const
    {
        ClassTotals totals = m_totals;
        for (const auto &line : m_feeds) {
            totals.flowsOpened += line.client().openCount();
            totals.flowsBroken += line.client().upstreamLossCount();
        }
        return totals;
    }

    /// Compares the callers' view with what the upstreams did. Call once, at the end of the run.
    void checkAgainst(const RunLog::Service &log)
    {
        m_totals.lost += m_requests.size() + m_uploads.size();
        for (const auto &[name, hash] : m_answered) {
            const auto stored = log.stored.find(name);
            const bool isUpload = m_workload.kind == damaskhall::WorkKind::Upload;
            const bool tookPlace = isUpload ? stored != log.stored.end() && stored->second == hash
                                            : log.runs.count(name) > 0;
            m_totals.lost += tookPlace ? 0 : 1;
        }
        for (const auto &[name, runs] : log.runs) {
            m_totals.doubled += runs > 1 && m_asked.count(name) > 0 ? 1 : 0;
            m_totals.falselyRefused += m_refused.count(name) > 0 ? 1 : 0;
        }
    }

private:
    template <typename Client>
    using Lines = std::list<CallerLine<Client>>;

    template <typename Client>
    void tickAndCollect(Lines<Client> &lines, damaskhall::Milliseconds now)
    {
        for (auto it = lines.begin(); it != lines.end();) {
            it->tick(now);
            if (it->client().isFinished()) {
                collect(it->name(), it->client());
                it = lines.erase(it);
            } else {
                ++it;
            }
        }
    }

    void startOne(damaskhall::Milliseconds now)
    {
        using namespace damaskhall;
        const std::uint64_t id = m_random();
        const std::string name = std::to_string(id);
        const ServiceId service = serviceId(m_workload.service);
        const ClassId workClass = classId(m_workload.service, m_workload.className);
        const WorkspaceId workspace =
                workspaceId(m_workspaces[randomBelow(m_random, m_workspaces.size())]);
        const bool isUpload = m_workload.kind == WorkKind::Upload;
        const Milliseconds limit = isUpload ? UploadDeadline : RequestDeadline;
        const Reserve reserve{RequestId{id}, service, workClass, workspace, limit, 0_ms};
        if (m_workload.kind == WorkKind::Feed) {
            const Open open{FlowId{id}, service, workClass, workspace};
            m_feeds.emplace_back(m_context, m_fabric, name, FeedClient(open, now));
        } else if (isUpload) {
            const std::string body = uploadBody(id, m_workload.uploadBytes);
            m_uploads.emplace_back(m_context, m_fabric, name, UploadClient(reserve, body, now));
        } else {
            m_asked.insert(name);
            m_requests.emplace_back(m_context, m_fabric, name, RequestClient(reserve, name, now));
        }
    }

    void collect(const std::string &name, const damaskhall::RequestClient &client)
    {
        if (client.phase() == damaskhall::RequestPhase::Answered) {
            ++m_totals.answered;
            m_answered[name] = 0;
            // An answer that belongs to another request counts as lost.
            m_totals.lost += client.answer() == "done " + name ? 0 : 1;
        } else if (client.phase() == damaskhall::RequestPhase::Unknown) {
            ++m_totals.unknown;
        } else {
            ++m_totals.refused[*client.refusal()];
            m_refused.insert(name);
        }
    }

    void collect(const std::string &name, const damaskhall::UploadClient &client)
    {
        if (client.phase() == damaskhall::UploadPhase::Stored) {
            ++m_totals.answered;
            m_answered[name] = contentHash(uploadBody(std::stoull(name), m_workload.uploadBytes));
        } else {
            ++m_totals.refused[*client.refusal()];
        }
    }

    /// Three keepalive intervals.
    static constexpr damaskhall::Milliseconds FeedSilenceLimit{3'000};
    static constexpr damaskhall::Milliseconds RequestDeadline{5'000};
    static constexpr damaskhall::Milliseconds UploadDeadline{30'000};

    asio::io_context &m_context;
    damaskhall::Endpoint m_fabric;
    Workload m_workload;
    std::vector<std::string> m_workspaces;
    damaskhall::RandomSource &m_random;
    Lines<damaskhall::FeedClient> m_feeds;
    Lines<damaskhall::RequestClient> m_requests;
    Lines<damaskhall::UploadClient> m_uploads;
    /// Names of all and of refused requests, and content hash of all answered work by name.
    std::set<std::string> m_asked;
    std::set<std::string> m_refused;
    std::map<std::string, std::uint64_t> m_answered;
    ClassTotals m_totals;
};
