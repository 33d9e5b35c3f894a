#include "config/settings.h"

#include "config/settingvalues.h"
#include "config/units.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <limits>
#include <optional>

namespace damaskhall {

namespace {

/// Distances of the default ports from the traffic port. Balancers that know each other only from
/// the platform's list expect the default control port (ControlPortOffset).
constexpr unsigned DefaultControlPortOffset = 1000;
constexpr unsigned DefaultAdminPortOffset = 2000;
constexpr unsigned MaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::size_t KeyHexDigits = 32;

struct Field
{
    SettingsKey key;
    bool isRequired = false;
    std::string expected;
    /// Reads a value; returns false if it is not as expected.
    std::function<bool(Settings &, const std::string &)> read;
};

template <typename Number>
bool readNumber(std::string_view text, Number &number)
{
    const char *end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, number);
    return code == std::errc() && rest == end;
}

// Reads "ID:HEX", or "HEX" for id 0.
bool readTokenKey(Settings &settings, std::string_view text)
{
    std::uint8_t id = 0;
    if (const std::size_t colon = text.find(':'); colon != std::string_view::npos) {
        if (!readNumber(text.substr(0, colon), id)) {
            return false;
        }
        text.remove_prefix(colon + 1);
    }
    if (text.size() != KeyHexDigits) {
        return false;
    }
    std::array<std::uint8_t, KeyHexDigits / 2> key{};
    for (std::size_t i = 0; i < key.size(); ++i) {
        const char *digits = text.data() + i * 2;
        const auto [end, code] = std::from_chars(digits, digits + 2, key.at(i), 16);
        if (code != std::errc() || end != digits + 2) {
            return false;
        }
    }
    return settings.tokenKeys.emplace(id, key).second;
}

bool readTokenKeys(Settings &settings, const std::string &text)
{
    settings.tokenKeys.clear();
    for (const std::string &item : splitList(text)) {
        if (!readTokenKey(settings, item)) {
            return false;
        }
    }
    return true;
}

Field endpointField(SettingsKey key, bool isRequired, Endpoint Settings::*member)
{
    return {std::move(key), isRequired, "an address and port such as 10.0.0.1:7001",
            [member](Settings &settings, const std::string &text) {
                return readEndpoint(text, settings.*member);
            }};
}

Field endpointListField(SettingsKey key, std::vector<Endpoint> Settings::*member)
{
    return {std::move(key), false, "addresses and ports, separated by commas",
            [member](Settings &settings, const std::string &text) {
                return readEndpoints(text, settings.*member);
            }};
}

std::vector<Field> addressFields()
{
    return {
            endpointField({"listen", "listen", "UDP address and port for traffic"}, true,
                          &Settings::listen),
            endpointField({"control_listen", "control-listen",
                           "UDP and TCP address and port for other balancers (default: port of "
                           "listen + 1000)"},
                          false, &Settings::controlListen),
            endpointField({"admin_listen", "admin-listen",
                           "TCP address and port of the operators' HTTP (default: port of listen "
                           "+ 2000)"},
                          false, &Settings::adminListen),
            endpointField({"platform", "platform", "address and port of the platform"}, true,
                          &Settings::platform),
            endpointListField({"seeds", "seed",
                               "control addresses of balancers to ask first, separated by commas"},
                              &Settings::seeds),
            endpointListField({"remote_peers", "remote-peer",
                               "control addresses of balancers in other data centres, separated "
                               "by commas"},
                              &Settings::remotePeers),
    };
}

std::vector<Field> tokenFields()
{
    return {
            {{"token_keys", "token-key",
              "keys of 32 hexadecimal digits, as ID:HEX, separated by commas; a single key may "
              "stand without id"},
             true,
             "ID:HEX with distinct ids from 0 to 255 and 32 hexadecimal digits each, separated by "
             "commas",
             &readTokenKeys},
            {{"current_token_key", "current-token-key",
              "id of the key that seals new tokens (default: 0)"},
             false,
             "the id of one of token_keys",
             [](Settings &settings, const std::string &text) {
                 return readNumber(text, settings.currentTokenKey);
             }},
    };
}

std::vector<Field> processFields()
{
    return {
            {{"stop_limit", "stop-limit",
              "longest time that a graceful stop waits (default: 30 s)"},
             false,
             "a whole number with unit, such as '30 s'",
             [](Settings &settings, const std::string &text) {
                 const auto limit = parseDuration(text);
                 settings.stopLimit = limit.value_or(0_ms);
                 return settings.stopLimit > 0_ms;
             }},
            {{"max_declaration", "max-declaration",
              "largest declaration that may be applied (default: 768 KiB)"},
             false,
             "a whole number with unit up to 900 KiB, such as '768 KiB'",
             [](Settings &settings, const std::string &text) {
                 const auto size = parseSize(text);
                 settings.maxDeclarationBytes = size.value_or(0);
                 return size && *size > 0 && *size <= std::uint64_t{900} * 1024;
             }},
            {{"log_level", "log-level", "debug, info, warn or error (default: info)"},
             false,
             "debug, info, warn or error",
             [](Settings &settings, const std::string &text) {
                 return readLogLevel(text, settings.logLevel);
             }},
    };
}

std::vector<Field> allFields()
{
    std::vector<Field> fields = {
            {{"id", "id", "id of this instance, unique in all data centres"},
             true,
             "a whole number from 1 to 4294967295",
             [](Settings &settings, const std::string &text) {
                 return readNumber(text, settings.id.value) && settings.id.value > 0;
             }},
            {{"data_centre", "data-centre", "data centre of this instance"},
             true,
             "a name without spaces",
             [](Settings &settings, const std::string &text) {
                 settings.dataCentre = text;
                 return !text.empty() && text.find(' ') == std::string::npos;
             }},
    };
    for (const auto &group : {addressFields(), tokenFields(), processFields()}) {
        fields.insert(fields.end(), group.begin(), group.end());
    }
    return fields;
}

void checkUnknownKeys(const IniSection &section, const std::vector<Field> &fields,
                      Diagnostics &diagnostics)
{
    std::vector<std::string> known;
    known.reserve(fields.size());
    for (const Field &field : fields) {
        known.push_back(field.key.key);
    }
    for (const IniEntry &entry : section.entries) {
        if (std::find(known.begin(), known.end(), entry.key) == known.end()) {
            const std::string nearest = nearestName(entry.key, known);
            diagnostics.add(entry.line, "key '" + entry.key + "' in " + section.title(),
                            nearest.empty() ? "a key that damaskhall-balancer --help lists"
                                            : "'" + nearest + "'");
        }
    }
}

// Sets @p endpoint to the port of listen plus @p offset unless it is set.
void completeEndpoint(const Settings &settings, unsigned offset, const std::string &key,
                      Endpoint &endpoint, Diagnostics &diagnostics)
{
    if (!endpoint.isNull() || settings.listen.isNull()) {
        return;
    }
    const unsigned port = settings.listen.port + offset;
    if (port > MaxPort) {
        diagnostics.add(
                0, "no " + key + " and a listen port above " + std::to_string(MaxPort - offset),
                "'" + key + " = ...'");
        return;
    }
    endpoint = {settings.listen.address, static_cast<std::uint16_t>(port)};
}

// Fills in defaults that depend on other settings and checks settings against each other.
void checkTogether(Settings &settings, Diagnostics &diagnostics)
{
    completeEndpoint(settings, DefaultControlPortOffset, "control_listen", settings.controlListen,
                     diagnostics);
    completeEndpoint(settings, DefaultAdminPortOffset, "admin_listen", settings.adminListen,
                     diagnostics);
    if (!settings.listen.isNull() && settings.controlListen == settings.adminListen) {
        diagnostics.add(0, "control_listen and admin_listen both " + toString(settings.adminListen),
                        "two addresses or ports");
    }
    if (!settings.tokenKeys.empty() && !settings.tokenKeys.contains(settings.currentTokenKey)) {
        diagnostics.add(0,
                        "current_token_key " + std::to_string(settings.currentTokenKey) +
                                " (0 unless set)",
                        "the id of one of token_keys");
    }
}

// A command line may repeat the option of a list.
std::optional<std::string> overrideOf(const std::string &key,
                                      const std::vector<SettingsOverride> &overrides)
{
    std::optional<std::string> joined;
    for (const SettingsOverride &candidate : overrides) {
        if (candidate.key == key) {
            joined = joined ? *joined + "," + candidate.value : candidate.value;
        }
    }
    return joined;
}

// Token keys are secret and are not repeated in messages.
std::string describeValue(const Field &field, const std::string &value)
{
    return field.key.key == "token_keys" ? "a wrong list of keys (not shown)" : "'" + value + "'";
}

} // namespace

