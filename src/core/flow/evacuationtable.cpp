#include "core/flow/evacuationtable.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

EvacuationTable::EvacuationTable(Milliseconds confirmation,
                                 std::function<bool(DataCentreId)> isKnown)
    : m_confirmation(confirmation)
    , m_isKnown(std::move(isKnown))
{
}

EvacuationTable::State *EvacuationTable::findOrInsert(DataCentreId dataCentre)
{
    const auto found = m_states.find(dataCentre);
    if (found != m_states.end()) {
        return &found->second;
    }
    if (!hasRoomFor(dataCentre)) {
        // Data centres that are not evacuated are only kept to recognise a removed entry. An
        // unknown one must not displace those that exist.
        const bool isNewKnown = m_isKnown(dataCentre);
        std::erase_if(m_states, [this, isNewKnown](const auto &item) {
            return item.second.entry == 0 && !item.second.isUnreadable &&
                   (isNewKnown || !m_isKnown(item.first));
        });
    }
    return hasRoomFor(dataCentre) ? &m_states[dataCentre] : nullptr;
}

bool EvacuationTable::hasRoomFor(DataCentreId dataCentre) const
{
    if (m_isKnown(dataCentre)) {
        return m_states.size() < MaxSize;
    }
    const auto unknown = std::count_if(m_states.begin(), m_states.end(),
                                       [this](const auto &item) { return !m_isKnown(item.first); });
    return m_states.size() < MaxSize && static_cast<std::size_t>(unknown) < MaxUnknown;
}

void EvacuationTable::handleChange(const EvacuationChange &change, StoreRevision revision,
                                   Milliseconds now)
{
    if (!change.dataCentre || revision <= m_known) {
        return;
    }
    State *state = findOrInsert(*change.dataCentre);
    if (!state || revision <= state->revision) {
        return;
    }
    state->revision = revision;
    if (change.kind == EvacuationChange::Kind::Removed) {
        end(*state);
    } else if (change.kind == EvacuationChange::Kind::Invalid) {
        state->isUnreadable = true;
        if (state->entry != 0) {
            // The earlier entry stays in force as if it were the current one.
            state->entryEra = revision.era;
            state->missingSince.reset();
        }
    } else {
        begin(*state, revision.value, revision, now);
    }
}

void EvacuationTable::handleSet(const EvacuationSet &set, StoreRevision asOf, Source source,
                                std::optional<Milliseconds> readAt, Milliseconds now)
{
    if (source == Source::OwnRead && readAt) {
        handleRefutedEra(asOf, *readAt);
    }
    if (asOf < m_known) {
        return;
    }
    for (const EvacuationEntry &entry : set) {
        State *state = findOrInsert(entry.dataCentre);
        if (!state || asOf < state->revision) {
            continue;
        }
        state->isUnreadable = entry.revision == 0;
        const bool isEnded = state->entry == 0 && entry.revision == state->removedEntry;
        if (entry.revision != 0 && !isEnded) {
            // A set may include an entry that was written after its revision.
            begin(*state, entry.revision, std::max(asOf, StoreRevision{entry.revision, asOf.era}),
                  now);
        } else if (state->entry != 0) {
            state->entryEra = asOf.era;
            state->missingSince.reset();
        }
    }
    for (auto &[dataCentre, state] : m_states) {
        const bool isListed = std::any_of(set.begin(), set.end(), [id = dataCentre](const auto &e) {
            return e.dataCentre == id;
        });
        // Peers leave out data centres that they do not know yet.
        const bool isLeftOut = source == Source::Peer && !m_isKnown(dataCentre);
        if (isListed || isLeftOut || asOf < state.revision) {
            continue;
        }
        const bool isLaterEra = asOf.era > state.revision.era;
        state.isUnreadable = false;
        handleMissing(state, asOf, readAt, now);
        if (source == Source::OwnRead && isLaterEra && state.entry == 0) {
            // The copy lacks the removed entry: a later one with its number is another entry.
            state.removedEntry = 0;
        }
    }
    setKnown(asOf, now);
}

void EvacuationTable::handleRead(StoreRevision asOf, Milliseconds readAt, Milliseconds now)
{
    handleRefutedEra(asOf, readAt);
    if (asOf < m_known) {
        return;
    }
    for (auto &[dataCentre, state] : m_states) {
        if (state.missingSince) {
            handleMissing(state, asOf, readAt, now);
        }
    }
    setKnown(asOf, now);
}

void EvacuationTable::begin(State &state, std::uint64_t entry, StoreRevision revision,
                            Milliseconds now)
{
    if (state.entry == 0) {
        state.startedAt = now;
    }
    state.revision = revision;
    state.entry = entry;
    state.entryEra = revision.era;
    state.isUnreadable = false;
    state.missingSince.reset();
    if (state.removedEntry == entry) {
        // The store has assigned the number again.
        state.removedEntry = 0;
    }
}

void EvacuationTable::end(State &state)
{
    if (state.entry != 0) {
        state.removedEntry = state.entry;
    }
    state.entry = 0;
    state.isUnreadable = false;
    state.missingSince.reset();
}

void EvacuationTable::handleMissing(State &state, StoreRevision asOf,
                                    std::optional<Milliseconds> readAt, Milliseconds now)
{
    if (state.entry == 0) {
        return;
    }
    if (state.entryEra == asOf.era) {
        state.revision = asOf;
        end(state);
        return;
    }
    if (!state.missingSince || state.missingEra != asOf.era) {
        state.missingSince = now;
        state.missingEra = asOf.era;
    } else if (readAt && *readAt - *state.missingSince >= m_confirmation) {
        state.revision = asOf;
        end(state);
    }
}

// Peers may report an era that the store does not have. A read that began after the report and
// names an earlier era refutes it: otherwise one wrong number would end all updates.
void EvacuationTable::handleRefutedEra(StoreRevision asOf, Milliseconds readAt)
{
    if (asOf.era >= m_known.era || readAt <= m_eraKnownAt) {
        return;
    }
    m_known = asOf;
    for (auto &[dataCentre, state] : m_states) {
        state.revision = std::min(state.revision, asOf);
        if (state.entryEra <= asOf.era) {
            // Missing only in the era that does not exist.
            state.missingSince.reset();
        }
    }
}

void EvacuationTable::setKnown(StoreRevision revision, Milliseconds now)
{
    if (revision.era > m_known.era) {
        m_eraKnownAt = now;
    }
    m_known = std::max(m_known, revision);
}

std::map<DataCentreId, EvacuationTable::Evacuation> EvacuationTable::evacuated() const
{
    std::map<DataCentreId, Evacuation> evacuated;
    for (const auto &[dataCentre, state] : m_states) {
        if (state.entry != 0 && m_isKnown(dataCentre)) {
            evacuated[dataCentre] = {{state.entry, state.entryEra}, state.startedAt};
        }
    }
    return evacuated;
}

EvacuationSet EvacuationTable::completeSet(StoreEra era) const
{
    EvacuationSet set;
    for (const auto &[dataCentre, state] : m_states) {
        const bool isInStore = state.entry != 0 && (!state.missingSince || state.entryEra >= era);
        if ((isInStore || state.isUnreadable) && m_isKnown(dataCentre)) {
            set.push_back({dataCentre, isInStore ? state.entry : 0});
        }
    }
    return set;
}

} // namespace damaskhall
