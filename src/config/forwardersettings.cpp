#include "config/forwardersettings.h"

#include "config/settingvalues.h"
#include "config/units.h"

#include <algorithm>
#include <functional>

namespace damaskhall {

namespace {

constexpr const char *SectionName = "forwarder";

/// The leaving limit covers three stages: the watch that reports the leaving upstream, the
/// retransmissions of the last opening packet (600 ms), and the transit time of the packets.
constexpr std::int64_t ConfirmationsPerLimit = 3;
/// Some times the time of an answer of the store.
constexpr Milliseconds MinConfirmationInterval = 100_ms;
/// Platforms keep changes for 20 s, and let a watch wait for 30 s at most.
constexpr Milliseconds MaxConfirmationInterval = 10_s;

struct Field
{
    std::string key;
    bool isRequired = false;
    std::string expected;
    /// Reads a value; returns false if it is not as expected.
    std::function<bool(ForwarderSettings &, const std::string &)> read;
};

Field nameField(std::string key, std::string ForwarderSettings::*member)
{
    return {std::move(key), true, "a name without spaces",
            [member](ForwarderSettings &settings, const std::string &text) {
                settings.*member = text;
                return !text.empty() && text.find(' ') == std::string::npos;
            }};
}

Field endpointField(std::string key, bool isRequired, Endpoint ForwarderSettings::*member)
{
    return {std::move(key), isRequired, "an address and port such as 10.0.0.1:7001",
            [member, isRequired](ForwarderSettings &settings, const std::string &text) {
                return (text.empty() && !isRequired) || readEndpoint(text, settings.*member);
            }};
}

Field durationField(std::string key, Milliseconds ForwarderSettings::*member)
{
    return {std::move(key), true, "a number with unit above zero, such as '3000 ms' or '6.5 s'",
            [member](ForwarderSettings &settings, const std::string &text) {
                settings.*member = parseDecimalDuration(text).value_or(0_ms);
                return settings.*member > 0_ms;
            }};
}

// A platform may leave out a figure, or write true or false instead. The unit that its template
// adds remains.
bool isUnstated(const std::string &text)
{
    const std::string figure = text.substr(0, text.find(' '));
    return figure.empty() || figure == "ms" || figure == "s" || figure == "true" ||
           figure == "false";
}

// A limit that the platform does not state keeps its default, and one of zero counts as the
// shortest possible: a process that does not start holds no limit at all.
Field limitField(std::string key, Milliseconds ForwarderSettings::*member, bool isRequired = true)
{
    return {std::move(key), isRequired, "a number with unit, such as '3000 ms' or '6.5 s'",
            [member](ForwarderSettings &settings, const std::string &text) {
                if (isUnstated(text)) {
                    return true;
                }
                const auto limit = parseDecimalDuration(text);
                settings.*member = std::max(limit.value_or(0_ms), 1_ms);
                return limit.has_value();
            }};
}

// An empty value keeps the default: platforms leave out what they do not state.
Field optionalField(std::string key, std::string expected,
                    std::function<bool(ForwarderSettings &, const std::string &)> read)
{
    return {std::move(key), false, std::move(expected),
            [read = std::move(read)](ForwarderSettings &settings, const std::string &text) {
                return text.empty() || read(settings, text);
            }};
}

Field optionalNumberField(std::string key, double minimum, double ForwarderSettings::*member)
{
    return optionalField(std::move(key), "a number from " + std::to_string(minimum) + " on",
                         [member, minimum](ForwarderSettings &settings, const std::string &text) {
                             return isUnstated(text) || (readNumber(text, settings.*member) &&
                                                         settings.*member >= minimum);
                         });
}

Field namesField(std::string key, std::vector<std::string> ForwarderSettings::*member)
{
    return optionalField(std::move(key), "names, separated by commas, or nothing",
                         [member](ForwarderSettings &settings, const std::string &text) {
                             settings.*member = splitList(text);
                             return std::find((settings.*member).begin(), (settings.*member).end(),
                                              "") == (settings.*member).end();
                         });
}

std::vector<Field> allFields()
{
    return {
            nameField("name", &ForwarderSettings::name),
            nameField("data_centre", &ForwarderSettings::dataCentre),
            nameField("region", &ForwarderSettings::region),
            endpointField("listen", true, &ForwarderSettings::listen),
            endpointField("status_listen", true, &ForwarderSettings::statusListen),
            endpointField("peer_listen", false, &ForwarderSettings::peerListen),
            endpointField("store", true, &ForwarderSettings::store),
            {"seeds", false, "addresses and ports, separated by commas, or nothing",
             [](ForwarderSettings &settings, const std::string &text) {
                 return text.empty() || readEndpoints(text, settings.seeds);
             }},
            limitField("leaving_limit", &ForwarderSettings::leavingLimit),
            limitField("declaration_limit", &ForwarderSettings::declarationLimit),
            limitField("flow_lifetime", &ForwarderSettings::flowLifetime),
            limitField("stop_limit", &ForwarderSettings::stopLimit),
            durationField("confirmation", &ForwarderSettings::confirmation),
            {"log_level", false, "debug, info, warn or error",
             [](ForwarderSettings &settings, const std::string &text) {
                 return readLogLevel(text, settings.logLevel);
             }},
            namesField("data_centres", &ForwarderSettings::dataCentres),
            limitField("evacuation_limit", &ForwarderSettings::evacuationLimit, false),
            optionalNumberField("cold_overshoot", 0.0, &ForwarderSettings::coldOvershoot),
            optionalNumberField("cold_slack", 0.0, &ForwarderSettings::coldSlack),
            optionalNumberField("link_mbps", 0.0, &ForwarderSettings::linkMbps),
            namesField("platform_features", &ForwarderSettings::platformFeatures),
    };
}

void checkNames(const IniDocument &document, const std::vector<Field> &fields,
                Diagnostics &diagnostics)
{
    std::vector<std::string> known;
    known.reserve(fields.size());
    for (const Field &field : fields) {
        known.push_back(field.key);
    }
    for (const IniSection &section : document.sections()) {
        if (section.kind != SectionName) {
            diagnostics.add(section.line, "section " + section.title(),
                            "only the section [forwarder]");
            continue;
        }
        for (const IniEntry &entry : section.entries) {
            if (std::find(known.begin(), known.end(), entry.key) == known.end()) {
                const std::string nearest = nearestName(entry.key, known);
                diagnostics.add(entry.line, "key '" + entry.key + "'",
                                nearest.empty() ? "a key of docs/OPERATIONS.md"
                                                : "'" + nearest + "'");
            }
        }
    }
}

} // namespace

ForwarderSettings checkForwarderSettings(const IniDocument &document, Diagnostics &diagnostics)
{
    const std::vector<Field> fields = allFields();
    const IniSection *section = document.findSection(SectionName);
    checkNames(document, fields, diagnostics);
    ForwarderSettings settings;
    for (const Field &field : fields) {
        const IniEntry *entry = section ? section->find(field.key) : nullptr;
        if (!entry) {
            if (field.isRequired) {
                diagnostics.add(section ? section->line : 0, "no " + field.key,
                                "'" + field.key + " = ...'");
            }
        } else if (!field.read(settings, entry->value)) {
            diagnostics.add(entry->line, field.key + " = '" + entry->value + "'", field.expected);
        }
    }
    return settings;
}

Milliseconds confirmationInterval(const ForwarderSettings &settings)
{
    Milliseconds shortest = std::min(settings.leavingLimit, settings.declarationLimit);
    if (settings.evacuationLimit > 0_ms) {
        shortest = std::min(shortest, settings.evacuationLimit);
    }
    return std::clamp(shortest / ConfirmationsPerLimit, MinConfirmationInterval,
                      MaxConfirmationInterval);
}

} // namespace damaskhall
