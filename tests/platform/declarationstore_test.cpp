#include "platform/declarationstore.h"

#include <functional>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;

std::string declarationWith(const std::string &target)
{
    return "[service a]\n[class a/c]\nkind = request\nanswer_within = " + target + "\n";
}

/// Platform with one key whose faults a test sets.
struct FakePlatform
{
    PlatformValue value;
    /// Called before each write; returns an error to answer in place of the write.
    std::function<std::optional<Error>()> beforeWrite = [] { return std::nullopt; };
    /// Called after each write that took effect; returns an error in place of the reply.
    std::function<std::optional<Error>()> afterWrite = [] { return std::nullopt; };
    bool isReadable = true;
    int writes = 0;

    /// Returns from an older copy, as a platform that numbers such returns.
    void restore(const PlatformValue &copy)
    {
        const std::uint32_t next = value.era + 1;
        value = copy;
        value.era = next;
    }

    Result<std::uint64_t> swap(const std::string &text, std::uint64_t expected)
    {
        ++writes;
        // Copies, because the hooks replace themselves.
        const auto before = beforeWrite;
        const auto after = afterWrite;
        if (auto error = before()) {
            return *error;
        }
        if (expected != value.version) {
            return Error{ErrorCode::Conflict, Step::WritePlatform, "platform", ""};
        }
        value = {text, value.version + 1, value.era};
        if (auto error = after()) {
            return *error;
        }
        return value.version;
    }

    DeclarationStore store()
    {
        const auto read = [this]() -> Result<PlatformValue> {
            if (!isReadable) {
                return Error{ErrorCode::Timeout, Step::ReadPlatform, "platform", ""};
            }
            return value;
        };
        return {{read,
                 [this](const std::string &text, std::uint64_t expected) {
                     return swap(text, expected);
                 },
                 [] { return 1000_s; }, [](Milliseconds) {}},
                4096};
    }
};

const Error LostReply{ErrorCode::OutcomeUnknown, Step::WritePlatform, "platform", "timeout"};

ChangeRequest change(const std::string &target, const std::string &id, std::uint64_t version)
{
    return {declarationWith(target), id, "ama", version, {}, {}};
}

class DeclarationStoreTest : public testing::Test
{
protected:
    ChangeResult apply(const ChangeRequest &request)
    {
        const auto result = platform.store().apply(request);
        EXPECT_TRUE(result) << toString(result.assume_error());
        return result ? result.assume_value() : ChangeResult();
    }

    FakePlatform platform;
};

// Guards against revisions that do not rise and against changes that are missing in the history.
TEST_F(DeclarationStoreTest, AcceptsChangesOneAfterAnother)
{
    EXPECT_EQ(apply(change("1 s", "0-a", 0)).revision, Revision{1});
    EXPECT_EQ(apply(change("2 s", "1-b", 1)).revision, Revision{2});
    const auto stored = platform.store().read().assume_value();
    EXPECT_EQ(stored.envelope.declaration, declarationWith("2 s"));
    EXPECT_THAT(stored.envelope.history,
                ElementsAre(HistoryEntry{Revision{2}, "1-b", "ama", 1000_s},
                            HistoryEntry{Revision{1}, "0-a", "ama", 1000_s}));

    SCOPED_TRACE("the same statement again is not a new revision");
    const auto same = apply(change("2000 ms", "2-c", 2));
    EXPECT_EQ(same.outcome, ChangeOutcome::Unchanged);
    EXPECT_EQ(platform.writes, 2);
}

// Guards against a write of something that balancers could not apply.
TEST_F(DeclarationStoreTest, WritesNothingThatIsWrong)
{
    const auto wrong = platform.store().apply(change("2", "0-a", 0));
    ASSERT_FALSE(wrong);
    EXPECT_THAT(wrong.assume_error().detail, HasSubstr("declaration:4: found answer_within '2'"));
    const auto large = platform.store().apply(change("1 s\n;" + std::string(5000, 'x'), "0-a", 0));
    ASSERT_FALSE(large);
    EXPECT_EQ(large.assume_error().code, ErrorCode::Oversized);
    EXPECT_EQ(platform.writes, 0);
}

// Guards against the second of two operators overwriting the first, and against a refusal that does
// not say who won.
TEST_F(DeclarationStoreTest, RefusesTheSlowerOfTwoOperators)
{
    apply(change("1 s", "0-a", 0));
    ChangeRequest theirs = change("5 s", "1-theirs", 1);
    theirs.author = "bandara";

    SCOPED_TRACE("the other change is accepted before the read");
    apply(theirs);
    const auto late = apply(change("2 s", "1-late", 1));
    EXPECT_EQ(late.outcome, ChangeOutcome::Refused);
    EXPECT_EQ(late.winner->author, "bandara");
    EXPECT_THAT(late.differences, ElementsAre("changed [class a/c]: request, answer_within 5 s -> "
                                              "request, answer_within 2 s"));

    SCOPED_TRACE("the other change is accepted between the read and the write");
    theirs = change("7 s", "2-again", 2);
    platform.beforeWrite = [&]() -> std::optional<Error> {
        platform.beforeWrite = [] { return std::nullopt; };
        apply(theirs);
        return std::nullopt;
    };
    const auto between = apply(change("3 s", "2-between", 2));
    EXPECT_EQ(between.outcome, ChangeOutcome::Refused);
    EXPECT_EQ(between.winner->changeId, "2-again");
    EXPECT_EQ(between.revision, Revision{3});
}

