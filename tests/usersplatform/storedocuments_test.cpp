#include "platform/storedocuments.h"

#include "config/declaration.h"

#include <gtest/gtest.h>

namespace damaskhall::platform {
namespace {

const std::string Entry =
        R"({"service":"board","addr":"10.128.0.9:8080","zone":"katugastota","version":"v1",)"
        R"("concurrency":2,"state":"ready","warmup_left_ms":700,"seq":4,"born":1700000000123})";

std::string entryWithReplacement(const std::string &from, const std::string &to)
{
    std::string text = Entry;
    return text.replace(text.find(from), from.size(), to);
}

// Guards against mixed-up fields: each field of the JSON document must reach its own member.
TEST(UpstreamDocument, DecodesAllFields)
{
    const auto content = decodeUpstream("servers/i-7f3a91c2", Entry);
    const auto *entry = std::get_if<UpstreamEntry>(&content);
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->key.id, parseUpstreamId("servers/i-7f3a91c2"));
    EXPECT_EQ(entry->key.id.value, 0x7f3a91c2U);
    EXPECT_EQ(entry->key.born, Incarnation{1700000000123});
    EXPECT_EQ(entry->service, serviceId("board"));
    EXPECT_EQ(toString(entry->endpoint), "10.128.0.9:8080");
    EXPECT_EQ(entry->slots, 2U);
    EXPECT_EQ(entry->warmupLeft, 700_ms);
    EXPECT_FALSE(entry->isLeaving);
}

// Guards against forwarding to invalid upstreams: other writers may leave malformed entries in the
// store, which must decode to a removal with an error message.
TEST(UpstreamDocument, RejectsEntryWithInvalidField)
{
    const std::vector<std::string> values = {
            "",
            "not json",
            "[]",
            "null",
            "\xff\xfe",
            entryWithReplacement(R"("service":"board",)", ""),
            entryWithReplacement("\"board\"", "7"),
            entryWithReplacement("10.128.0.9:8080", "10.128.0.9"),
            entryWithReplacement("10.128.0.9:8080", "host:80"),
            entryWithReplacement("10.128.0.9:8080", "10.128.0.9:0"),
            entryWithReplacement("10.128.0.9:8080", "10.128.0.9:65536"),
            entryWithReplacement("10.128.0.9:8080", "10.128.0.9:99999999999999999999"),
            entryWithReplacement("\"concurrency\":2", "\"concurrency\":\"2\""),
            entryWithReplacement("\"concurrency\":2", "\"concurrency\":0"),
            entryWithReplacement("\"concurrency\":2", "\"concurrency\":-1"),
            entryWithReplacement("\"concurrency\":2", "\"concurrency\":1e99"),
            entryWithReplacement("\"ready\"", "\"resting\""),
            entryWithReplacement("\"ready\"", "null"),
            entryWithReplacement("1700000000123", "1700000000123.5"),
            entryWithReplacement("1700000000123", "99999999999999999999"),
            entryWithReplacement("1700000000123", "1e400"),
            entryWithReplacement("1700000000123", "\"1700000000123\""),
            entryWithReplacement("\"katugastota\"", "{}"),
            entryWithReplacement("\"v1\"", "1"),
            entryWithReplacement("\"v1\"", "[\"v1\"]"),
            entryWithReplacement(R"("version":"v1",)", ""),
            entryWithReplacement("\"seq\":4", "\"seq\":true"),
            entryWithReplacement("\"seq\":4", "\"seq\":-4"),
            entryWithReplacement("\"seq\":4", "\"seq\":\"4\""),
    };
    for (const std::string &value : values) {
        const auto content = decodeUpstream("servers/i-7f", value);
        const auto *removal = std::get_if<UpstreamRemoval>(&content);
        ASSERT_NE(removal, nullptr) << value;
        EXPECT_EQ(removal->id, parseUpstreamId("servers/i-7f"));
        EXPECT_FALSE(removal->mistake.empty()) << value;
    }
}

// Guards against processes that end for lack of memory while they read a deeply nested entry: each
// level takes some 70 bytes, and a value may have a megabyte.
TEST(UpstreamDocument, RejectsAnEntryThatIsTooLarge)
{
    constexpr std::size_t Levels = 500'000;
    const std::string nested = std::string(Levels, '[') + std::string(Levels, ']');
    for (const std::string &value :
         {nested, std::string(2 * Levels, '['), entryWithReplacement("\"v1\"", nested)}) {
        const auto content = decodeUpstream("servers/i-7f", value);
        const auto *removal = std::get_if<UpstreamRemoval>(&content);
        ASSERT_NE(removal, nullptr);
        EXPECT_EQ(removal->mistake, "servers/i-7f: longer than 65536 bytes");
    }
}

// Guards against log lines that are as long as what another writer has left in an entry.
TEST(UpstreamDocument, QuotesTheBeginningOfALongValue)
{
    const std::string longText(10'000, 'x');
    for (const char *field : {"10.128.0.9:8080", "ready"}) {
        const auto content = decodeUpstream("servers/i-7f", entryWithReplacement(field, longText));
        EXPECT_LT(std::get<UpstreamRemoval>(content).mistake.size(), 200U);
    }
}

// Guards against accepting keys without a valid upstream id.
TEST(UpstreamDocument, ParsesIdFromKey)
{
    const auto id = parseUpstreamId("servers/i-0a");
    ASSERT_TRUE(id);
    EXPECT_EQ(id->value, 10U);
    EXPECT_EQ(parseUpstreamId("servers/i-0a"), id);
    for (const char *key :
         {"servers/", "servers/i-", "servers/i-xyz", "servers/i-00112233445566778"}) {
        EXPECT_FALSE(parseUpstreamId(key)) << key;
    }
}

// Guards against another program's entry that takes over the flows of an upstream, because its key
// ends in the same number.
TEST(UpstreamDocument, TellsKeysThatEndInTheSameNumberApart)
{
    const auto id = parseUpstreamId("servers/i-7f3a9006");
    ASSERT_TRUE(id);
    for (const char *key : {"servers/standby-i-7f3a9006", "servers/audit-7f3a9006",
                            "servers/i-07f3a9006", "servers/i-7F3A9006"}) {
        const auto other = parseUpstreamId(key);
        ASSERT_TRUE(other) << key;
        EXPECT_EQ(other->value, id->value) << key;
        EXPECT_NE(*other, *id) << key;
        EXPECT_EQ(std::get<UpstreamRemoval>(decodeUpstream(key, "{")).id, *other) << key;
    }
}

// Guards against an evacuation that is applied to another data centre than the upstreams name.
TEST(EvacuationDocument, NamesTheDataCentreOfTheUpstreams)
{
    const auto content = decodeUpstream("servers/i-7f3a91c2", Entry);
    const DataCentreId dataCentre = std::get<UpstreamEntry>(content).dataCentre;
    const EvacuationChange begun = decodeEvacuation("op/evacuate/katugastota", "{}");
    EXPECT_EQ(begun.kind, EvacuationChange::Kind::Evacuated);
    EXPECT_EQ(begun.dataCentre, dataCentre);
    const EvacuationChange ended = decodeEvacuation("op/evacuate/katugastota", std::nullopt);
    EXPECT_EQ(ended.kind, EvacuationChange::Kind::Removed);
    EXPECT_EQ(ended.dataCentre, dataCentre);
}

// Guards against evacuations that nobody requested, and against log lines as long as a key.
TEST(EvacuationDocument, RejectsInvalidKeysAndBodies)
{
    for (const char *body : {"", "[]", "null", "1", "{", "\xff\xfe", "{} {}"}) {
        const EvacuationChange change = decodeEvacuation("op/evacuate/a", body);
        EXPECT_EQ(change.kind, EvacuationChange::Kind::Invalid) << body;
        EXPECT_TRUE(change.dataCentre) << "an earlier entry of this data centre stays in force";
        EXPECT_FALSE(change.detail.empty());
    }
    for (const std::string &name : {std::string(), std::string("a/b"), std::string(10'000, 'x')}) {
        const EvacuationChange change = decodeEvacuation("op/evacuate/" + name, "{}");
        EXPECT_EQ(change.kind, EvacuationChange::Kind::Invalid);
        EXPECT_FALSE(change.dataCentre);
        EXPECT_LT(change.detail.size(), 200U);
    }
    EXPECT_EQ(decodeEvacuation("op/evacuate/a", std::string(MaxUpstreamBytes + 1, '[')).kind,
              EvacuationChange::Kind::Invalid);
}

const std::string Config =
        R"({"version":7,"routes":[{"name":"r-1","host":"198.18.0.1","prefix":"/8443/",)"
        R"("kind":"safe","timeout_ms":1500,"target_latency_ms":150,"priority":2,)"
        R"("split":[{"service":"a","weight":90},{"service":"b","weight":10}],"max_attempts":2},)"
        R"({"name":"r-2","host":"198.18.0.2","prefix":"/443/","kind":"upload","timeout_ms":5000,)"
        R"("target_latency_ms":500,"priority":2,"service":"b","max_attempts":2}],)"
        R"("services":[{"name":"a","health_path":"/h"},{"name":"b","health_path":"/h"}],)"
        R"("limits":{"idle_timeout_ms":15000}})";

// Guards against routes that lead to other services than those declared.
TEST(DeclarationDocument, DecodesAllFields)
{
    const DeclaredRoutes declared = decodeDeclaration(Config);
    ASSERT_NE(declared.table, nullptr) << declared.mistake;
    EXPECT_EQ(declared.table->revision, Revision{7});
    EXPECT_EQ(declared.table->idleTimeout, 15_s);
    const Route *split = declared.table->find({0xc6120001, 8443});
    ASSERT_NE(split, nullptr);
    EXPECT_TRUE(routesTo(*split, serviceId("a")));
    EXPECT_TRUE(routesTo(*split, serviceId("b")));
    EXPECT_EQ(chooseService(*split, 89), serviceId("a"));
    EXPECT_EQ(chooseService(*split, 90), serviceId("b"));
    const Route *single = declared.table->find({0xc6120002, 443});
    ASSERT_NE(single, nullptr);
    EXPECT_EQ(single->kind, RouteKind::Upload);
    EXPECT_EQ(declared.table->find({0xc6120001, 443}), nullptr);
}

// Guards against priorities and limits of cold upstreams that operators declare without effect, and
// against a limit where none is declared.
TEST(DeclarationDocument, DecodesPrioritiesAndWarmupLimits)
{
    std::string text = Config;
    text.replace(text.find("\"priority\":2"), 12, "\"priority\":1");
    text.replace(text.find("\"/h\"}"), 5, "\"/h\",\"warmup_s\":2.5,\"warmup_per_s\":20.0}");
    const DeclaredRoutes declared = decodeDeclaration(text);
    ASSERT_NE(declared.table, nullptr) << declared.mistake;
    EXPECT_EQ(declared.table->find({0xc6120001, 8443})->priority, 1U);
    EXPECT_EQ(declared.table->find({0xc6120002, 443})->priority, 2U);
    ASSERT_EQ(declared.table->warmupLimits.size(), 1U);
    EXPECT_EQ(declared.table->warmupLimits.at(serviceId("a")), (WarmupLimit{2500_ms, 20.0}));
    text.replace(text.find("20.0"), 4, "0.0");
    EXPECT_TRUE(decodeDeclaration(text).table->warmupLimits.empty());
}

// Guards against a declaration that never comes into force because one of its routes has a kind
// that this version does not know, and against repeated requests on that route.
TEST(DeclarationDocument, TakesARouteOfAnUnknownKindAsNonIdempotent)
{
    std::string text = Config;
    text.replace(text.find("\"safe\""), 6, "\"preview\"");
    const DeclaredRoutes declared = decodeDeclaration(text);
    ASSERT_NE(declared.table, nullptr) << declared.mistake;
    EXPECT_EQ(declared.mistake, "op/config: route 'r-1' has the unknown kind 'preview'");
    EXPECT_EQ(declared.table->find({0xc6120001, 8443})->kind, RouteKind::NonIdempotent);
    EXPECT_EQ(declared.table->find({0xc6120002, 443})->kind, RouteKind::Upload);
}

// Guards against downloads that are not tried again after a reset, and against a known kind that is
// reported as a mistake with each declaration.
TEST(DeclarationDocument, DecodesEachKindOfRoute)
{
    const std::vector<std::pair<std::string, RouteKind>> kinds = {
            {"safe", RouteKind::Idempotent},
            {"download", RouteKind::Idempotent},
            {"unsafe", RouteKind::NonIdempotent},
            {"upload", RouteKind::Upload},
    };
    for (const auto &[name, kind] : kinds) {
        std::string text = Config;
        text.replace(text.find("\"safe\""), 6, "\"" + name + "\"");
        const DeclaredRoutes declared = decodeDeclaration(text);
        ASSERT_NE(declared.table, nullptr) << declared.mistake;
        EXPECT_EQ(declared.mistake, "") << name;
        EXPECT_EQ(declared.table->find({0xc6120001, 8443})->kind, kind) << name;
    }
}

// Guards against applying a partially decoded declaration: one invalid field rejects all of it.
TEST(DeclarationDocument, RejectsDeclarationWithInvalidField)
{
    for (const auto &[from, to] :
         std::vector<std::pair<std::string, std::string>>{{"\"version\":7", "\"version\":\"7\""},
                                                          {"\"safe\"", "7"},
                                                          {"198.18.0.2", "198.18.0.999"},
                                                          {"/443/", "/99999/"},
                                                          {"\"limits\"", "\"other\""},
                                                          {"\"priority\":2", "\"priority\":-1"},
                                                          {"\"service\":\"b\",\"max", "\"max"}}) {
        std::string text = Config;
        text.replace(text.find(from), from.size(), to);
        const DeclaredRoutes declared = decodeDeclaration(text);
        EXPECT_EQ(declared.table, nullptr) << to;
        EXPECT_FALSE(declared.mistake.empty()) << to;
    }
}

} // namespace
} // namespace damaskhall::platform
