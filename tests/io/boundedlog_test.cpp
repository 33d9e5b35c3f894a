#include "io/boundedlog.h"

#include <array>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace damaskhall {
namespace {

class BoundedLogTest : public ::testing::Test
{
protected:
    BoundedLogTest() { EXPECT_EQ(pipe(m_pipe.data()), 0); }

    ~BoundedLogTest() override
    {
        close(m_pipe[0]);
        close(m_pipe[1]);
    }

    int output() const { return m_pipe[1]; }

    /// Returns what was written since the last call.
    std::string read()
    {
        fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 65'536> buffer{};
        ssize_t length = 0;
        while ((length = ::read(m_pipe[0], buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(length));
        }
        return text;
    }

private:
    std::array<int, 2> m_pipe{};
};

// Guards against lines that a log collector cannot split.
TEST_F(BoundedLogTest, WritesOneLineWithPrefixAndFields)
{
    BoundedLog log(output(), LogLevel::Info);
    log.log(LogLevel::Warn, "flow", "reset", {{"reason", "no_route"}, {"detail", "a b\nc"}});
    log.log(LogLevel::Debug, "flow", "not shown");
    log.flush();
    const std::string text = read();
    EXPECT_NE(text.find(" WARN  flow: reset reason=no_route detail=\"a b\\nc\"\n"),
              std::string::npos)
            << text;
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
}

// Guards against traffic that waits for a reader of the log that has stopped.
TEST_F(BoundedLogTest, NeverWaitsForItsReaderAndCountsWhatIsLost)
{
    BoundedLog log(output(), LogLevel::Info, 10'000);
    const std::string sentence(100, 'x');
    for (int i = 0; i < 5000; ++i) {
        log.log(LogLevel::Info, "flow", sentence);
        log.flush();
    }
    EXPECT_GT(log.lostLines(), 3000U);
    // The reader is back: what was kept comes, then the number of lines that are missing.
    std::string text;
    for (int i = 0; i < 5; ++i) {
        text += read();
        log.flush();
    }
    EXPECT_NE(text.find("lines=" + std::to_string(log.lostLines())), std::string::npos);
}

// Guards against a reload that changes nothing.
TEST_F(BoundedLogTest, ChangesItsLevel)
{
    BoundedLog log(output(), LogLevel::Info);
    log.setLevel(parseLogLevel("error"));
    log.log(LogLevel::Warn, "flow", "quiet");
    log.log(LogLevel::Error, "flow", "loud");
    log.flush();
    const std::string text = read();
    EXPECT_EQ(text.find("quiet"), std::string::npos);
    EXPECT_NE(text.find("loud"), std::string::npos);
}

} // namespace
} // namespace damaskhall
