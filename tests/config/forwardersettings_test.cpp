#include "config/forwardersettings.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

const std::string Complete = R"([forwarder]
name = front-1
data_centre = katugastota
region = central-hills
listen = 10.1.0.10:8172
status_listen = 10.1.0.10:8167
peer_listen = 10.1.0.10:8166
seeds = 10.1.0.10:8166,10.2.0.40:8166
store = 10.200.1.7:8169
leaving_limit = 3000 ms
declaration_limit = 3000 ms
flow_lifetime = 60 s
stop_limit = 6 s
confirmation = 2 s
)";

ForwarderSettings check(const std::string &text, Diagnostics &diagnostics)
{
    return checkForwarderSettings(IniDocument::scan(text, diagnostics), diagnostics);
}

// Guards against settings that the platform fills in and the forwarder does not understand.
TEST(ForwarderSettingsTest, ReadsACompleteFile)
{
    Diagnostics diagnostics("front.ini");
    const ForwarderSettings settings = check(Complete, diagnostics);
    EXPECT_TRUE(diagnostics.isEmpty()) << diagnostics.text();
    EXPECT_EQ(settings.seeds.size(), 2U);
    EXPECT_EQ(settings.leavingLimit, 3_s);
    EXPECT_EQ(toString(settings.store), "10.200.1.7:8169");
}

// Guards against an instance that does not start because the platform knows no seeds.
TEST(ForwarderSettingsTest, TakesOptionalValuesThatAreEmpty)
{
    std::string text = Complete;
    text.replace(text.find("10.1.0.10:8166,10.2.0.40:8166"), 29, "");
    Diagnostics diagnostics("front.ini");
    EXPECT_TRUE(check(text, diagnostics).seeds.empty());
    EXPECT_TRUE(diagnostics.isEmpty()) << diagnostics.text();
}

