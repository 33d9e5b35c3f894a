#include "core/dispatch/retrybudget.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

// Guards against retries that amplify an overload.
TEST(RetryBudget, AllowsOneRetryPerTenRequests)
{
    RetryBudget budget;
    EXPECT_FALSE(budget.tryAcquire());
    int retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        budget.onRequestTaken();
        retries += budget.tryAcquire() ? 1 : 0;
    }
    EXPECT_LE(retries, 100);
    EXPECT_GE(retries, 90);
}

} // namespace
} // namespace damaskhall
