#include "metrics/metrics.h"

#include "metrics/distribution.h"

#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <iterator>
#include <regex>
#include <set>
#include <thread>

namespace damaskhall {
namespace {

using testing::HasSubstr;
using testing::Not;

Declaration boardDeclaration()
{
    Declaration declaration;
    declaration.services.push_back({serviceId("board"), "board", {}});
    declaration.services[0].classes.push_back(
            {classId("board", "claim"), "claim", WorkKind::Request, false, 2_s});
    return declaration;
}

// Guards against counts under the wrong class, and against foreign packets that fill the memory
// with series of invented services.
TEST(Metrics, CountsByDeclaredClassOnly)
{
    Metrics metrics{Clock()};
    metrics.setDeclaration(boardDeclaration());
    const ServiceId board = serviceId("board");
    metrics.countRefusal(RefusalReason::QueueFull, board, classId("board", "claim"));
    metrics.countRefusal(RefusalReason::UnknownClass, board, ClassId{99});
    for (std::uint32_t i = 1000; i < 2000; ++i) {
        metrics.countRefusal(RefusalReason::UnknownService, ServiceId{i}, ClassId{i});
    }
    const std::string text = metrics.text({{"damaskhall_revision", "", 7}});
    EXPECT_THAT(text, HasSubstr("damaskhall_refusals_total{reason=\"queue_full\",service=\"board\","
                                "class=\"claim\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("{reason=\"unknown_service\",service=\"\",class=\"\"} 1000\n"));
    EXPECT_THAT(text, HasSubstr("# TYPE damaskhall_revision gauge\ndamaskhall_revision 7\n"));
    EXPECT_LT(std::count(text.begin(), text.end(), '\n'), 60);

    SCOPED_TRACE("a class that is no longer declared disappears");
    metrics.setDeclaration(Declaration());
    EXPECT_THAT(metrics.text({}), Not(HasSubstr("board")));
}

// Guards against lost counts and data races between traffic threads and a reader.
TEST(Metrics, CountsFromSeveralThreads)
{
    Metrics metrics{Clock()};
    metrics.setDeclaration(boardDeclaration());
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&metrics] {
            for (int i = 0; i < 10'000; ++i) {
                metrics.countEvent(CoreEvent::TargetMet, serviceId("board"),
                                   classId("board", "claim"));
                metrics.observe(CoreSample::QueueWait, serviceId("board"),
                                classId("board", "claim"), 5_ms);
            }
        });
    }
    EXPECT_THAT(metrics.text({}), HasSubstr("# TYPE"));
    for (std::thread &thread : threads) {
        thread.join();
    }
    ASSERT_EQ(metrics.targets().size(), 1U);
    EXPECT_EQ(metrics.targets()[0].met, 40'000U);
    EXPECT_THAT(metrics.text({}), HasSubstr("damaskhall_queue_wait_milliseconds_count{service="
                                            "\"board\",class=\"claim\"} 40000\n"));
}

// Guards against quantiles that an old calm hour dominates, or that come from too few samples.
TEST(Distribution, DescribesTheLastMinute)
{
    Distribution distribution;
    distribution.add(1_ms, 0_ms);
    EXPECT_FALSE(distribution.quantiles(0_ms));
    for (int i = 0; i < 10'000; ++i) {
        distribution.add(10_ms, 1_s);
    }
    for (int i = 0; i < 1000; ++i) {
        distribution.add(Milliseconds{i}, 61_s);
    }
    EXPECT_NEAR(distribution.quantiles(62_s)->at(0), 10, 1) << "the last full minute";
    distribution.add(1_ms, 125_s);
    EXPECT_NEAR(distribution.quantiles(126_s)->at(0), 500, 50);
    EXPECT_NEAR(distribution.quantiles(126_s)->at(2), 990, 20);
    EXPECT_EQ(distribution.count(), 11'002U);
}

// Guards against a metric, reason or event without documentation, and against documentation of one
// that does not exist.
TEST(Metrics, DocumentationListsExactlyWhatExists)
{
    std::ifstream stream(DAMASKHALL_SOURCE_DIR "/docs/metrics.md");
    const std::string page(std::istreambuf_iterator<char>(stream), {});
    std::set<std::string> documented;
    const std::regex row("\n\\| `([a-z_]+)` \\|");
    for (std::sregex_iterator it(page.begin(), page.end(), row); it != std::sregex_iterator();
         ++it) {
        documented.insert((*it)[1]);
    }
    std::set<std::string> existing;
    for (const MetricInfo &info : metricInfos()) {
        existing.emplace(info.name);
    }
    for (int i = 0; i < RefusalReasonCount; ++i) {
        existing.emplace(toString(static_cast<RefusalReason>(i)));
    }
    for (int i = 0; i < RetryReasonCount; ++i) {
        existing.emplace(toString(static_cast<RetryReason>(i)));
    }
    for (int i = 0; i < CoreEventCount; ++i) {
        existing.emplace(toString(static_cast<CoreEvent>(i)));
    }
    for (int i = 0; i < ControlEventCount; ++i) {
        existing.emplace(toString(static_cast<ControlEvent>(i)));
    }
    EXPECT_EQ(documented, existing);
}

} // namespace
} // namespace damaskhall
