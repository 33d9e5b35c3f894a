#include "config/configfile.h"
#include "config/forwardersettings.h"

#include <gtest/gtest.h>
#include <map>
#include <regex>

namespace damaskhall::platform {
namespace {

// The settings template as the platform fills it in.
class SettingsTemplate : public ::testing::Test
{
protected:
    /// Returns the settings with @p figure for each figure of the platform. Each section of the
    /// template is rendered once.
    static std::string render(const std::string &figure)
    {
        const std::map<std::string, std::string> others = {
                {"node_id", "front-1"},
                {"zone", "east"},
                {"region", "all"},
                {"listen.datagram_addr", "10.1.0.10:8172"},
                {"listen.readiness", "10.1.0.10:8167"},
                {"listen.control_plane", "10.1.0.10:8166"},
                {"seeds", "10.1.0.10:8166,10.2.0.40:8166"},
                {"platform.addr", "10.200.1.7:8169"},
                {"@", "east"},
                {",", ""},
                {"invariants", "base,drain"}};
        std::string rest =
                readFile(DAMASKHALL_SOURCE_DIR "/platform/forwarder.ini.template").assume_value();
        std::string rendered;
        std::smatch match;
        while (std::regex_search(rest, match, std::regex(R"(\{\{([^{}]+)\}\})"))) {
            const std::string name = match[1];
            rendered += match.prefix();
            if (name.front() != '#' && name.front() != '/') {
                const auto other = others.find(name);
                rendered += other == others.end() ? figure : other->second;
            }
            rest = match.suffix();
        }
        return rendered + rest;
    }

    static std::string mistakesOf(const std::string &text)
    {
        Diagnostics diagnostics("front.ini");
        checkForwarderSettings(IniDocument::scan(text, diagnostics), diagnostics);
        return diagnostics.text();
    }
};

// Guards against a figure in any of the notations that the platform may use with which no instance
// starts.
TEST_F(SettingsTemplate, MayBeFilledInWithAnyNotationOfAFigure)
{
    for (const char *figure :
         {"6", "6.5", "6.0", "0", "0.5", "1000.0", "1e3", "2.5e+3", "true", "false", ""}) {
        EXPECT_EQ(mistakesOf(render(figure)), "") << render(figure);
    }
}

// Guards against a check that passes because the template has no figures any more.
TEST_F(SettingsTemplate, HasFiguresThatAreChecked)
{
    const std::string mistakes = mistakesOf(render("six"));
    for (const char *key : {"leaving_limit", "declaration_limit", "flow_lifetime", "stop_limit",
                            "evacuation_limit", "cold_overshoot", "cold_slack", "link_mbps"}) {
        EXPECT_NE(mistakes.find(key), std::string::npos) << key << " in\n" << mistakes;
    }
}

} // namespace
} // namespace damaskhall::platform
