#pragma once

#include "core/flow/directoryupdate.h"
#include "core/flow/flowview.h"
#include "core/flow/storereader.h"
#include "core/flow/upstreamdirectory.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace damaskhall {

/// Answer to a StoreCall. Thread safety: a plain value.
struct StoreReply
{
    StoreOutcome outcome = StoreOutcome::Unanswered;
    Revision asOf;
    std::vector<StoreChange> changes;
    /// Answer to a Snapshot call; nothing if there is none.
    std::optional<DirectoryUpdate> snapshot;
    /// Key after which the next page begins.
    std::optional<std::string> nextPage;
    /// What went wrong, for the log. A snapshot that cannot be read is Done with a detail.
    std::string detail;
};

/// What the controller reports; each is a line of the log and a counter.
struct FlowControllerHooks
{
    RandomSource random;
    std::function<void(const UpstreamRecord &, Revision)> reportUpstream;
    std::function<void(const RouteTable &)> reportDeclaration;
    std::function<void(const std::string &mistake, Revision)> reportInvalidItem;
    std::function<void(bool isAway, const std::string &detail)> reportStore;
    /// The directory is complete; @p call says where it came from: List or Watch, after a snapshot.
    std::function<void(StoreCall::Kind call, std::size_t upstreams, Revision)> reportDirectory;
    /// The end of an attempt to save a snapshot.
    std::function<void(StoreOutcome, const std::string &detail, Revision)> reportSnapshot;
};

/// Control state of one balancer: the declaration and the upstreams, from the platform's store.
/// Deterministic; holds no clock, thread or socket. Thread safety: none.
class FlowController
{
public:
    struct Times
    {
        StoreReader::Times reader;
        DirectoryTimes directory;
        /// Age of the last answer of the store up to which its absence of an item is believed.
        Milliseconds confirmation = 2500_ms;
    };

    /// Precondition: all hooks are set.
    FlowController(Times times, FlowControllerHooks hooks);

    /// Returns the store call that is due, or nothing.
    std::optional<StoreCall> nextCall(Milliseconds now);
    /// Takes the end of the call that nextCall() returned.
    void handleReply(const StoreReply &reply, Milliseconds now);
    /// Takes what a peer read. An update that does not connect to what is known leads to a read.
    void handleDirectoryUpdate(const DirectoryUpdate &update, Milliseconds now);
    /// Sets whether this instance reads the store for others. One that does not reads only if
    /// their updates stay away.
    void setReader(bool isReader) { m_reader.setFollower(!isReader); }
    /// Returns what the last answer of the store changed or confirmed, once, or nothing.
    std::optional<DirectoryUpdate> takeDirectoryUpdate(Milliseconds now);
    /// Ends confirmation times and forgets old records; call about every 100 ms.
    void tick(Milliseconds now);

    /// Returns a new view if anything changed since the last one, or null.
    std::shared_ptr<const FlowView> takeView(Milliseconds now);
    /// True once packets can be placed.
    bool isUsable() const { return m_routes != nullptr && m_directory.isComplete(); }
    /// Revision of the declaration in force; zero: none yet.
    Revision revision() const { return m_routes ? m_routes->revision : Revision{}; }
    const UpstreamDirectory &directory() const { return m_directory; }
    bool isStoreUnreachable() const { return m_reader.isAway(); }
    /// Time of the store's last answer, to this instance or to a peer; nothing before the first.
    std::optional<Milliseconds> confirmedAt() const { return m_reader.confirmedAt(); }

private:
    void take(const StoreChange &change, Milliseconds now);
    void takeSnapshot(const StoreReply &reply, Milliseconds now);
    void takeItems(const std::vector<StoreChange> &items, Milliseconds now);
    /// @p kind: the call whose answer completes the directory; @p revision: of its items.
    void endList(StoreCall::Kind kind, Revision revision, Milliseconds now);
    void takeDeclaration(const DeclaredRoutes &declared, Revision revision);
    void reportStoreChange(const std::string &detail, Milliseconds now);
    bool isCurrent(Milliseconds now) const;
    void remember(const StoreChange &change);

    Times m_times;
    FlowControllerHooks m_hooks;
    StoreReader m_reader;
    UpstreamDirectory m_directory;
    std::shared_ptr<const RouteTable> m_routes;
    /// Ids seen on the pages of the list under way, or in the snapshot.
    std::vector<UpstreamId> m_listed;
    bool m_wasAway = false;
    bool m_isChanged = false;
    bool m_wasCurrent = false;
    std::uint64_t m_viewVersion = 0;
    /// Latest changes of upstreams; all after m_recentFrom.
    std::deque<StoreChange> m_recent;
    Revision m_recentFrom;
    bool m_hasNews = false;
};

} // namespace damaskhall