// Guards against a change that is reported as failed, or applied twice, when the reply was lost
// after the write took effect.
TEST_F(DeclarationStoreTest, SettlesLostReplies)
{
    platform.afterWrite = [&]() -> std::optional<Error> {
        platform.afterWrite = [] { return std::nullopt; };
        return LostReply;
    };
    EXPECT_EQ(apply(change("1 s", "0-a", 0)).outcome, ChangeOutcome::Accepted);
    EXPECT_EQ(platform.value.version, 1U);

    SCOPED_TRACE("another operator writes after us, before we read back");
    platform.afterWrite = [&]() -> std::optional<Error> {
        platform.afterWrite = [] { return std::nullopt; };
        apply(change("9 s", "2-theirs", 2));
        return LostReply;
    };
    const auto ours = apply(change("2 s", "1-ours", 1));
    EXPECT_EQ(ours.outcome, ChangeOutcome::Accepted);
    EXPECT_EQ(ours.revision, Revision{2});

    SCOPED_TRACE("the write was lost, and the repeated write meets another change");
    platform.beforeWrite = [&]() -> std::optional<Error> {
        platform.beforeWrite = [] { return std::nullopt; };
        apply(change("4 s", "3-theirs", 3));
        return LostReply;
    };
    const auto lost = apply(change("3 s", "3-ours", 3));
    EXPECT_EQ(lost.outcome, ChangeOutcome::Refused);
    EXPECT_EQ(lost.winner->changeId, "3-theirs");
}

// Guards against a wrong certainty while the platform does not answer, and against a delayed write
// that takes effect after settle() said that it cannot.
TEST_F(DeclarationStoreTest, ReportsUnknownAndSettlesLater)
{
    apply(change("1 s", "0-a", 0));
    platform.beforeWrite = [] { return LostReply; };
    const auto unknown = apply(change("2 s", "1-ours", 1));
    EXPECT_EQ(unknown.outcome, ChangeOutcome::Unknown);
    EXPECT_THAT(unknown.reason, HasSubstr("damaskhallctl settle 1-ours"));

    SCOPED_TRACE("the platform is still away");
    EXPECT_EQ(platform.store().settle("1-ours", {}).assume_value().outcome, ChangeOutcome::Unknown);

    SCOPED_TRACE("the platform is back; the delayed write meets a new version");
    platform.beforeWrite = [] { return std::nullopt; };
    EXPECT_EQ(platform.store().settle("1-ours", {}).assume_value().outcome,
              ChangeOutcome::Unchanged);
    EXPECT_FALSE(platform.swap("delayed", 1));
    EXPECT_EQ(platform.store().read().assume_value().envelope.revision, Revision{1});
    const auto accepted = platform.store().settle("0-a", {}).assume_value();
    EXPECT_EQ(accepted.outcome, ChangeOutcome::Accepted);
    EXPECT_EQ(accepted.revision, Revision{1});

    SCOPED_TRACE("balancers have more than the platform: its history proves nothing");
    EXPECT_EQ(platform.store().settle("1-ours", Revision{2}).assume_value().outcome,
              ChangeOutcome::Unknown);
}

// Guards against "cannot take effect" about an accepted change that the history has dropped.
TEST_F(DeclarationStoreTest, DoesNotJudgeChangesOlderThanTheHistory)
{
    for (std::uint64_t i = 0; i < 202; ++i) {
        apply(change(std::to_string(i + 1) + " ms", makeChangeId(Revision{i}, i), i));
    }
    const auto settle = [&](Revision base, std::uint64_t random) {
        return platform.store().settle(makeChangeId(base, random), {}).assume_value().outcome;
    };
    EXPECT_EQ(settle(Revision{0}, 0), ChangeOutcome::Unknown);
    EXPECT_EQ(settle(Revision{201}, 201), ChangeOutcome::Accepted);
    EXPECT_EQ(settle(Revision{201}, 7), ChangeOutcome::Unchanged);
}

// Guards against a new revision below one that is in force, which balancers would ignore.
TEST_F(DeclarationStoreTest, RefusesWhenThePlatformHasOlderData)
{
    apply(change("1 s", "0-a", 0));
    ChangeRequest request = change("2 s", "1-b", 1);
    request.highestInForce = Revision{9};
    const auto refused = apply(request);
    EXPECT_EQ(refused.outcome, ChangeOutcome::Refused);
    EXPECT_THAT(refused.reason, HasSubstr("balancers have revision 9 in force"));
    request.aboveRevision = Revision{9};
    EXPECT_EQ(apply(request).revision, Revision{10});
}

