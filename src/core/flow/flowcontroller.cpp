#include "core/flow/flowcontroller.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

namespace {

/// Number of removals implied by a list that fit into a datagram together, as they share a
/// revision.
constexpr std::size_t MaxImpliedRemovals = 40;
/// Share of a link that the answer to one request for changes may take: some 40 KB.
constexpr std::size_t MaxAnswerUpdates = 40;

// A snapshot of an earlier era may name a revision that the store has assigned again since: changes
// after it would not include those that the snapshot lacks.
bool hasUsableSnapshot(const StoreReply &reply)
{
    return reply.snapshot && reply.snapshot->to.era == reply.asOf.era;
}

} // namespace

FlowController::FlowController(Times times, FlowControllerHooks hooks)
    : m_times(times)
    , m_hooks(std::move(hooks))
    , m_reader(times.reader, m_hooks.random)
    , m_directory(times.directory)
    , m_evacuations(times.directory.confirmation,
                    [this](DataCentreId dataCentre) { return isKnownDataCentre(dataCentre); })
{
}

void FlowController::setDataCentres(std::set<DataCentreId> dataCentres)
{
    m_dataCentres = std::move(dataCentres);
}

std::optional<StoreCall> FlowController::nextCall(Milliseconds now)
{
    m_reader.setDirectorySize(m_directory.entryCount());
    auto call = m_reader.next(now);
    if (call && call->kind == StoreCall::Kind::List && call->pageAfter.empty()) {
        m_listedIds.clear();
        m_readEvacuations.clear();
        m_listStartedAt = now;
    }
    if (call && call->kind == StoreCall::Kind::SaveSnapshot) {
        auto snapshot = std::make_shared<DirectoryUpdate>();
        snapshot->to = m_reader.revision();
        snapshot->declaration = revision();
        snapshot->changes = m_directory.entries(now);
        snapshot->evacuations = m_evacuations.completeSet(m_reader.revision().era);
        call->snapshot = std::move(snapshot);
    }
    return call;
}

void FlowController::handleReply(const StoreReply &reply, Milliseconds now)
{
    const StoreCall::Kind kind = m_reader.lastCall();
    const bool wasFollowing = m_reader.isFollowing();
    const StoreRevision known = m_reader.revision();
    StoreRevision asOf = reply.asOf;
    if (kind == StoreCall::Kind::Snapshot) {
        asOf.value = hasUsableSnapshot(reply) ? reply.snapshot->to.value : 0;
    }
    const StoreOutcome outcome =
            m_reader.handleCallResult(reply.outcome, asOf, reply.nextPage, now);
    reportStoreReachability(reply.detail, now);
    if (m_reader.revision().era > known.era) {
        handleNewEra(known, reply.asOf, now);
    }
    if (kind == StoreCall::Kind::SaveSnapshot) {
        m_hooks.reportSnapshot(outcome, reply.detail, known);
        return;
    }
    if (outcome != StoreOutcome::Done) {
        return;
    }
    if (kind == StoreCall::Kind::Snapshot) {
        applySnapshot(reply, now);
        return;
    }
    const bool isList = kind == StoreCall::Kind::List;
    const bool isCatchUp = kind == StoreCall::Kind::Watch && !wasFollowing;
    if (isCatchUp) {
        // Before this call the reader's revision was that of the snapshot.
        completeDirectory(kind, known, now);
    }
    if (isList) {
        applyItems(reply.changes, now);
        if (!reply.nextPage) {
            completeDirectory(kind, m_reader.revision(), now);
            applyEvacuations(true, now);
        }
    } else {
        for (const StoreChange &change : reply.changes) {
            applyChange(change, now);
        }
        if (kind == StoreCall::Kind::Watch) {
            applyEvacuations(false, now);
        }
    }
    if (m_reader.isCurrentDeclarationRead()) {
        confirmDeclaration(reply, now);
    }
    if (reply.isDeclarationLeftOut) {
        m_reader.requestCurrentDeclaration(now);
    }
    handleKnownRevision();
    m_hasPendingUpdate = m_hasPendingUpdate ||
                         (kind != StoreCall::Kind::Declaration && m_reader.isResultForPeers());
}

// The directory is not complete until the changes since the snapshot are known; otherwise an
// upstream that has begun to leave would receive new flows.
void FlowController::applySnapshot(const StoreReply &reply, Milliseconds now)
{
    if (!reply.detail.empty()) {
        m_hooks.reportInvalidItem(reply.detail, reply.asOf);
    }
    if (!hasUsableSnapshot(reply)) {
        return;
    }
    m_listedIds.clear();
    m_readEvacuations.clear();
    m_evacuations.handleSet(reply.snapshot->evacuations, reply.snapshot->to,
                            EvacuationTable::Source::Peer, std::nullopt, now);
    applyItems(reply.snapshot->changes, now);
    m_reader.requestDeclaration(reply.snapshot->declaration);
}

