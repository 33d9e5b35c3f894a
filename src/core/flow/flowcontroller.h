#pragma once

#include "core/flow/changelog.h"
#include "core/flow/declarationstate.h"
#include "core/flow/evacuationtable.h"
#include "core/flow/flowview.h"
#include "core/flow/gaprecovery.h"
#include "core/flow/storereader.h"
#include "core/flow/upstreamdirectory.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace damaskhall {

/// Result of a StoreCall. Thread safety: a plain value.
struct StoreReply
{
    StoreOutcome outcome = StoreOutcome::Unanswered;
    /// Revision that the response reflects; its value is zero if the response names none. The era
    /// is that of the call if the response names none, and all items are of the same one.
    StoreRevision asOf;
    std::vector<StoreChange> changes;
    /// Result of a Snapshot call; empty if the store has no snapshot.
    std::optional<DirectoryUpdate> snapshot;
    /// Key after which the next page begins, if there is one.
    std::optional<std::string> nextPage;
    /// The response has a declaration that was left out because of its size.
    bool isDeclarationLeftOut = false;
    /// Size of the response's body in bytes.
    std::size_t bodyBytes = 0;
    /// Error text for the log. For a snapshot that cannot be decoded the outcome is Done and the
    /// detail is set.
    std::string detail;
};

/// Random source and reporting callbacks. Each report becomes a log line and increments a counter.
struct FlowControllerHooks
{
    RandomSource random;
    std::function<void(const UpstreamRecord &, StoreRevision)> reportUpstream;
    std::function<void(const RouteTable &)> reportDeclaration;
    std::function<void(const std::string &mistake, StoreRevision)> reportInvalidItem;
    std::function<void(bool isUnreachable, const std::string &detail)> reportStore;
    /// Called when the store has returned from an older copy. @p known: revision up to which this
    /// instance knew the changes before; @p current: revision that the store reports now.
    std::function<void(StoreRevision known, StoreRevision current)> reportStoreEra;
    /// Called when the directory is complete. @p call is the call that completed it: List, or Watch
    /// after a snapshot.
    std::function<void(StoreCall::Kind call, std::size_t upstreams, StoreRevision)> reportDirectory;
    /// Called when the evacuation of a data centre begins and ends here. @p revision: that of its
    /// entry, or the one up to which this instance knows all evacuations.
    std::function<void(DataCentreId, bool isEvacuated, StoreRevision revision)> reportEvacuation;
    /// Called with the result of an attempt to save a snapshot.
    std::function<void(StoreOutcome, const std::string &detail, StoreRevision)> reportSnapshot;
};

/// Control state of one balancer: the declaration and the upstream directory, read from the
/// platform's store.
/// Deterministic; holds no clock, thread or socket. Thread safety: none.
class FlowController
{
public:
    struct Times
    {
        StoreReader::Times reader;
        DirectoryTimes directory;
        /// Maximum age of the store's last response at which an item that it lacks is known not to
        /// exist.
        Milliseconds confirmation = 2500_ms;
    };

    /// Precondition: all hooks are set.
    FlowController(Times times, FlowControllerHooks hooks);
    FlowController(const FlowController &) = delete;
    FlowController &operator=(const FlowController &) = delete;

    /// Sets the data centres that exist even if no upstream is there. Call before the first call of
    /// the store.
    void setDataCentres(std::set<DataCentreId> dataCentres);

    /// Returns the store call that is due, or nothing.
    std::optional<StoreCall> nextCall(Milliseconds now);
    /// Processes the result of the call that nextCall() returned.
    void handleReply(const StoreReply &reply, Milliseconds now);
    /// Applies an update that a peer has read. If changes are missing between the known revision
    /// and the update, takeChangesRequest() asks @p sender and other peers for them, and the store
    /// last.
    void handleDirectoryUpdate(const DirectoryUpdate &update, Endpoint sender, Milliseconds now);
    /// Returns the request for missing changes that is due, or nothing; call about every 100 ms.
    std::optional<SendChangesRequest> takeChangesRequest(Milliseconds now);
    /// Returns the changes that a peer lacks, in sequence; empty if they are not known any more.
    std::vector<DirectoryUpdate> answerChangesRequest(const ChangesRequest &request,
                                                      Milliseconds now) const;
    /// Requests a read of the current declaration; takeDeclarationState() returns what it confirms.
    void requestCurrentDeclaration(Milliseconds now);
    /// Sets whether this instance reads the store on behalf of its peers. An instance that does not
    /// only reads when updates fail to arrive. @p peerCount: other members that are not dead.
    void setReader(bool isReader, std::size_t peerCount);
    /// Returns the updates for the peers, to be distributed in sequence: if the last store call
    /// changed or confirmed the directory, or if this instance reads for its peers and the store
    /// does not answer. Empty until the next such event. Call about every 100 ms.
    std::vector<DirectoryUpdate> takeDirectoryUpdates(Milliseconds now);
    /// Ends expired confirmation periods and removes old records; call about every 100 ms.
    void tick(Milliseconds now);