// Guards against limits that the platform states and the forwarder does not apply, and against a
// start that fails where the platform states none.
TEST(ForwarderSettingsTest, ReadsTheLimitsOfAPlatformThatStatesThem)
{
    Diagnostics diagnostics("front.ini");
    const ForwarderSettings settings =
            check(Complete + "data_centres = a,b\nevacuation_limit = 5000 ms\n"
                             "cold_overshoot = 1.5\ncold_slack = 5\nplatform_features = x,y\n",
                  diagnostics);
    EXPECT_EQ(settings.dataCentres, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(settings.evacuationLimit, 5_s);
    EXPECT_EQ(settings.coldOvershoot, 1.5);
    EXPECT_EQ(settings.coldSlack, 5.0);
    EXPECT_EQ(settings.platformFeatures.size(), 2U);
    const ForwarderSettings empty =
            check(Complete + "data_centres =\nevacuation_limit =\ncold_overshoot =\n"
                             "cold_slack =\nplatform_features =\n",
                  diagnostics);
    EXPECT_TRUE(diagnostics.isEmpty()) << diagnostics.text();
    EXPECT_EQ(empty.coldOvershoot, 1.0);
    EXPECT_EQ(empty.evacuationLimit, 0_ms);
    check(Complete + "cold_overshoot = -0.5\ncold_slack = nan\ndata_centres = a,,b\n", diagnostics);
    EXPECT_EQ(diagnostics.text().find("evacuation_limit"), std::string::npos);
    for (const char *key : {"cold_overshoot", "cold_slack", "data_centres"}) {
        EXPECT_NE(diagnostics.text().find(key), std::string::npos) << key;
    }
}

/// Returns the complete settings with one entry replaced or added.
std::string withEntry(const std::string &key, const std::string &value)
{
    std::string text = Complete;
    const std::size_t begin = text.find("\n" + key + " = ");
    if (begin != std::string::npos) {
        text.erase(begin + 1, text.find('\n', begin + 1) - begin);
    }
    return text + key + " = " + value + "\n";
}

// Guards against instances that cannot start again after the platform has changed a limit to a
// number with a fraction.
TEST(ForwarderSettingsTest, ReadsLimitsWithAFraction)
{
    const std::vector<std::pair<std::string, Milliseconds ForwarderSettings::*>> limits = {
            {"leaving_limit", &ForwarderSettings::leavingLimit},
            {"declaration_limit", &ForwarderSettings::declarationLimit},
            {"flow_lifetime", &ForwarderSettings::flowLifetime},
            {"stop_limit", &ForwarderSettings::stopLimit},
            {"confirmation", &ForwarderSettings::confirmation},
            {"evacuation_limit", &ForwarderSettings::evacuationLimit}};
    for (const auto &[key, member] : limits) {
        Diagnostics diagnostics("front.ini");
        EXPECT_EQ(check(withEntry(key, "6.5 s"), diagnostics).*member, 6500_ms) << key;
        EXPECT_EQ(check(withEntry(key, "2500.0 ms"), diagnostics).*member, 2500_ms) << key;
        EXPECT_TRUE(diagnostics.isEmpty()) << diagnostics.text();
    }
}

// Guards against instances that do not start because the platform states a limit of zero, or states
// true, false or nothing instead of a figure.
TEST(ForwarderSettingsTest, TakesFiguresThatAreNotStated)
{
    for (const char *value : {"", "s", "ms", "true", "false", "true s", "false ms"}) {
        for (const char *key : {"leaving_limit", "declaration_limit", "flow_lifetime", "stop_limit",
                                "evacuation_limit", "cold_overshoot", "cold_slack", "link_mbps"}) {
            Diagnostics diagnostics("front.ini");
            const ForwarderSettings settings = check(withEntry(key, value), diagnostics);
            EXPECT_TRUE(diagnostics.isEmpty()) << diagnostics.text();
            EXPECT_EQ(settings.leavingLimit, 3_s);
            EXPECT_EQ(settings.declarationLimit, 3_s);
            EXPECT_EQ(settings.flowLifetime, 60_s);
            EXPECT_EQ(settings.stopLimit, 6_s);
            EXPECT_EQ(settings.evacuationLimit, 0_ms);
            EXPECT_EQ(settings.coldOvershoot, 1.0);
            EXPECT_EQ(settings.linkMbps, 0.0);
        }
    }
    Diagnostics diagnostics("front.ini");
    EXPECT_EQ(check(withEntry("data_centres", "s"), diagnostics).dataCentres.size(), 1U)
            << "a name";
    EXPECT_EQ(check(withEntry("stop_limit", "0 s"), diagnostics).stopLimit, 1_ms);
    EXPECT_EQ(check(withEntry("evacuation_limit", "0 ms"), diagnostics).evacuationLimit, 1_ms);
    EXPECT_TRUE(diagnostics.isEmpty()) << diagnostics.text();
}

// Guards against instances that do not start because the platform permits cold upstreams less than
// their declared rate.
TEST(ForwarderSettingsTest, ReadsAnOvershootBelowOne)
{
    Diagnostics diagnostics("front.ini");
    EXPECT_EQ(check(withEntry("cold_overshoot", "0.9"), diagnostics).coldOvershoot, 0.9);
    EXPECT_EQ(check(withEntry("cold_overshoot", "0"), diagnostics).coldOvershoot, 0.0);
    EXPECT_TRUE(diagnostics.isEmpty()) << diagnostics.text();
}

// Guards against limits that are not kept, against calls without a pause to the store, and against
// watches that the store refuses because they would wait too long.
TEST(ForwarderSettingsTest, DerivesTheConfirmationIntervalFromTheLimits)
{
    ForwarderSettings settings;
    EXPECT_EQ(confirmationInterval(settings), 1_s);
    settings.evacuationLimit = 1500_ms;
    EXPECT_EQ(confirmationInterval(settings), 500_ms);
    settings.leavingLimit = 1_ms;
    EXPECT_EQ(confirmationInterval(settings), 100_ms);
    settings = {};
    settings.leavingLimit = 100_s;
    settings.declarationLimit = 200_s;
    EXPECT_EQ(confirmationInterval(settings), 10_s);
    settings.declarationLimit = 2500_ms;
    EXPECT_EQ(confirmationInterval(settings), 833_ms);
}

// Guards against a mistake in a limit that is taken for one that is not stated.
TEST(ForwarderSettingsTest, RejectsLimitsThatAreNoDurations)
{
    for (const char *value : {"6", "-6 s", "six s", "6 parsecs", "nan s", "truely s"}) {
        Diagnostics diagnostics("front.ini");
        check(withEntry("stop_limit", value), diagnostics);
        EXPECT_NE(diagnostics.text().find("stop_limit"), std::string::npos) << value;
    }
}

// Guards against an operator who mends one mistake after the other.
TEST(ForwarderSettingsTest, ReportsAllMistakesWithTheirLines)
{
    Diagnostics diagnostics("front.ini");
    check("[forwarder]\nname = a b\nlisten = nowhere\nlistn = 1.2.3.4:5\nconfirmation = 0 ms\n"
          "log_level = loud\n[other]\n",
          diagnostics);
    const std::string text = diagnostics.text();
    for (const char *part : {"front.ini:2:", "front.ini:3:", "front.ini:4:", "'listen'",
                             "front.ini:5:", "front.ini:6:", "front.ini:7:", "no store"}) {
        EXPECT_NE(text.find(part), std::string::npos) << part << " in\n" << text;
    }
}

} // namespace
} // namespace damaskhall
