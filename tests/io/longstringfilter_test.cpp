#include "io/longstringfilter.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

class LongStringFilterTest : public ::testing::Test
{
protected:
    static constexpr std::size_t MaxBytes = 8;

    /// Passes @p text through a filter in parts of @p partBytes.
    static std::string filtered(const std::string &text, std::size_t partBytes)
    {
        LongStringFilter filter(
                {MaxBytes, "!", "key", [](std::string_view id) { return id == "kept"; }});
        std::string output;
        for (std::size_t begin = 0; begin < text.size(); begin += partBytes) {
            filter.append(std::string_view(text).substr(begin, partBytes), output);
        }
        return output;
    }

    static void expectFiltered(const std::string &text, const std::string &expected)
    {
        for (std::size_t partBytes = 1; partBytes <= text.size(); ++partBytes) {
            EXPECT_EQ(filtered(text, partBytes), expected) << partBytes;
        }
    }
};

// Guards against an answer that is changed where nothing in it is too long.
TEST_F(LongStringFilterTest, KeepsStringsUpToTheLimit)
{
    for (const std::string text : {R"({"a":"12345678","b":[1,true,null,""],"c":{"d":"x"}})",
                                   R"(["\"234567","\\","\\\\","a\/b",""])", R"("")", "17"}) {
        expectFiltered(text, text);
    }
}

// Guards against an answer that takes the memory of values which nothing uses.
TEST_F(LongStringFilterTest, ReplacesLongerStrings)
{
    expectFiltered(R"({"a":"123456789","b":1})", R"({"a":"!","b":1})");
    expectFiltered(R"(["123456789","1","1234567890123456789"])", R"(["!","1","!"])");
    expectFiltered(R"(["12345678\"","x","\\\\\\\\\\","y"])", R"(["!","x","!","y"])");
    expectFiltered(R"({"123456789":"z"})", R"({"!":"z"})");
}

// Guards against a needed value that is left out because of its size, and against others that are
// kept because of it.
TEST_F(LongStringFilterTest, KeepsTheLongStringsOfExemptObjects)
{
    expectFiltered(R"([{"key":"kept","v":"123456789"},{"key":"other","v":"123456789"}])",
                   R"([{"key":"kept","v":"123456789"},{"key":"other","v":"!"}])");
    expectFiltered(R"([{"v":"123456789","key":"kept"},{"key":"key","v":"123456789"}])",
                   R"([{"v":"!","key":"kept"},{"key":"key","v":"!"}])");
}

} // namespace
} // namespace damaskhall