    /// Returns a new view if anything changed since the last one, or null.
    std::shared_ptr<const FlowView> takeView(Milliseconds now);
    /// Returns what is known about the stored declaration if that has changed since the last call,
    /// or nothing. Call after takeView(), whose view may contain the declaration.
    std::optional<DeclarationState> takeDeclarationState();
    /// True once the declaration and the complete directory are known, so that flows can be placed.
    bool isUsable() const { return m_routes != nullptr && m_directory.isComplete(); }
    /// Revision of the declaration in force; zero if there is none yet.
    Revision revision() const { return m_routes ? m_routes->revision : Revision{}; }
    /// Returns the name of a service in the declaration in force, or "unknown".
    std::string serviceName(ServiceId service) const
    {
        return m_routes ? m_routes->serviceName(service) : "unknown";
    }
    const UpstreamDirectory &directory() const { return m_directory; }
    /// Returns the evacuated data centres.
    const std::map<DataCentreId, EvacuationTable::Evacuation> &evacuated() const
    {
        return m_evacuated;
    }
    bool isStoreUnreachable() const { return m_reader.isStoreUnreachable(); }
    /// Time of the store's last response to this instance or to a peer; empty before the first.
    std::optional<Milliseconds> confirmedAt() const { return m_reader.confirmedAt(); }

private:
    void applyChange(const StoreChange &change, Milliseconds now);
    void applySnapshot(const StoreReply &reply, Milliseconds now);
    void applyItems(const std::vector<StoreChange> &items, Milliseconds now);
    /// Takes the ids seen so far as the complete list. @p kind: the call that completed it; @p
    /// revision: revision of the listed items.
    void completeDirectory(StoreCall::Kind kind, StoreRevision revision, Milliseconds now);
    void applyDeclaration(const DeclaredRoutes &declared, StoreRevision revision);
    /// Applies the evacuations that an own read has returned; the list is complete if @p isList.
    void applyEvacuations(bool isList, Milliseconds now);
    /// Reports which evacuations have begun and ended since the last call.
    void updateEvacuated(Milliseconds now);
    bool isKnownDataCentre(DataCentreId dataCentre);
    void confirmDeclaration(const StoreReply &reply, Milliseconds now);
    void reportStoreReachability(const std::string &detail, Milliseconds now);
    void applyAhead(const DirectoryUpdate &update, Milliseconds now);
    void applyChanges(const DirectoryUpdate &update, StoreRevision known, Milliseconds now);
    void handleNewEra(StoreRevision known, StoreRevision current, Milliseconds now);
    /// Begins the time in which nothing that the store lacks is certain.
    void beginRestoration(Milliseconds now);
    bool isRestorationRecent(Milliseconds now) const;
    bool isCurrent(Milliseconds now) const;
    void reportUpstream(UpstreamKey key, StoreRevision revision);
    void fillHead(DirectoryUpdate &update, Milliseconds now) const;
    void handleKnownRevision();

    Times m_times;
    FlowControllerHooks m_hooks;
    StoreReader m_reader;
    UpstreamDirectory m_directory;
    std::shared_ptr<const RouteTable> m_routes;
    DeclarationState m_declarationState;
    DeclarationState m_takenDeclarationState;
    EvacuationTable m_evacuations;
    /// Evacuations in force.
    std::map<DataCentreId, EvacuationTable::Evacuation> m_evacuated;
    /// Evacuations in the list or the changes being read.
    std::vector<StoreChange> m_readEvacuations;
    /// When the first page of the list being read was requested.
    Milliseconds m_listStartedAt;
    bool m_isEvacuationChanged = false;
    /// Data centres of the settings, and those of the directory up to m_dataCentresVersion.
    std::set<DataCentreId> m_dataCentres;
    std::uint64_t m_dataCentresVersion = 0;
    /// Ids seen in the list being read or in the snapshot.
    std::vector<UpstreamId> m_listedIds;
    bool m_wasStoreUnreachable = false;
    /// When this instance learned that the store has been restored, or had read it again.
    std::optional<Milliseconds> m_restoredAt;
    /// Era in which the directory was last read as a whole.
    StoreEra m_completeEra;
    bool m_isDeclarationChanged = false;
    bool m_wasCurrent = false;
    std::uint64_t m_viewVersion = 0;
    ChangeLog m_changeLog;
    GapRecovery m_gap;
    /// All peers have been sent the changes up to this revision.
    StoreRevision m_distributed;
    bool m_hasPendingUpdate = false;
};

} // namespace damaskhall
