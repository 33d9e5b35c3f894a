#include "measure/statistics.h"

#include <gtest/gtest.h>

namespace damaskhall::measure {
namespace {

// Guards against an off-by-one rank that hides the slowest percent.
TEST(Statistics, PercentileIsTheNearestRank)
{
    std::vector<double> values;
    for (int i = 100; i >= 1; --i) {
        values.push_back(i);
    }
    EXPECT_DOUBLE_EQ(percentile(values, 0.99), 99);
    EXPECT_DOUBLE_EQ(percentile(values, 1), 100);
    EXPECT_DOUBLE_EQ(percentile(values, 0.001), 1);
    EXPECT_DOUBLE_EQ(percentile({7}, 0.99), 7);
    EXPECT_DOUBLE_EQ(percentile({}, 0.99), 0);
}

// Guards against a median that takes one side of an even number of seeds.
TEST(Statistics, MedianOfEvenCountIsTheMeanOfTheMiddle)
{
    EXPECT_DOUBLE_EQ(median({4, 1, 3, 2}), 2.5);
    EXPECT_DOUBLE_EQ(median({9, 1, 5}), 5);
    EXPECT_DOUBLE_EQ(median({}), 0);
}

// Guards against an imbalance that compares with the lowest share instead of the mean.
TEST(Statistics, ImbalanceIsHighestOverMean)
{
    EXPECT_DOUBLE_EQ(imbalance({1, 1, 1, 1}), 1);
    EXPECT_DOUBLE_EQ(imbalance({0, 0, 3, 1}), 3);
    EXPECT_DOUBLE_EQ(imbalance({0, 0}), 1);
}

// Guards against a fairness index that is not 1/n when one workspace takes everything.
TEST(Statistics, JainIndexSpansOneOverCountToOne)
{
    EXPECT_DOUBLE_EQ(jainIndex({5, 5, 5}), 1);
    EXPECT_DOUBLE_EQ(jainIndex({8, 0, 0, 0}), 0.25);
    EXPECT_DOUBLE_EQ(jainIndex({}), 1);
}

} // namespace
} // namespace damaskhall::measure