// Applies items of a list or snapshot and collects the ids of their upstreams.
void FlowController::applyItems(const std::vector<StoreChange> &items, Milliseconds now)
{
    for (const StoreChange &item : items) {
        applyChange(item, now);
        if (const auto *entry = std::get_if<UpstreamEntry>(&item.content)) {
            m_listedIds.push_back(entry->key.id);
        }
    }
}

void FlowController::completeDirectory(StoreCall::Kind kind, StoreRevision revision,
                                       Milliseconds now)
{
    m_hooks.reportDirectory(kind, m_listedIds.size(), revision);
    const bool wasComplete = m_directory.isComplete();
    const bool isNewEra = std::exchange(m_completeEra, revision.era) != revision.era;
    if (wasComplete && isNewEra) {
        beginRestoration(now);
    }
    const std::vector<UpstreamId> removed =
            m_directory.handleCompleteList(std::exchange(m_listedIds, {}), revision, now);
    // Peers need the difference to what was known before the list, which is small, and not the
    // list.
    const bool isDifferenceKnown = wasComplete && kind == StoreCall::Kind::List &&
                                   removed.size() <= MaxImpliedRemovals && !isNewEra;
    if (!isDifferenceKnown) {
        m_changeLog.restart(revision);
        return;
    }
    for (const UpstreamId id : removed) {
        m_changeLog.record({revision, UpstreamRemoval{id, {}}});
    }
}

void FlowController::applyChange(const StoreChange &change, Milliseconds now)
{
    const std::uint64_t version = m_directory.version();
    if (const auto *entry = std::get_if<UpstreamEntry>(&change.content)) {
        m_directory.handleEntry(*entry, change.revision, now);
        if (m_directory.version() != version) {
            m_changeLog.record(change);
            reportUpstream(entry->key, change.revision);
        }
        return;
    }
    if (const auto *removal = std::get_if<UpstreamRemoval>(&change.content)) {
        if (!removal->mistake.empty()) {
            m_hooks.reportInvalidItem(removal->mistake, change.revision);
        }
        const auto key = m_directory.present(removal->id);
        m_directory.handleRemoval(removal->id, change.revision, now);
        if (key && m_directory.version() != version) {
            m_changeLog.record(change);
            reportUpstream(*key, change.revision);
        }
        return;
    }
    if (std::holds_alternative<SnapshotSaved>(change.content)) {
        m_reader.handleSnapshotSaved(now);
        return;
    }
    if (std::holds_alternative<EvacuationChange>(change.content)) {
        m_readEvacuations.push_back(change);
        return;
    }
    applyDeclaration(std::get<DeclaredRoutes>(change.content), change.revision);
}

// The set of a list applies when the list is complete: a page alone says nothing about the others.
// A name may belong to a data centre whose first upstream is in the same reply.
void FlowController::applyEvacuations(bool isList, Milliseconds now)
{
    EvacuationSet listed;
    for (const StoreChange &item : std::exchange(m_readEvacuations, {})) {
        const auto &change = std::get<EvacuationChange>(item.content);
        const bool isValid = change.kind != EvacuationChange::Kind::Invalid;
        if (!isValid) {
            m_hooks.reportInvalidItem(change.detail, item.revision);
        } else if (change.kind == EvacuationChange::Kind::Evacuated &&
                   !isKnownDataCentre(*change.dataCentre)) {
            m_hooks.reportInvalidItem(change.detail + ": no data centre has this name",
                                      item.revision);
        }
        if (!isList) {
            m_evacuations.handleChange(change, item.revision, now);
        } else if (change.dataCentre) {
            listed.push_back({*change.dataCentre, isValid ? item.revision.value : 0});
        }
    }
    if (isList) {
        m_evacuations.handleSet(listed, m_reader.revision(), EvacuationTable::Source::OwnRead,
                                m_listStartedAt, now);
    } else {
        m_evacuations.handleRead(m_reader.revision(), m_reader.lastCallAt(), now);
    }
    updateEvacuated(now);
}

void FlowController::updateEvacuated(Milliseconds now)
{
    const auto before = std::exchange(m_evacuated, m_evacuations.evacuated());
    for (const auto &[dataCentre, evacuation] : m_evacuated) {
        if (!before.contains(dataCentre)) {
            m_isEvacuationChanged = true;
            m_hooks.reportEvacuation(dataCentre, true, evacuation.revision);
        }
    }
    for (const auto &[dataCentre, evacuation] : before) {
        if (!m_evacuated.contains(dataCentre)) {
            m_isEvacuationChanged = true;
            if (m_routes) {
                m_directory.handleEvacuationEnd(dataCentre, m_routes->warmupLimits, now);
            }
            m_hooks.reportEvacuation(dataCentre, false, m_evacuations.revision());
        }
    }
}