class RestoredPlatformStoreTest : public DeclarationStoreTest
{
protected:
    RestoredPlatformStoreTest()
    {
        platform.value.era = 1;
        apply(change("1 s", "0-a", 0));
        copy = platform.value;
        apply(change("2 s", "1-b", 1));
    }

    PlatformValue copy;
};

// Guards against a revision that is given out twice: balancers that have the lost change in force
// would ignore the new one.
TEST_F(RestoredPlatformStoreTest, RevisionsOfLostChangesAreNotGivenOutAgain)
{
    EXPECT_EQ(platform.store().read().assume_value().envelope.revision, Revision{2});
    platform.restore(copy);
    const Revision first = apply(change("3 s", "1-c", 1)).revision;
    EXPECT_GT(first, Revision{2});

    SCOPED_TRACE("revisions are left out once for each return");
    const Revision second = apply(change("4 s", "1-d", 2)).revision;
    EXPECT_EQ(second, Revision{first.value + 1});

    SCOPED_TRACE("the same copy again: the changes after the first return are lost, too");
    platform.restore(copy);
    EXPECT_GT(apply(change("5 s", "1-e", 1)).revision, second);
}

// Guards against "unchanged" while balancers that were not asked have a lost change in force.
TEST_F(RestoredPlatformStoreTest, TheCopysOwnDeclarationIsANewRevision)
{
    platform.restore(copy);
    const auto again = apply(change("1 s", "1-c", 1));
    EXPECT_EQ(again.outcome, ChangeOutcome::Accepted);
    EXPECT_GT(again.revision, Revision{2});
    EXPECT_EQ(apply(change("1 s", "2-d", 2)).outcome, ChangeOutcome::Unchanged);
}

// Guards against a silent overwrite of a change that got the version which the operator saw before
// the platform returned from an older copy.
TEST_F(RestoredPlatformStoreTest, ChangeOfAnotherStateUnderTheSameVersionIsRefused)
{
    platform.restore(copy);
    apply(change("3 s", "1-theirs", 1));
    ASSERT_EQ(platform.value.version, 2U);
    ChangeRequest ours = change("4 s", "2-ours", 2);
    ours.expectedChange = "1-b";
    const auto refused = apply(ours);
    EXPECT_EQ(refused.outcome, ChangeOutcome::Refused);
    ASSERT_TRUE(refused.winner);
    EXPECT_EQ(refused.winner->changeId, "1-theirs");
}

// Guards against a repeated write that overwrites another change which got the version meanwhile.
TEST_F(RestoredPlatformStoreTest, RepeatedWriteDoesNotOverwriteAnotherChange)
{
    platform.beforeWrite = [&]() -> std::optional<Error> {
        platform.beforeWrite = [] { return std::nullopt; };
        platform.restore(copy);
        apply(change("3 s", "1-theirs", 1));
        return LostReply;
    };
    const auto lost = apply(change("4 s", "2-ours", 2));
    EXPECT_EQ(lost.outcome, ChangeOutcome::Refused);
    ASSERT_TRUE(lost.winner);
    EXPECT_EQ(lost.winner->changeId, "1-theirs");
    EXPECT_EQ(platform.store().read().assume_value().envelope.declaration, declarationWith("3 s"));
}

// Guards against "cannot take effect" about a change that was accepted and lost with the copy.
TEST_F(RestoredPlatformStoreTest, DoesNotJudgeLostChanges)
{
    platform.restore(copy);
    EXPECT_EQ(platform.store().settle("1-b", {}).assume_value().outcome, ChangeOutcome::Unknown);
    apply(change("3 s", "1-c", 1));
    EXPECT_EQ(platform.store().settle("1-b", {}).assume_value().outcome, ChangeOutcome::Unknown);
    EXPECT_EQ(platform.store().settle("1-c", {}).assume_value().outcome, ChangeOutcome::Accepted);
}

// Guards against a stored value in another form ending the process, or being overwritten.
TEST_F(DeclarationStoreTest, RefusesToReplaceWhatItCannotRead)
{
    for (const char *text : {"", "[]", "{}", R"({"revision":"x","declaration":""})",
                             R"({"revision":1,"declaration":"","history":[1]})"}) {
        platform.value = {text, 1};
        const auto result = platform.store().apply(change("1 s", "0-a", 1));
        ASSERT_FALSE(result) << text;
        EXPECT_EQ(result.assume_error().code, ErrorCode::Malformed);
    }
    platform.isReadable = false;
    EXPECT_EQ(platform.store().apply(change("1 s", "0-a", 1)).assume_error().code,
              ErrorCode::Timeout);
    EXPECT_EQ(platform.writes, 0);
}

} // namespace
} // namespace damaskhall