std::vector<SettingsKey> settingsKeys()
{
    std::vector<SettingsKey> keys;
    for (const Field &field : allFields()) {
        keys.push_back(field.key);
    }
    return keys;
}

Settings checkSettings(const IniDocument &document, const std::vector<SettingsOverride> &overrides,
                       Diagnostics &diagnostics)
{
    const std::vector<Field> fields = allFields();
    const IniSection *section = document.findSection("balancer");
    for (const IniSection &other : document.sections()) {
        if (&other != section) {
            diagnostics.add(other.line, "section " + other.title(), "only the section [balancer]");
        }
    }
    if (section) {
        checkUnknownKeys(*section, fields, diagnostics);
    }
    Settings settings;
    for (const Field &field : fields) {
        const IniEntry *entry = section ? section->find(field.key.key) : nullptr;
        if (const auto value = overrideOf(field.key.key, overrides)) {
            if (!field.read(settings, *value)) {
                diagnostics.addAt("option --" + field.key.option, describeValue(field, *value),
                                  field.expected);
            }
        } else if (entry) {
            if (!field.read(settings, entry->value)) {
                diagnostics.add(entry->line,
                                field.key.key + " = " + describeValue(field, entry->value),
                                field.expected);
            }
        } else if (field.isRequired) {
            diagnostics.add(section ? section->line : 0, "no " + field.key.key,
                            "'" + field.key.key + " = ...' or option --" + field.key.option);
        }
    }
    checkTogether(settings, diagnostics);
    return settings;
}

} // namespace damaskhall