bool FlowController::isKnownDataCentre(DataCentreId dataCentre)
{
    if (m_dataCentres.contains(dataCentre)) {
        return true;
    }
    if (std::exchange(m_dataCentresVersion, m_directory.version()) != m_directory.version()) {
        m_dataCentres.merge(m_directory.dataCentres());
    }
    return m_dataCentres.contains(dataCentre);
}

// The first list is reported as a whole, by reportDirectory.
void FlowController::reportUpstream(UpstreamKey key, StoreRevision revision)
{
    if (m_directory.isComplete()) {
        m_hooks.reportUpstream(m_directory.record(key), revision);
    }
}

// A declaration is applied as a whole, and only if it is newer than the one in force.
void FlowController::applyDeclaration(const DeclaredRoutes &declared, StoreRevision revision)
{
    if (!declared.table) {
        m_hooks.reportInvalidItem(declared.mistake, revision);
        return;
    }
    if (m_routes && declared.table->revision <= m_routes->revision) {
        return;
    }
    if (!declared.mistake.empty()) {
        m_hooks.reportInvalidItem(declared.mistake, revision);
    }
    m_routes = declared.table;
    m_directory.setDeclaredServices(m_routes->services());
    m_reader.setDeclaration(m_routes->revision);
    m_isDeclarationChanged = true;
    m_hooks.reportDeclaration(*m_routes);
}

// A declaration that cannot be decoded confirms nothing: it may contain any route. Neither does one
// of a restored copy: operators may write a later one again.
void FlowController::confirmDeclaration(const StoreReply &reply, Milliseconds now)
{
    if (isRestorationRecent(now)) {
        return;
    }
    for (const StoreChange &change : reply.changes) {
        const auto *declared = std::get_if<DeclaredRoutes>(&change.content);
        if (declared && declared->table && declared->table->revision == revision()) {
            m_declarationState.confirmed = revision();
            m_declarationState.confirmedAt = m_reader.lastCallAt();
        }
    }
}

void FlowController::requestCurrentDeclaration(Milliseconds now)
{
    m_reader.requestCurrentDeclaration(now);
}

void FlowController::setReader(bool isReader, std::size_t peerCount)
{
    m_reader.setFollower(!isReader);
    m_reader.setPeerCount(peerCount);
}

void FlowController::handleKnownRevision()
{
    m_gap.handleKnown(m_reader.revision());
}

void FlowController::handleDirectoryUpdate(const DirectoryUpdate &update, Endpoint sender,
                                           Milliseconds now)
{
    m_reader.requestDeclaration(update.declaration);
    m_evacuations.handleSet(update.evacuations, update.to, EvacuationTable::Source::Peer,
                            now - update.age, now);
    updateEvacuated(now);
    const StoreRevision known = m_reader.revision();
    if (update.to < known) {
        return;
    }
    if (update.to.era > known.era || !m_reader.isFollowing()) {
        applyAhead(update, now);
        return;
    }
    if (known < update.from) {
        const auto maxDelay =
                static_cast<std::uint64_t>(m_times.reader.confirmationInterval.value / 2) + 1;
        const Milliseconds readDelay{
                static_cast<std::int64_t>(randomBelow(m_hooks.random, maxDelay))};
        m_gap.open(update.to, sender, readDelay, now);
        return;
    }
    m_reader.handleDirectoryUpdate(update.to, now - update.age, now);
    m_distributed = std::max(m_distributed, update.to);
    reportStoreReachability("update from a peer", now);
    applyChanges(update, known, now);
    handleKnownRevision();
}

// Applies an update of a new era, or before a lost history has been read again. What it says holds
// whatever else has changed: an upstream that is leaving gets no new flows, even if the store does
// not serve this instance.
void FlowController::applyAhead(const DirectoryUpdate &update, Milliseconds now)
{
    if (m_directory.isComplete()) {
        applyChanges(update, m_reader.revision(), now);
    }
    if (update.to.era > m_reader.revision().era) {
        m_reader.handleNewEraReport(now);
    }
}

// Changes up to the known revision are already applied, and newer ones may have superseded them.
void FlowController::applyChanges(const DirectoryUpdate &update, StoreRevision known,
                                  Milliseconds now)
{
    for (const StoreChange &change : update.changes) {
        if (change.revision > known && !std::holds_alternative<EvacuationChange>(change.content)) {
            applyChange(change, now);
        }
    }
}

std::optional<SendChangesRequest> FlowController::takeChangesRequest(Milliseconds now)
{
    switch (m_gap.next(now)) {
    case GapRecovery::Step::Wait:
        return std::nullopt;
    case GapRecovery::Step::ReadStore:
        m_reader.requestRead(StoreCall::Reason::ChangesMissing, now);
        return std::nullopt;
    case GapRecovery::Step::AskSender:
        return SendChangesRequest{m_gap.sender(), {m_reader.revision()}};
    case GapRecovery::Step::AskAnyMember:
        break;
    }
    return SendChangesRequest{std::nullopt, {m_reader.revision()}};
}

