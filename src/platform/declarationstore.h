#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "platform/envelope.h"
#include "platform/platformclient.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace damaskhall {

/// What DeclarationStore needs from outside. Tests replace the platform.
struct DeclarationStoreHooks
{
    /// Reads the key of the declaration. Errors: as PlatformClient::read().
    std::function<Result<PlatformValue>()> read;
    /// Writes the key. Errors: as PlatformClient::compareAndSwap().
    std::function<Result<std::uint64_t>(const std::string &value, std::uint64_t expected)>
            compareAndSwap;
    /// Wall-clock time since 1970, for the history.
    std::function<Milliseconds()> wallTime;
    /// Waits before a lost reply is settled once more.
    std::function<void(Milliseconds)> pause;
};

/// Returns an id for a change of revision @p base: the revision, which tells how far back the
/// history must reach, and 64 random bits. Thread safety: reentrant.
std::string makeChangeId(Revision base, std::uint64_t random);

/// Returns hooks that use @p client, which must outlive them.
DeclarationStoreHooks storeHooks(PlatformClient &client);

/// Envelope with the platform's version of the key.
struct StoredDeclaration
{
    /// Zero: no declaration has been written yet.
    std::uint64_t version = 0;
    Envelope envelope;
    /// Era of the platform at this read. Zero: it names none.
    std::uint32_t era = 0;

    /// Returns whether changes that were accepted after this one may be missing, because the
    /// platform returned from an older copy. An envelope of unknown era may come from before.
    bool mayLackChanges() const { return version > 0 && era != envelope.era && era > 0; }
};

/// A change that an operator asks for.
struct ChangeRequest
{
    std::string declaration;
    /// Random, chosen by the operator's tool, so that the outcome can be asked for after any loss.
    std::string changeId;
    std::string author;
    /// Version of the key that the operator saw; the change applies to this one only.
    std::uint64_t expectedVersion = 0;
    /// Highest revision that balancers report as in force.
    Revision highestInForce;
    /// Confirms that the new revision shall be above this one, although the platform holds a lower
    /// one than balancers have in force.
    std::optional<Revision> aboveRevision;
    /// Change that the operator saw under expectedVersion: the platform gives out versions again
    /// after it returned from an older copy. Without it the version alone decides.
    std::optional<std::string> expectedChange = std::nullopt;
};

enum class ChangeOutcome : std::uint8_t {
    Accepted,
    Refused,
    /// The change does not differ from what is stored, or never took effect and cannot any more.
    Unchanged,
    /// The write may or may not have taken effect; settle() finds out.
    Unknown,
};

struct ChangeResult
{
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    /// Accepted: the revision of the change. Otherwise the stored revision, if known.
    Revision revision;
    /// Sentence for people; empty if accepted.
    std::string reason;
    /// Refused because of another change: that change.
    std::optional<HistoryEntry> winner;
    /// Refused because of another change: what the stored declaration differs in.
    std::vector<std::string> differences;
};

/// Reads and changes the declaration in the platform by compare-and-swap.
/// Thread safety: one thread at a time.
class DeclarationStore
{
public:
    /// Precondition: all hooks are set.
    DeclarationStore(DeclarationStoreHooks hooks, std::uint64_t maxDeclarationBytes);

    /// Reads what is stored. Errors: Unreachable, Timeout, Malformed.
    Result<StoredDeclaration> read();

    /// Writes a change. A lost reply is settled by reading the history and by repeating the write,
    /// which can take effect only once. After a return from an older copy the new revision is above
    /// all that were given out before. Errors: Unreachable, Timeout, Malformed (nothing was
    /// written), InvalidValue (mistakes in the declaration), Oversized.
    Result<ChangeResult> apply(const ChangeRequest &request);

    /// Finds out whether the change took effect: Accepted, Unchanged or Unknown. If it did not, the
    /// key is written again without change, so that a write that is still under way meets another
    /// version and fails. @p highestInForce is the highest revision that balancers report. Errors:
    /// as read().
    Result<ChangeResult> settle(const std::string &changeId, Revision highestInForce);

    /// Returns what the last successful read() or write found.
    const std::optional<StoredDeclaration> &lastRead() const { return m_last; }

private:
    Result<ChangeResult> write(ChangeRequest request, StoredDeclaration stored);
    std::optional<ChangeResult> refusal(const ChangeRequest &request,
                                        const StoredDeclaration &stored) const;
    ChangeResult lostAgainst(const ChangeRequest &request, const StoredDeclaration &stored) const;
    Envelope nextEnvelope(const ChangeRequest &request, const StoredDeclaration &stored) const;

    DeclarationStoreHooks m_hooks;
    std::uint64_t m_maxDeclarationBytes;
    std::optional<StoredDeclaration> m_last;
};

} // namespace damaskhall
