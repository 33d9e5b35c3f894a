#include "core/dispatch/requesttable.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

Reserve reservation(std::uint64_t request)
{
    Reserve reserve;
    reserve.request = RequestId{request};
    return reserve;
}

// Guards against unbounded memory, and against timers, attempts or counts that stay after their
// record is erased.
TEST(RequestTable, EraseRemovesAttemptsTimersAndCounts)
{
    RequestTable table(2);
    RequestRecord *first = table.insert(reservation(1));
    RequestRecord *second = table.insert(reservation(2));
    EXPECT_EQ(table.insert(reservation(3)), nullptr);
    table.setPhase(*first, RecordPhase::Sent);
    table.setAttempt(*first, AttemptId{77});
    table.setTimer(*first, 10_ms);
    table.setTimer(*second, 30_ms);
    table.erase(RequestId{1});
    EXPECT_EQ(table.findAttempt(AttemptId{77}), nullptr);
    EXPECT_EQ(table.countOf(RecordPhase::Sent), 0U);
    EXPECT_EQ(table.popDueRecord(20_ms), nullptr);
    EXPECT_EQ(table.popDueRecord(30_ms), second);
    EXPECT_NE(table.insert(reservation(3)), nullptr);
}

// Guards against accepting replies to a replaced attempt, and against a replaced timer that fires.
TEST(RequestTable, KeepsOneAttemptAndOneTimerPerRecord)
{
    RequestTable table(2);
    RequestRecord *record = table.insert(reservation(1));
    table.setAttempt(*record, AttemptId{77});
    table.setAttempt(*record, AttemptId{78});
    EXPECT_EQ(table.findAttempt(AttemptId{77}), nullptr);
    EXPECT_EQ(table.findAttempt(AttemptId{78}), record);
    table.setTimer(*record, 10_ms);
    table.setTimer(*record, 50_ms);
    EXPECT_EQ(table.popDueRecord(49_ms), nullptr);
    EXPECT_EQ(table.popDueRecord(50_ms), record);
    EXPECT_EQ(table.popDueRecord(50_ms), nullptr);
}

} // namespace
} // namespace damaskhall
