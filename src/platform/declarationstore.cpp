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

bool statesTheSame(const std::string &a, const std::string &b)
{
    const auto first = parseDeclaration(a, "stored");
    const auto second = parseDeclaration(b, "new");
    return first && second && first.assume_value() == second.assume_value();
}

// Whether a change that is missing in the history never took effect.
bool coversChange(const Envelope &envelope, const std::string &changeId)
{
    if (envelope.history.size() < MaxHistory) {
        return true;
    }
    std::uint64_t base = 0;
    std::from_chars(changeId.data(), changeId.data() + changeId.size(), base);
    return envelope.history.back().revision.value <= base + 1;
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
    StoredDeclaration stored{value.version, {}};
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
    if (!request.aboveRevision && statesTheSame(stored.envelope.declaration, request.declaration)) {
        return ChangeResult{ChangeOutcome::Unchanged,
                            stored.envelope.revision,
                            "the declaration states what is stored",
                            {},
                            {}};
    }
    return write(request, nextEnvelope(request, stored));
}

std::optional<ChangeResult> DeclarationStore::refusal(const ChangeRequest &request,
                                                      const StoredDeclaration &stored) const
{
    if (stored.version != request.expectedVersion) {
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
    Envelope next = stored.envelope;
    next.revision = Revision{base.value + 1};
    next.changeId = request.changeId;
    next.declaration = request.declaration;
    next.history.insert(next.history.begin(),
                        {next.revision, request.changeId, request.author, m_hooks.wallTime()});
    next.history.resize(std::min(next.history.size(), MaxHistory));
    return next;
}

Result<ChangeResult> DeclarationStore::write(const ChangeRequest &request, const Envelope &next)
{
    const std::string text = formatEnvelope(next);
    if (text.size() > MaxEnvelopeBytes) {
        return Error{ErrorCode::Oversized, Step::WritePlatform, DeclarationKey,
                     "declaration and history of " + std::to_string(text.size()) +
                             " bytes; expected at most " + std::to_string(MaxEnvelopeBytes)};
    }
    bool mayHaveTakenEffect = false;
    for (int attempt = 1; attempt <= MaxWrites; ++attempt) {
        const auto written = m_hooks.compareAndSwap(text, request.expectedVersion);
        if (written) {
            m_last = StoredDeclaration{written.assume_value(), next};
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
            const auto stored = read();
            if (stored && stored.assume_value().envelope.findChange(request.changeId)) {
                return ChangeResult{ChangeOutcome::Accepted, next.revision, {}, {}, {}};
            }
            if (stored) {
                return lostAgainst(request, stored.assume_value());
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
        if (highestInForce > stored.envelope.revision || !coversChange(stored.envelope, changeId)) {
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
