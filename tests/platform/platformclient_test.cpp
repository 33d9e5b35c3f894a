#include "platform/platformclient.h"

#include "support/rawserver.h"

#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <vector>

namespace damaskhall {
namespace {

using test::RawServer;

const std::string Entry = R"({"id":7,"role":"upstream","data_centre":"east","service":"board",)"
                          R"("incarnation":1700000000000,"state":"live",)"
                          R"("endpoint":"10.1.0.7:8000"})";

std::string entryWithReplacement(const std::string &from, const std::string &to)
{
    std::string text = Entry;
    return text.replace(text.find(from), from.size(), to);
}

// The list of instances as a platform returns it, to which other programs may have written.
class PlatformInstancesTest : public ::testing::Test
{
protected:
    PlatformInstancesTest()
        : m_thread([this] { m_context.run(); })
    {
    }

    ~PlatformInstancesTest() override
    {
        m_context.stop();
        m_thread.join();
    }

    Result<PlatformInstanceList> read(const std::string &body)
    {
        m_answer = RawServer::ok(body);
        PlatformClient client(m_server.endpoint(), 2_s);
        return client.instances();
    }

private:
    std::string m_answer;
    asio::io_context m_context{1};
    RawServer m_server{m_context, [this](const std::string &) { return m_answer; }};
    std::thread m_thread;
};

// Guards against balancers that no longer follow the list, or never start, because of one entry of
// another writer.
TEST_F(PlatformInstancesTest, HoldBesideAnEntryThatCannotBeRead)
{
    constexpr std::size_t Levels = 200'000;
    const std::vector<std::string> entries = {
            "7",
            "null",
            "{}",
            entryWithReplacement("8000", "65536"),
            entryWithReplacement("8000", "99999999999999999999"),
            entryWithReplacement("\"10.1.0.7:8000\"", "8000"),
            entryWithReplacement("\"id\":7", "\"id\":99999999999999999999999"),
            entryWithReplacement("\"id\":7", "\"id\":1e99"),
            entryWithReplacement("\"id\":7", "\"id\":-7"),
            entryWithReplacement("\"id\":7", "\"id\":7.5"),
            entryWithReplacement("1700000000000", "1e99"),
            entryWithReplacement("\"board\"", "{}"),
            entryWithReplacement("\"east\"", std::string(Levels, '[') + std::string(Levels, ']')),
    };
    for (const std::string &entry : entries) {
        SCOPED_TRACE(entry.substr(0, 200));
        const auto list = read("[" + entry + "," + Entry + "]");
        ASSERT_TRUE(list) << toString(list.assume_error());
        ASSERT_EQ(list.assume_value().instances.size(), 1U);
        EXPECT_EQ(list.assume_value().instances[0].id, 7U);
        EXPECT_EQ(list.assume_value().refused, 1U);
    }
}

// Guards against an entry that is taken for another balancer because its id does not fit.
TEST_F(PlatformInstancesTest, RefuseABalancerWhoseIdIsTooLarge)
{
    std::string entry = entryWithReplacement("\"id\":7", "\"id\":4294967303");
    EXPECT_EQ(read("[" + entry + "]").assume_value().instances.size(), 1U)
            << "ids of upstreams have 64 bits";
    entry.replace(entry.find("upstream"), 8, "balancer");
    EXPECT_EQ(read("[" + entry + "]").assume_value().refused, 1U);
}

} // namespace
} // namespace damaskhall
