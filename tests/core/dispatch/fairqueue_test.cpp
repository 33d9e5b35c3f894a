#include "core/dispatch/fairqueue.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

constexpr ClassId Claim{1};
constexpr ClassId Upload{2};

QueueEntry entry(std::uint64_t request, std::uint32_t workspace, Milliseconds arrival = 0_ms,
                 ClassId workClass = Claim, Milliseconds target = 1_s)
{
    return {RequestId{request}, workClass, WorkspaceId{workspace}, arrival, target};
}

// Guards against a workspace that is served late because another one queued many requests first.
TEST(FairQueue, WorkspacesShareAClassFairly)
{
    FairQueue queue(100);
    for (std::uint64_t request = 1; request <= 10; ++request) {
        queue.push(entry(request, 1));
    }
    queue.push(entry(11, 2, 5_ms));
    queue.pop();
    EXPECT_EQ(queue.pop(), RequestId{11});
    EXPECT_EQ(queue.pop(), RequestId{2});
    {
        SCOPED_TRACE("a workspace that was idle gains no extra share");
        queue.push(entry(12, 2, 6_ms));
        queue.push(entry(13, 2, 6_ms));
        EXPECT_EQ(queue.pop(), RequestId{12});
        EXPECT_EQ(queue.pop(), RequestId{3});
        EXPECT_EQ(queue.pop(), RequestId{13});
    }
}

// Guards against work of classes with long targets that delays urgent work, and the reverse.
TEST(FairQueue, EarliestArrivalPlusTargetGoesFirst)
{
    FairQueue queue(100);
    queue.push(entry(1, 1, 0_ms, Upload, 10_s));
    queue.push(entry(2, 1, 5_s, Claim, 1_s));
    queue.push(entry(3, 1, 9_s + 500_ms, Claim, 1_s));
    EXPECT_EQ(queue.pop(), RequestId{2});
    EXPECT_EQ(queue.pop(), RequestId{1});
    EXPECT_EQ(queue.pop(), RequestId{3});
    EXPECT_EQ(queue.pop(), std::nullopt);
}

// Guards against a reservation that loses its place in the queue when its dispatcher fails.
TEST(FairQueue, EarlierArrivalGoesFirstWithinItsWorkspace)
{
    FairQueue queue(100);
    queue.push(entry(1, 1, 100_ms));
    queue.push(entry(2, 1, 40_ms));
    EXPECT_EQ(queue.pop(), RequestId{2});
}

// Guards against unbounded memory, and against one busy workspace that fills the whole queue.
TEST(FairQueue, FullClassEvictsFromItsLargestWorkspace)
{
    FairQueue queue(3);
    for (std::uint64_t request = 1; request <= 3; ++request) {
        EXPECT_EQ(queue.push(entry(request, 1)), std::nullopt);
    }
    EXPECT_EQ(queue.push(entry(4, 2)), RequestId{3});
    EXPECT_EQ(queue.push(entry(5, 1)), RequestId{5});
    EXPECT_EQ(queue.size(), 3U);
    queue.remove(entry(1, 1));
    EXPECT_EQ(queue.size(), 2U);
    EXPECT_EQ(queue.drain().size(), 2U);
}

// Guards against wait estimates that include the whole queue of a large workspace for a small one.
TEST(FairQueue, CountsEntriesAheadOfANewOne)
{
    FairQueue queue(100);
    for (std::uint64_t request = 1; request <= 10; ++request) {
        queue.push(entry(request, 1, Milliseconds{static_cast<std::int64_t>(request) * 100}));
    }
    EXPECT_EQ(queue.countAhead(entry(11, 2, 1_s), 1_s), 1U);
    EXPECT_EQ(queue.countAhead(entry(11, 1, 1_s), 1_s), 10U);
    EXPECT_EQ(queue.countAhead(entry(11, 2, 1_s, Upload, 10_s), 1_s), 10U);
    EXPECT_EQ(queue.countAhead(entry(11, 2, 1_s, Upload, 500_ms), 1_s), 4U);
}

} // namespace
} // namespace damaskhall