std::vector<DirectoryUpdate> FlowController::answerChangesRequest(const ChangesRequest &request,
                                                                  Milliseconds now) const
{
    const StoreRevision known = m_reader.revision();
    if (!m_reader.isFollowing() || request.known < m_changeLog.start() || request.known > known) {
        return {};
    }
    std::vector<DirectoryUpdate> updates = m_changeLog.updatesSince(request.known, known);
    updates.resize(std::min(updates.size(), MaxAnswerUpdates));
    for (DirectoryUpdate &update : updates) {
        fillHead(update, now);
    }
    return updates;
}

void FlowController::fillHead(DirectoryUpdate &update, Milliseconds now) const
{
    update.age = now - m_reader.confirmedAt().value_or(now);
    update.declaration = revision();
    update.evacuations = m_evacuations.completeSet(m_reader.revision().era);
}

std::vector<DirectoryUpdate> FlowController::takeDirectoryUpdates(Milliseconds now)
{
    const bool isOutage = m_reader.takeOutageNotice(now);
    if ((!std::exchange(m_hasPendingUpdate, false) && !isOutage) || !m_reader.isFollowing()) {
        return {};
    }
    const StoreRevision known = m_reader.revision();
    std::vector<DirectoryUpdate> updates = {m_changeLog.latest(known)};
    // The latest changes are repeated, so that a lost datagram costs nothing. If they do not reach
    // back to what the peers know, all changes since are sent.
    const StoreRevision distributed = std::max(m_distributed, m_changeLog.start());
    if (updates.front().from > distributed) {
        updates = m_changeLog.updatesSince(distributed, known);
    }
    m_distributed = known;
    for (DirectoryUpdate &update : updates) {
        fillHead(update, now);
    }
    return updates;
}

void FlowController::reportStoreReachability(const std::string &detail, Milliseconds now)
{
    const bool isUnreachable = m_reader.isStoreUnreachable();
    if (isUnreachable == m_wasStoreUnreachable) {
        return;
    }
    m_wasStoreUnreachable = isUnreachable;
    if (isUnreachable) {
        m_directory.handleStoreUnreachable();
    } else {
        m_directory.handleStoreReachable(now);
    }
    m_hooks.reportStore(isUnreachable, detail);
}

// What upstreams and operators have written since the copy is written again, so nothing that is
// missing proves anything for a while.
void FlowController::handleNewEra(StoreRevision known, StoreRevision current, Milliseconds now)
{
    if (known == StoreRevision{}) {
        // The first response of the store.
        return;
    }
    beginRestoration(now);
    m_hooks.reportStoreEra(known, current);
}

void FlowController::beginRestoration(Milliseconds now)
{
    m_restoredAt = now;
    m_directory.handleStoreRestored(now);
}

bool FlowController::isRestorationRecent(Milliseconds now) const
{
    return m_restoredAt && now - *m_restoredAt < m_times.directory.confirmation;
}

void FlowController::tick(Milliseconds now)
{
    m_directory.tick(now);
    // A data centre may have become known by its first upstream.
    updateEvacuated(now);
}

std::optional<DeclarationState> FlowController::takeDeclarationState()
{
    m_declarationState.newest = std::max(m_reader.requestedDeclaration(), revision());
    if (m_declarationState == m_takenDeclarationState) {
        return std::nullopt;
    }
    m_takenDeclarationState = m_declarationState;
    return m_declarationState;
}

bool FlowController::isCurrent(Milliseconds now) const
{
    const auto confirmed = m_reader.confirmedAt();
    return confirmed && now - *confirmed < m_times.confirmation && !isRestorationRecent(now);
}

std::shared_ptr<const FlowView> FlowController::takeView(Milliseconds now)
{
    if (!isUsable()) {
        return nullptr;
    }
    const bool isNowCurrent = isCurrent(now);
    if (!m_isDeclarationChanged && !m_isEvacuationChanged &&
        m_viewVersion == m_directory.version() && isNowCurrent == m_wasCurrent) {
        return nullptr;
    }
    m_isDeclarationChanged = false;
    m_isEvacuationChanged = false;
    m_wasCurrent = isNowCurrent;
    m_viewVersion = m_directory.version();
    std::set<DataCentreId> evacuated;
    for (const auto &[dataCentre, evacuation] : m_evacuated) {
        evacuated.insert(dataCentre);
    }
    return std::make_shared<const FlowView>(m_routes, m_directory.records(), isNowCurrent,
                                            std::move(evacuated));
}

} // namespace damaskhall
