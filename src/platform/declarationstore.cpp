#include "platform/declarationstore.h"

#include "config/declarationdiff.h"
#include "config/declarationparser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <thread>
#include <utility>

namespace damaskhall {

namespace {

/// Changes kept for settling lost replies: over an hour at 3,900 changes a day, in about 20 KB.
constexpr std::size_t MaxHistory = 200;
/// The platform takes values up to 1 MB.
constexpr std::size_t MaxEnvelopeBytes = 1'000'000;
/// With call timeouts of 1 s this bounds an apply to about 7 s while the platform loses replies.
constexpr int MaxWrites = 3;
constexpr Milliseconds RetryPause = 200_ms;
/// Revisions that are left out for each return of the platform from an older copy, because lost
/// changes may have them in force somewhere. Operators make far fewer changes in the time that a
/// copy may lack.
constexpr std::uint64_t RevisionsPerRestoration = 10'000;

bool statesTheSame(const std::string &a, const std::string &b)
{
    const auto first = parseDeclaration(a, "stored");
    const auto second = parseDeclaration(b, "new");
    return first && second && first.assume_value() == second.assume_value();
}

// Whether a change that is missing in the history never took effect.
bool coversChange(const StoredDeclaration &stored, const std::string &changeId)
{
    if (stored.mayLackChanges()) {
        return false;
    }
    const auto &history = stored.envelope.history;
    std::uint64_t base = 0;
    std::from_chars(changeId.data(), changeId.data() + changeId.size(), base);
    // The history is in falling order; revisions left out after the base may have been lost.
    std::uint64_t lowestAbove = 0;
    for (const HistoryEntry &entry : history) {
        lowestAbove = entry.revision.value > base ? entry.revision.value : lowestAbove;
    }
    if (lowestAbove > base + 1) {
        return false;
    }
    return history.size() < MaxHistory || history.back().revision.value <= base + 1;
}

std::string revisionText(Revision revision)
{
    return std::to_string(revision.value);
}

} // namespace

std::string makeChangeId(Revision base, std::uint64_t random)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(random));
    return revisionText(base) + "-" + digits.data();
}

DeclarationStoreHooks storeHooks(PlatformClient &client)
{
    return {[&client] { return client.read(DeclarationKey); },
            [&client](const std::string &value, std::uint64_t expected) {
                return client.compareAndSwap(DeclarationKey, value, expected);
            },
            [] { return Clock::wallTime(); },
            [](Milliseconds duration) {
                std::this_thread::sleep_for(std::chrono::milliseconds(duration.value));
            }};
}

DeclarationStore::DeclarationStore(DeclarationStoreHooks hooks, std::uint64_t maxDeclarationBytes)
    : m_hooks(std::move(hooks))
    , m_maxDeclarationBytes(maxDeclarationBytes)
{
}

Result<StoredDeclaration> DeclarationStore::read()
{
    BOOST_OUTCOME_TRY(value, m_hooks.read());
    StoredDeclaration stored{value.version, {}, value.era};
    if (value.version > 0) {
        BOOST_OUTCOME_TRY(envelope, parseEnvelope(value.value, DeclarationKey));
        stored.envelope = std::move(envelope);
    }
    m_last = stored;
    return stored;
}

Result<ChangeResult> DeclarationStore::apply(const ChangeRequest &request)
{
    if (request.declaration.size() > m_maxDeclarationBytes) {
        return Error{ErrorCode::Oversized, Step::CheckDeclaration, "",
                     "declaration of " + std::to_string(request.declaration.size()) +
                             " bytes; expected at most " + std::to_string(m_maxDeclarationBytes)};
    }
    BOOST_OUTCOME_TRYV(parseDeclaration(request.declaration, "declaration"));
    BOOST_OUTCOME_TRY(stored, read());
    if (const HistoryEntry *earlier = stored.envelope.findChange(request.changeId)) {
        return ChangeResult{ChangeOutcome::Accepted, earlier->revision, {}, {}, {}};
    }
    if (auto refused = refusal(request, stored)) {
        return std::move(*refused);
    }
    const bool isStoredCurrent = !request.aboveRevision && !stored.mayLackChanges();
    if (isStoredCurrent && statesTheSame(stored.envelope.declaration, request.declaration)) {
        return ChangeResult{ChangeOutcome::Unchanged,
                            stored.envelope.revision,
                            "the declaration states what is stored",
                            {},
                            {}};
    }
    return write(request, std::move(stored));
}

std::optional<ChangeResult> DeclarationStore::refusal(const ChangeRequest &request,
                                                      const StoredDeclaration &stored) const
{
    const bool isExpected =
            stored.version == request.expectedVersion &&
            stored.envelope.changeId == request.expectedChange.value_or(stored.envelope.changeId);
    if (!isExpected) {
        return lostAgainst(request, stored);
    }
    const Revision confirmed = request.aboveRevision.value_or(Revision{0});
    const Revision known = std::max(stored.envelope.revision, confirmed);
    if (request.highestInForce > known) {
        const std::string highest = revisionText(request.highestInForce);
        return ChangeResult{ChangeOutcome::Refused,
                            stored.envelope.revision,
                            "the platform holds revision " +
                                    revisionText(stored.envelope.revision) +
                                    ", but balancers have revision " + highest +
                                    " in force: the platform came back with older data; check the "
                                    "declaration in force and apply with --above-revision " +
                                    highest,
                            {},
                            {}};
    }
    return std::nullopt;
}

