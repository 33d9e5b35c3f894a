#include "config/declarationparser.h"

#include "config/configfile.h"
#include "config/declarationdiff.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unordered_map>

namespace damaskhall {
namespace {

using testing::HasSubstr;

std::vector<std::string> mistakes(const std::string &text)
{
    std::vector<std::string> lines;
    for (const Diagnostic &diagnostic : checkConfigFile(text, "d.ini").list()) {
        lines.push_back(toString(diagnostic));
    }
    return lines;
}

// Guards against a check that stops at the first mistake, or that does not say where it is.
TEST(DeclarationParser, ReportsEveryMistakeWithItsLine)
{
    const auto lines = mistakes("[service board]\n"
                                "weight = 3\n"
                                "[class board/claim]\n"
                                "kind = reqest\n"
                                "[class board/queue]\n"
                                "kind = feed\n"
                                "push_within = 500\n"
                                "idempotant = no\n"
                                "[class bord/x]\n"
                                "kind = upload\n"
                                "answer_within = 2 s\n"
                                "stray\n");
    ASSERT_EQ(lines.size(), 8U);
    EXPECT_THAT(lines[0], HasSubstr("d.ini:2: found key 'weight' in [service board]; expected no "
                                    "weights"));
    EXPECT_THAT(lines[1], HasSubstr("d.ini:4: found kind 'reqest'; expected feed, request or "
                                    "upload (nearest: request)"));
    EXPECT_THAT(lines[2], HasSubstr("d.ini:7: found push_within '500'; expected a whole number "
                                    "with unit"));
    EXPECT_THAT(lines[3], HasSubstr("d.ini:8: found key 'idempotant' in [class board/queue]; "
                                    "expected 'idempotent'"));
    EXPECT_THAT(lines[4], HasSubstr("d.ini:9: found service 'bord'"));
    EXPECT_THAT(lines[5], HasSubstr("d.ini:9: found [class bord/x] without target; expected "
                                    "'stored_within = DURATION'"));
    EXPECT_THAT(lines[6], HasSubstr("d.ini:11: found key 'answer_within' in a class of kind "
                                    "upload; expected 'stored_within'"));
    EXPECT_THAT(lines[7], HasSubstr("d.ini:12: found 'stray'"));
}

// Guards against one of two duplicate entries being taken in silence.
TEST(DeclarationParser, RefusesDuplicates)
{
    const auto lines = mistakes("[service a]\n[service a]\n[class a/c]\nkind = feed\n"
                                "kind = feed\npush_within = 1 s\n");
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_THAT(lines[0], HasSubstr("d.ini:2: found section [service a] again"));
    EXPECT_THAT(lines[1], HasSubstr("d.ini:5: found key 'kind' again in [class a/c]; expected "
                                    "each key once; the first is on line 4"));
}

// Guards against bytes that the platform's JSON changes or that confuse terminals.
TEST(DeclarationParser, RefusesWhatIsNotText)
{
    for (const char *name : {"\xff", "a\xc3", "\xe3\x81", "\x1b[2J"}) {
        const auto lines = mistakes(std::string("[service a]\n[house h]\nname = ") + name + "\n");
        ASSERT_EQ(lines.size(), 1U) << name;
        EXPECT_THAT(lines[0], HasSubstr("d.ini:3: found a byte that is no printable UTF-8"));
    }
    EXPECT_TRUE(mistakes("[service a]\r\n[house h]\r\nname = 福岡 Kōbō\r\n").empty());
}

// Guards against two workspaces that share a queue because their names have the same hash.
TEST(DeclarationParser, RefusesNamesWithTheSameId)
{
    std::unordered_map<std::uint32_t, std::string> names;
    std::string text = "[service a]\n";
    for (int i = 0;; ++i) {
        const std::string name = "h" + std::to_string(i);
        const auto [found, isNew] = names.emplace(workspaceId(name).value, name);
        if (!isNew) {
            text += "[house " + found->second + "]\n[house " + name + "]\n";
            break;
        }
    }
    const auto lines = mistakes(text);
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_THAT(lines[0], HasSubstr("with the same id as"));
}

// Guards against a declaration that changes when it is shown and applied again, and against an
// example that does not pass the check.
TEST(DeclarationParser, ReadsBackWhatItFormats)
{
    for (const char *file : {"/examples/kandy.ini", "/examples/kyushu.ini"}) {
        const auto text = readFile(std::string(DAMASKHALL_SOURCE_DIR) + file);
        ASSERT_TRUE(text);
        const auto parsed = parseDeclaration(text.assume_value(), file);
        ASSERT_TRUE(parsed) << toString(parsed.assume_error());
        const auto again = parseDeclaration(formatDeclaration(parsed.assume_value()), "again");
        ASSERT_TRUE(again);
        EXPECT_EQ(parsed.assume_value(), again.assume_value());
    }
}

// Guards against a change that `damaskhallctl diff` does not show.
TEST(DeclarationDiff, ListsChangedSections)
{
    const auto before =
            parseDeclaration("[service a]\n[class a/c]\nkind = feed\npush_within = 1 s\n", "b");
    const auto after = parseDeclaration("[service a]\n[class a/c]\nkind = request\nidempotent = "
                                        "yes\nanswer_within = 90 s\n[house h]\n",
                                        "a");
    ASSERT_TRUE(before && after);
    EXPECT_THAT(diffDeclarations(before.assume_value(), after.assume_value()),
                testing::ElementsAre("changed [class a/c]: feed, push_within 1 s -> idempotent "
                                     "request, answer_within 90 s",
                                     "added [house h]"));
    EXPECT_TRUE(diffDeclarations(after.assume_value(), after.assume_value()).empty());
}

} // namespace
} // namespace damaskhall
