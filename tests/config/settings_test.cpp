#include "config/settings.h"

#include "config/configfile.h"
#include "config/units.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using testing::HasSubstr;

constexpr const char *Key = "000102030405060708090a0b0c0d0e0f";

// Guards against a process that starts with half of its settings, and against a key that a typing
// error disables in silence.
TEST(Settings, AreCheckedAsAWhole)
{
    Diagnostics diagnostics("s.ini");
    const auto document = IniDocument::scan("[balancer]\n"
                                            "id = 0\n"
                                            "listen = localhost\n"
                                            "stop_limt = 5 s\n"
                                            "stop_limit = 5\n"
                                            "token_keys = 1:00ff\n"
                                            "[extra]\n",
                                            diagnostics);
    checkSettings(document, {{"log_level", "loud"}}, diagnostics);
    const std::string text = diagnostics.text();
    EXPECT_THAT(text, HasSubstr("s.ini:1: found no data_centre"));
    EXPECT_THAT(text, HasSubstr("s.ini:1: found no platform; expected 'platform = ...' or option "
                                "--platform"));
    EXPECT_THAT(text, HasSubstr("s.ini:2: found id = '0'"));
    EXPECT_THAT(text, HasSubstr("s.ini:3: found listen = 'localhost'; expected an address and "
                                "port"));
    EXPECT_THAT(text, HasSubstr("s.ini:4: found key 'stop_limt' in [balancer]; expected "
                                "'stop_limit'"));
    EXPECT_THAT(text, HasSubstr("s.ini:5: found stop_limit = '5'; expected a whole number with "
                                "unit"));
    EXPECT_THAT(text, HasSubstr("s.ini:6: found token_keys"));
    EXPECT_THAT(text, testing::Not(HasSubstr("00ff"))) << "a key must not appear in messages";
    EXPECT_THAT(text, HasSubstr("s.ini:7: found section [extra]"));
    EXPECT_THAT(text, HasSubstr("option --log-level: found 'loud'"));
    EXPECT_EQ(diagnostics.list().size(), 9U);
}

// Guards against a command line that the file overrides, and against wrong defaults.
TEST(Settings, CommandLineTakesPrecedence)
{
    Diagnostics diagnostics("s.ini");
    const auto document = IniDocument::scan("[balancer]\nid = 1\nlisten = 127.0.0.1:7001\n"
                                            "platform = 127.0.0.1:7100\ndata_centre = k\n",
                                            diagnostics);
    const Settings settings = checkSettings(
            document, {{"id", "2"}, {"token_keys", Key}, {"token_keys", std::string("7:") + Key}},
            diagnostics);
    ASSERT_TRUE(diagnostics.isEmpty()) << diagnostics.text();
    EXPECT_EQ(settings.id, InstanceId{2});
    EXPECT_EQ(settings.tokenKeys.size(), 2U);
    EXPECT_EQ(settings.tokenKeys.at(7).at(15), 15);
    EXPECT_EQ(toString(settings.controlListen), "127.0.0.1:8001");
    EXPECT_EQ(toString(settings.adminListen), "127.0.0.1:9001");
}

// Guards against an example of settings that does not pass the check.
TEST(Settings, ExampleIsRight)
{
    const auto text = readFile(DAMASKHALL_SOURCE_DIR "/examples/balancer.ini");
    ASSERT_TRUE(text);
    EXPECT_EQ(checkConfigFile(text.assume_value(), "balancer.ini").text(), "");
}

// Guards against a number that is read in another unit than its author meant.
TEST(Units, AreWrittenOut)
{
    EXPECT_EQ(parseDuration("250 ms"), 250_ms);
    EXPECT_EQ(parseDuration("2s"), 2_s);
    EXPECT_EQ(parseSize("64 KiB"), 65536U);
    for (const char *text : {"", "5", "ms", "-1 s", "1.5 s", "2 S", "9223372036854775807 h"}) {
        EXPECT_FALSE(parseDuration(text)) << text;
    }
    for (const Milliseconds value : {0_ms, 1_ms, 1500_ms, 2_s, 90_s, 3600_s}) {
        EXPECT_EQ(parseDuration(formatDuration(value)), value);
    }
}

// Guards against a limit that a platform writes with a fraction and that cannot be read.
TEST(Units, DecimalDurationsMayHaveAFraction)
{
    const std::vector<std::pair<const char *, Milliseconds>> readable = {
            {"6.5 s", 6500_ms},     {"6.0 s", 6_s},       {"6 s", 6_s},
            {"2999.9 ms", 2999_ms}, {"1.001 s", 1001_ms}, {"0.29 s", 290_ms},
            {"3e3 ms", 3_s},        {"6.5E-1 s", 650_ms}, {"1e-9 ms", 1_ms},
            {"0 s", 0_ms},          {"0.0 ms", 0_ms},     {"1e12 s", {1'000'000'000'000'000}}};
    for (const auto &[text, expected] : readable) {
        EXPECT_EQ(parseDecimalDuration(text), expected) << text;
    }
    for (const char *text : {"", "5", "6.5", "s", " 6 s", "-1 s", "-0.5 s", "+6 s", "1,5 s", "2 S",
                             "nan s", "inf s", "1e400 s", "1.1e12 s", "true s", "6.5.1 s"}) {
        EXPECT_FALSE(parseDecimalDuration(text)) << text;
    }
}

} // namespace
} // namespace damaskhall
