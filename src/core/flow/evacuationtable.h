#pragma once

#include "base/ids.h"
#include "base/milliseconds.h"
#include "core/flow/storechange.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace damaskhall {

/// Evacuated data centres, as the store's entries and the sets of peers name them.
///
/// Reports are ordered by the store's era and revision. A complete set replaces what is known, with
/// two exceptions after the store has returned from an older copy. What the copy lacks stays
/// evacuated until a read after the confirmation time still lacks it, as operators write it again
/// within that time. What is known to be removed stays so if the copy still has that entry: it has
/// the revision number that was removed.
///
/// Load pattern: all instances move the new flows of a data centre at once, and back at the end.
/// Deterministic. Thread safety: none.
class EvacuationTable
{
public:
    /// Maximum number of data centres in the table; more are ignored.
    static constexpr std::size_t MaxSize = 64;
    /// Maximum number of unknown data centres among them: any program may write keys.
    static constexpr std::size_t MaxUnknown = 8;

    /// Source of a complete set.
    enum class Source : std::uint8_t {
        /// This instance has listed the store.
        OwnRead,
        /// An update of a peer or a saved snapshot.
        Peer,
    };

    struct Evacuation
    {
        /// Revision of the entry, in the era in which it was read.
        StoreRevision revision;
        /// When this instance learned of it.
        Milliseconds startedAt;
    };

    /// @p confirmation: time after the store's return within which operators write lost changes
    /// again. @p isKnown: returns whether a data centre of this id exists. The evacuation of an
    /// unknown one has no effect until it is known.
    EvacuationTable(Milliseconds confirmation, std::function<bool(DataCentreId)> isKnown);

    /// Processes an entry or removal that this instance has read from a watch. An entry that cannot
    /// be decoded changes no evacuation.
    void handleChange(const EvacuationChange &change, StoreRevision revision, Milliseconds now);
    /// Processes the complete set as of @p asOf; ignored if it is older than what is known.
    /// @p readAt: when the store was asked for it, or nothing if that is not known.
    void handleSet(const EvacuationSet &set, StoreRevision asOf, Source source,
                   std::optional<Milliseconds> readAt, Milliseconds now);
    /// Processes that a watch begun at @p readAt has returned all changes up to @p asOf, and that
    /// handleChange() was called for them.
    void handleRead(StoreRevision asOf, Milliseconds readAt, Milliseconds now);

    /// Returns the evacuated data centres that are known.
    std::map<DataCentreId, Evacuation> evacuated() const;
    /// Returns the complete set in @p era for peers. It lacks what only an earlier era of the store
    /// had: each instance decides from its own knowledge how long that holds. This instance may
    /// know of a later era in which an entry of @p era is missing.
    EvacuationSet completeSet(StoreEra era) const;
    /// Revision up to which all changes are known.
    StoreRevision revision() const { return m_known; }

private:
    struct State
    {
        /// Revision of the newest report.
        StoreRevision revision;
        /// Revision number of the entry; zero if there is none that can be decoded.
        std::uint64_t entry = 0;
        /// Era in which the store was last known to have the entry.
        StoreEra entryEra;
        /// The store has an entry that cannot be decoded.
        bool isUnreadable = false;
        Milliseconds startedAt;
        /// When the copy of the store of missingEra was first known to lack the entry.
        std::optional<Milliseconds> missingSince;
        StoreEra missingEra;
        /// Revision number of the entry that was removed last; zero if there is none.
        std::uint64_t removedEntry = 0;
    };

    bool hasRoomFor(DataCentreId dataCentre) const;
    State *findOrInsert(DataCentreId dataCentre);
    static void begin(State &state, std::uint64_t entry, StoreRevision revision, Milliseconds now);
    static void end(State &state);
    /// Processes that the store lacked the entry of @p state at @p asOf.
    void handleMissing(State &state, StoreRevision asOf, std::optional<Milliseconds> readAt,
                       Milliseconds now);
    void handleRefutedEra(StoreRevision asOf, Milliseconds readAt);
    void setKnown(StoreRevision revision, Milliseconds now);

    Milliseconds m_confirmation;
    std::function<bool(DataCentreId)> m_isKnown;
    std::map<DataCentreId, State> m_states;
    StoreRevision m_known;
    /// When the era of m_known was first reported.
    Milliseconds m_eraKnownAt;
};

} // namespace damaskhall