ChangeResult DeclarationStore::lostAgainst(const ChangeRequest &request,
                                           const StoredDeclaration &stored) const
{
    ChangeResult result{ChangeOutcome::Refused,
                        stored.envelope.revision,
                        "another change was accepted first",
                        {},
                        {}};
    if (!stored.envelope.history.empty()) {
        result.winner = stored.envelope.history.front();
    }
    const auto theirs = parseDeclaration(stored.envelope.declaration, "stored");
    const auto ours = parseDeclaration(request.declaration, "new");
    if (theirs && ours) {
        result.differences = diffDeclarations(theirs.assume_value(), ours.assume_value());
    }
    return result;
}

Envelope DeclarationStore::nextEnvelope(const ChangeRequest &request,
                                        const StoredDeclaration &stored) const
{
    const Revision confirmed = request.aboveRevision.value_or(Revision{0});
    const Revision base = std::max(stored.envelope.revision, confirmed);
    // Counted from the era of the stored change: a second return may lose the first one's changes.
    const std::uint64_t returns =
            stored.era > stored.envelope.era ? stored.era - stored.envelope.era : 1;
    const std::uint64_t leftOut = stored.mayLackChanges() ? returns * RevisionsPerRestoration : 0;
    Envelope next = stored.envelope;
    next.revision = Revision{base.value + leftOut + 1};
    next.era = stored.era;
    next.changeId = request.changeId;
    next.declaration = request.declaration;
    next.history.insert(next.history.begin(),
                        {next.revision, request.changeId, request.author, m_hooks.wallTime()});
    next.history.resize(std::min(next.history.size(), MaxHistory));
    return next;
}

Result<ChangeResult> DeclarationStore::write(ChangeRequest request, StoredDeclaration stored)
{
    const std::size_t size = formatEnvelope(nextEnvelope(request, stored)).size();
    if (size > MaxEnvelopeBytes) {
        return Error{ErrorCode::Oversized, Step::WritePlatform, DeclarationKey,
                     "declaration and history of " + std::to_string(size) +
                             " bytes; expected at most " + std::to_string(MaxEnvelopeBytes)};
    }
    request.expectedChange = stored.envelope.changeId;
    bool mayHaveTakenEffect = false;
    for (int attempt = 1; attempt <= MaxWrites; ++attempt) {
        if (mayHaveTakenEffect) {
            // If the platform returned from an older copy meanwhile, another change may have got
            // the expected version.
            auto again = read();
            if (!again) {
                m_hooks.pause(RetryPause);
                continue;
            }
            stored = std::move(again.assume_value());
            if (const HistoryEntry *entry = stored.envelope.findChange(request.changeId)) {
                return ChangeResult{ChangeOutcome::Accepted, entry->revision, {}, {}, {}};
            }
            if (auto refused = refusal(request, stored)) {
                return std::move(*refused);
            }
        }
        const Envelope next = nextEnvelope(request, stored);
        const auto written = m_hooks.compareAndSwap(formatEnvelope(next), request.expectedVersion);
        if (written) {
            m_last = StoredDeclaration{written.assume_value(), next, stored.era};
            return ChangeResult{ChangeOutcome::Accepted, next.revision, {}, {}, {}};
        }
        const ErrorCode code = written.assume_error().code;
        if (code != ErrorCode::Conflict && code != ErrorCode::OutcomeUnknown &&
            !mayHaveTakenEffect) {
            return written.assume_error();
        }
        mayHaveTakenEffect = mayHaveTakenEffect || code == ErrorCode::OutcomeUnknown;
        if (code == ErrorCode::Conflict) {
            // The version has moved on, by an earlier attempt of this change or by another change;
            // no attempt that is still under way can take effect any more.
            const auto current = read();
            if (current) {
                const auto *entry = current.assume_value().envelope.findChange(request.changeId);
                return entry ? ChangeResult{ChangeOutcome::Accepted, entry->revision, {}, {}, {}}
                             : lostAgainst(request, current.assume_value());
            }
            if (!mayHaveTakenEffect) {
                return ChangeResult{
                        ChangeOutcome::Refused, {}, "another change was accepted first", {}, {}};
            }
        }
        m_hooks.pause(RetryPause);
    }
    return ChangeResult{ChangeOutcome::Unknown,
                        {},
                        "the platform did not answer; find out with: damaskhallctl settle " +
                                request.changeId,
                        {},
                        {}};
}

Result<ChangeResult> DeclarationStore::settle(const std::string &changeId, Revision highestInForce)
{
    for (int attempt = 1; attempt <= MaxWrites; ++attempt) {
        BOOST_OUTCOME_TRY(stored, read());
        if (const HistoryEntry *entry = stored.envelope.findChange(changeId)) {
            return ChangeResult{ChangeOutcome::Accepted, entry->revision, {}, {}, {}};
        }
        if (stored.version == 0) {
            break;
        }
        if (highestInForce > stored.envelope.revision || !coversChange(stored, changeId)) {
            return ChangeResult{ChangeOutcome::Unknown,
                                stored.envelope.revision,
                                "the platform's history does not cover the change: it is too old, "
                                "or the platform came back with older data",
                                {},
                                {}};
        }
        const auto fenced = m_hooks.compareAndSwap(formatEnvelope(stored.envelope), stored.version);
        if (fenced) {
            return ChangeResult{ChangeOutcome::Unchanged,
                                stored.envelope.revision,
                                "the change is not in the history and cannot take effect any more",
                                {},
                                {}};
        }
        m_hooks.pause(RetryPause);
    }
    return ChangeResult{ChangeOutcome::Unknown,
                        {},
                        "the platform did not confirm; ask again with: damaskhallctl settle " +
                                changeId,
                        {},
                        {}};
}

} // namespace damaskhall
