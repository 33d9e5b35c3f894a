#include "node/logging.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

// Guards against untrusted text that forges log lines or fields.
TEST(Logging, QuotesUntrustedText)
{
    EXPECT_EQ(formatLogLine("Change accepted.", {{"author", "ama"}, {"endpoint", "10.0.0.1:7"}}),
              "Change accepted. author=ama endpoint=10.0.0.1:7");
    EXPECT_EQ(formatLogLine("Change accepted.", {{"author", "a\nERROR b=\"c\""}, {"x", ""}}),
              "Change accepted. author=\"a\\nERROR b=\\\"c\\\"\" x=\"\"");
}

// Guards against a log whose volume grows with the load, and against suppressed lines that are not
// counted.
TEST(Logging, RateLimitsRepeatedLines)
{
    Milliseconds now;
    LogLimiter limiter(Clock([&now] { return now; }), 10_s);
    EXPECT_EQ(limiter.pass("queue_full"), 0U);
    for (int i = 0; i < 500; ++i) {
        EXPECT_FALSE(limiter.pass("queue_full"));
    }
    EXPECT_EQ(limiter.pass("malformed"), 0U) << "each key has its own limit";
    now = 10_s;
    EXPECT_EQ(limiter.pass("queue_full"), 500U);
    EXPECT_FALSE(limiter.pass("queue_full"));
}

} // namespace
} // namespace damaskhall
