#include "apps/ctl.h"

#include "apps/ctlreport.h"
#include "config/configfile.h"
#include "config/declarationdiff.h"
#include "config/declarationparser.h"
#include "config/evacuationtext.h"
#include "platform/declarationstore.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace damaskhall {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

constexpr long HttpOk = 200;
constexpr long HttpBadRequest = 400;
constexpr long HttpConflict = 409;
constexpr long HttpUnprocessable = 422;
constexpr long HttpGatewayTimeout = 504;

constexpr const char *Usage = R"(Usage: damaskhallctl COMMAND [OPTION]...

Commands:
  check FILE...      check declarations and settings without any network
  diff FILE          show what FILE would change in the declaration in force
  apply FILE         make FILE the declaration in force everywhere
  evacuate NAME      refuse new work in the data centre NAME, until it is restored
  restore NAME       end the evacuation of the data centre NAME
  settle CHANGE-ID   find out whether a change took effect
  show               print the declaration in force
  status             balancers with their revisions, upstreams, targets met and missed
  history            recent changes of the declaration

Options:
  --admin ADDR:PORT[,...]   admin addresses of balancers (default: $DAMASKHALL_ADMIN, else
                            127.0.0.1:9001). `status` asks all of them, the other commands use the
                            first that answers.
  --expect-revision N       apply, evacuate, restore: only if the stored declaration has revision N
  --above-revision N        apply, evacuate, restore: continue above revision N after the
                            platform came back with older data
  --author NAME             apply, evacuate, restore: name in the history (default: $USER)
  --stored                  show: the text as it is stored in the platform, with its comments
  --json                    print JSON
  --help, --version

Exit status: 0 done; 1 refused (mistakes, another change won, diff found differences); 2 wrong
usage; 3 unknown, see `settle`; 4 unreachable, nothing was changed.

Examples:
  damaskhallctl check declaration.ini
  damaskhallctl diff declaration.ini
  damaskhallctl apply declaration.ini --expect-revision 7
  damaskhallctl status --admin 127.0.0.1:9001,127.0.0.1:9002 --json
)";

std::string messageOf(const HttpReply &reply)
{
    const Json json = Json::parse(reply.body, nullptr, false);
    if (json.is_object() && json.contains("error") && json["error"].is_string()) {
        return json["error"].get<std::string>();
    }
    return "HTTP status " + std::to_string(reply.status);
}

const std::vector<std::string> &commands()
{
    static const std::vector<std::string> names = {
            "check", "diff", "apply", "evacuate", "restore", "settle", "show", "status", "history"};
    return names;
}

bool isCommand(const std::string &name)
{
    return std::find(commands().begin(), commands().end(), name) != commands().end();
}

std::string unknownCommand(const std::string &name)
{
    const std::string nearest = nearestName(name, commands());
    return "unknown command '" + name + "'" +
           (nearest.empty() ? "; see --help" : "; nearest: " + nearest);
}

CtlExit exitOfStatus(long status)
{
    switch (status) {
    case HttpOk:
        return CtlExit::Done;
    case HttpBadRequest:
        return CtlExit::Usage;
    case HttpConflict:
    case HttpUnprocessable:
        return CtlExit::Refused;
    case HttpGatewayTimeout:
        return CtlExit::Unknown;
    default:
        return CtlExit::Unreachable;
    }
}

/// One run of the tool.
class Ctl
{
public:
    Ctl(const po::variables_map &values, const CtlEnvironment &environment)
        : m_values(values)
        , m_environment(environment)
        , m_isJson(values.count("json") > 0)
    {
    }

    CtlExit run()
    {
        const auto words = m_values["word"].as<std::vector<std::string>>();
        const std::string &command = words.front();
        const std::vector<std::string> operands(words.begin() + 1, words.end());
        if (command == "check") {
            return check(operands);
        }
        if (!isCommand(command)) {
            return fail(CtlExit::Usage, unknownCommand(command));
        }
        const bool takesOperand = command == "diff" || command == "apply" || command == "settle" ||
                                  command == "evacuate" || command == "restore";
        if (operands.size() != (takesOperand ? 1U : 0U)) {
            return fail(CtlExit::Usage, takesOperand ? command + ": expected one operand"
                                                     : command + ": expected no operand");
        }
        if (!readAdmins()) {
            return CtlExit::Usage;
        }
        if (command == "diff") {
            return diff(operands.front());
        }
        if (command == "apply") {
            return apply(operands.front());
        }
        if (command == "evacuate" || command == "restore") {
            return setEvacuated(operands.front(), command == "evacuate");
        }
        if (command == "settle") {
            return settle(operands.front());
        }
        if (command == "show") {
            return show();
        }
        if (command == "status") {
            return status();
        }
        return history();
    }

private:
    std::ostream &out() { return *m_environment.out; }

    CtlExit fail(CtlExit exit, const std::string &message)
    {
        *m_environment.err << "damaskhallctl: " << message << "\n";
        return exit;
    }

    bool readAdmins()
    {
        std::stringstream list(m_values.count("admin") > 0 ? m_values["admin"].as<std::string>()
                                                           : m_environment.defaultAdmin);
        std::string item;
        while (std::getline(list, item, ',')) {
            const auto endpoint = parseEndpoint(item);
            if (!endpoint) {
                fail(CtlExit::Usage, "admin address '" + item + "': expected a.b.c.d:port");
                return false;
            }
            m_admins.push_back(endpoint.assume_value());
        }
        return !m_admins.empty() || fail(CtlExit::Usage, "no admin address") == CtlExit::Done;
    }

    CtlExit check(const std::vector<std::string> &files)
    {
        if (files.empty()) {
            return fail(CtlExit::Usage, "check: expected files");
        }
        CtlExit exit = CtlExit::Done;
        for (const std::string &file : files) {
            const auto text = readFile(file);
            if (!text) {
                return fail(CtlExit::Usage, toString(text.assume_error()));
            }
            const Diagnostics diagnostics = checkConfigFile(text.assume_value(), file);
            if (!diagnostics.isEmpty()) {
                *m_environment.err << diagnostics.text() << "\n";
                exit = CtlExit::Refused;
            }
        }
        return exit;
    }

    // Reads a declaration and prints its mistakes.
    std::optional<Declaration> readDeclaration(const std::string &file, std::string &text,
                                               CtlExit &exit)
    {
        const auto content = readFile(file);
        if (!content) {
            exit = fail(CtlExit::Usage, toString(content.assume_error()));
            return std::nullopt;
        }
        text = content.assume_value();
        const auto declaration = parseDeclaration(text, file);
        if (!declaration) {
            *m_environment.err << declaration.assume_error().detail << "\n";
            exit = CtlExit::Refused;
            return std::nullopt;
        }
        return declaration.assume_value();
    }

    /// Calls balancers in turn until one takes the request. A request that may have been carried
    /// out is not sent again.
    Result<HttpReply> callFirst(HttpMethod method, const std::string &path, const std::string &body)
    {
        Result<HttpReply> last = Error{ErrorCode::Unreachable, Step::CallAdmin, "", "no balancer"};
        for (const Endpoint admin : m_admins) {
            last = m_environment.call(admin, method, path, body);
            const bool isTaken =
                    last ? last.assume_value().status == HttpOk || method == HttpMethod::Post
                         : last.assume_error().code == ErrorCode::OutcomeUnknown;
            if (isTaken) {
                return last;
            }
        }
        return last;
    }

    // Gets a JSON object, or prints why there is none.
    std::optional<Json> get(const std::string &path, CtlExit &exit)
    {
        const auto reply = callFirst(HttpMethod::Get, path, {});
        if (!reply) {
            exit = fail(CtlExit::Unreachable, toString(reply.assume_error()));
            return std::nullopt;
        }
        if (reply.assume_value().status != HttpOk) {
            exit = fail(exitOfStatus(reply.assume_value().status), messageOf(reply.assume_value()));
            return std::nullopt;
        }
        return Json::parse(reply.assume_value().body);
    }

    CtlExit diff(const std::string &file)
    {
        CtlExit exit = CtlExit::Done;
        std::string text;
        const auto next = readDeclaration(file, text, exit);
        const auto current = next ? get("/declaration", exit) : std::nullopt;
        if (!current) {
            return exit;
        }
        const std::string inForce = current->at("declaration");
        // Nothing is in force before the first apply.
        const auto before = inForce.empty() ? Result<Declaration>(Declaration())
                                            : parseDeclaration(inForce, "in force");
        if (!before) {
            return fail(CtlExit::Unreachable, toString(before.assume_error()));
        }
        const auto lines = diffDeclarations(before.assume_value(), *next);
        if (m_isJson) {
            out() << Json{{"revision", current->at("revision")}, {"differences", lines}}.dump()
                  << "\n";
        } else {
            for (const std::string &line : lines) {
                out() << line << "\n";
            }
        }
        return lines.empty() ? CtlExit::Done : CtlExit::Refused;
    }

    CtlExit apply(const std::string &file)
    {
        CtlExit exit = CtlExit::Done;
        std::string text;
        const auto declaration = readDeclaration(file, text, exit);
        const auto stored = declaration ? get("/stored", exit) : std::nullopt;
        if (!stored) {
            return exit;
        }
        const std::string ended = evacuationEndedBy(*declaration, *stored);
        if (!ended.empty()) {
            return fail(CtlExit::Refused,
                        "refused: data centre '" + ended + "' is evacuated, and " + file +
                                " would end that; add 'evacuated = yes' under [data_centre " +
                                ended + "], or first run: damaskhallctl restore " + ended);
        }
        return submit(text, *stored);
    }

    // Returns a data centre that is evacuated in the stored declaration and not in the next one, or
    // nothing. Only the command `restore` ends an evacuation: a file may be older than it.
    static std::string evacuationEndedBy(const Declaration &next, const Json &stored)
    {
        const auto before = parseDeclaration(stored.at("declaration"), "stored");
        if (!before) {
            return {};
        }
        for (const DataCentreDeclaration &dataCentre : before.assume_value().dataCentres) {
            if (dataCentre.isEvacuated && !next.isEvacuated(dataCentre.id)) {
                return dataCentre.name;
            }
        }
        return {};
    }

    CtlExit setEvacuated(const std::string &name, bool isEvacuated)
    {
        CtlExit exit = CtlExit::Done;
        const auto stored = get("/stored", exit);
        if (!stored) {
            return exit;
        }
        const std::string text = stored->at("declaration");
        if (text.empty()) {
            return fail(CtlExit::Refused, "refused: no declaration is stored yet");
        }
        const auto declaration = parseDeclaration(text, "stored");
        if (!declaration) {
            return fail(CtlExit::Refused, toString(declaration.assume_error()));
        }
        const std::vector<std::string> known = knownDataCentres(declaration.assume_value());
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            return fail(CtlExit::Refused, unknownDataCentre(name, known));
        }
        // A platform that has returned from an older copy may lack what is in force.
        const bool isStoredInForce =
                highestInForce() <= stored->at("revision").get<std::uint64_t>();
        if (isStoredInForce &&
            declaration.assume_value().isEvacuated(dataCentreId(name)) == isEvacuated) {
            return reportNoChange("data centre '" + name + "' is " +
                                          (isEvacuated ? "already evacuated" : "not evacuated"),
                                  *stored);
        }
        return submit(withEvacuation(text, name, isEvacuated), *stored);
    }

    // Data centres that are declared, or that a balancer reports as its own.
    std::vector<std::string> knownDataCentres(const Declaration &declaration)
    {
        std::vector<std::string> names;
        for (const DataCentreDeclaration &dataCentre : declaration.dataCentres) {
            names.push_back(dataCentre.name);
        }
        for (const Json &status : statuses()) {
            names.push_back(status.value("data_centre", std::string()));
        }
        std::sort(names.begin(), names.end());
        names.erase(std::unique(names.begin(), names.end()), names.end());
        std::erase(names, "");
        return names;
    }

    static std::string unknownDataCentre(const std::string &name,
                                         const std::vector<std::string> &known)
    {
        std::string list;
        for (const std::string &item : known) {
            list += (list.empty() ? "" : ", ") + item;
        }
        return "refused: unknown data centre '" + name +
               "'; known: " + (list.empty() ? "none" : list) +
               " (from [data_centre NAME] in the declaration, and from the balancers in --admin)";
    }

    CtlExit reportNoChange(const std::string &reason, const Json &stored)
    {
        const auto revision = stored.at("revision").get<std::uint64_t>();
        if (m_isJson) {
            out() << Json{{"outcome", "unchanged"}, {"revision", revision}, {"reason", reason}}
                             .dump()
                  << "\n";
        } else {
            out() << "nothing changed: " << reason << " (revision " << revision << ")\n";
        }
        return CtlExit::Done;
    }

    // Makes @p text the stored declaration if nothing has changed since @p stored was read.
    CtlExit submit(const std::string &text, const Json &stored)
    {
        const Revision revision{stored.at("revision").get<std::uint64_t>()};
        if (m_values.count("expect-revision") > 0 &&
            m_values["expect-revision"].as<std::uint64_t>() != revision.value) {
            return fail(CtlExit::Refused,
                        "refused: the stored declaration has revision " +
                                std::to_string(revision.value) + ", expected " +
                                std::to_string(m_values["expect-revision"].as<std::uint64_t>()) +
                                "; see: damaskhallctl history");
        }
        const std::string changeId = makeChangeId(revision, m_environment.random());
        std::string path =
                "/apply?change=" + changeId + "&author=" + HttpClient::escape(author()) +
                "&expected_version=" + std::to_string(stored.at("version").get<std::uint64_t>()) +
                "&in_force=" + std::to_string(highestInForce());
        if (stored.contains("change")) {
            path += "&expected_change=" +
                    HttpClient::escape(stored.at("change").get<std::string>());
        }
        if (m_values.count("above-revision") > 0) {
            path += "&above_revision=" +
                    std::to_string(m_values["above-revision"].as<std::uint64_t>());
        }
        return reportChange(changeId, callFirst(HttpMethod::Post, path, text));
    }

    CtlExit settle(const std::string &changeId)
    {
        const std::string path = "/settle?change=" + HttpClient::escape(changeId) +
                                 "&in_force=" + std::to_string(highestInForce());
        return reportChange(changeId, callFirst(HttpMethod::Post, path, {}));
    }

    std::string author()
    {
        return m_values.count("author") > 0 ? m_values["author"].as<std::string>()
                                            : m_environment.author;
    }

    // Returns what the balancers that answer report.
    std::vector<Json> statuses()
    {
        std::vector<Json> statuses;
        for (const Endpoint admin : m_admins) {
            const auto reply = m_environment.call(admin, HttpMethod::Get, "/status", {});
            if (!reply || reply.assume_value().status != HttpOk) {
                continue;
            }
            Json status = Json::parse(reply.assume_value().body, nullptr, false);
            if (status.is_object()) {
                statuses.push_back(std::move(status));
            }
        }
        return statuses;
    }

    // Balancers that do not answer cannot report a revision.
    std::uint64_t highestInForce()
    {
        std::uint64_t highest = 0;
        for (const Json &status : statuses()) {
            if (status.contains("revision")) {
                highest = std::max(highest, status["revision"].get<std::uint64_t>());
            }
        }
        return highest;
    }

    CtlExit reportChange(const std::string &changeId, const Result<HttpReply> &reply)
    {
        if (!reply) {
            if (reply.assume_error().code != ErrorCode::OutcomeUnknown) {
                return fail(CtlExit::Unreachable, toString(reply.assume_error()));
            }
            return fail(CtlExit::Unknown, "unknown: the balancer did not answer; find out with: "
                                          "damaskhallctl settle " +
                                                  changeId);
        }
        try {
            return reportOutcome(changeId, reply.assume_value());
        } catch (const Json::exception &error) {
            return fail(CtlExit::Unknown,
                        std::string("unknown: unexpected answer: ") + error.what() +
                                "; find out with: damaskhallctl settle " + changeId);
        }
    }

    CtlExit reportOutcome(const std::string &changeId, const HttpReply &answer)
    {
        const Json json = Json::parse(answer.body, nullptr, false);
        if (!json.is_object() || !json.contains("outcome")) {
            return fail(exitOfStatus(answer.status), messageOf(answer));
        }
        const CtlExit exit = exitOfStatus(answer.status);
        if (m_isJson) {
            Json withId = json;
            withId["change"] = changeId;
            out() << withId.dump() << "\n";
            return exit;
        }
        const std::string outcome = json.at("outcome");
        const std::string revision = std::to_string(json.at("revision").get<std::uint64_t>());
        if (outcome == "accepted") {
            out() << "accepted at revision " << revision << "\n";
            return exit;
        }
        if (outcome == "unchanged") {
            out() << "nothing changed: " << json.at("reason").get<std::string>() << " (revision "
                  << revision << ")\n";
            return exit;
        }
        fail(exit, outcome + ": " + json.at("reason").get<std::string>());
        printWinner(json);
        return exit;
    }

    void printWinner(const Json &json)
    {
        std::ostream &err = *m_environment.err;
        if (json.contains("winner")) {
            const Json &winner = json["winner"];
            err << "  revision " << winner.at("revision").get<std::uint64_t>() << " by "
                << winner.at("author").get<std::string>() << " at "
                << formatTime(winner.at("time_ms").get<std::int64_t>()) << ", change "
                << winner.at("change").get<std::string>() << "\n";
        }
        for (const Json &line : json.at("differences")) {
            err << "  this change against it: " << line.get<std::string>() << "\n";
        }
    }

    CtlExit show()
    {
        CtlExit exit = CtlExit::Done;
        const bool isStored = m_values.count("stored") > 0;
        const auto shown = get(isStored ? "/stored" : "/declaration", exit);
        if (!shown) {
            return exit;
        }
        if (m_isJson) {
            out() << shown->dump() << "\n";
            return exit;
        }
        // A comment, so that the output can be applied again.
        out() << "; revision " << shown->at("revision").get<std::uint64_t>() << "\n"
              << shown->at("declaration").get<std::string>();
        return exit;
    }

    CtlExit status()
    {
        std::vector<BalancerReport> reports;
        for (const Endpoint admin : m_admins) {
            const auto reply = m_environment.call(admin, HttpMethod::Get, "/status", {});
            BalancerReport report{toString(admin), {}, {}};
            if (!reply) {
                report.error = std::string(toString(reply.assume_error().code));
            } else if (reply.assume_value().status != HttpOk) {
                report.error = messageOf(reply.assume_value());
            } else {
                report.status = reply.assume_value().body;
            }
            reports.push_back(std::move(report));
        }
        printReports(reports);
        const bool isComplete = std::all_of(reports.begin(), reports.end(),
                                            [](const auto &entry) { return entry.error.empty(); });
        return isComplete ? CtlExit::Done : CtlExit::Unreachable;
    }

    void printReports(const std::vector<BalancerReport> &reports)
    {
        if (!m_isJson) {
            out() << formatReports(reports);
            return;
        }
        Json list = Json::array();
        for (const BalancerReport &report : reports) {
            Json entry = report.error.empty() ? Json::parse(report.status)
                                              : Json{{"error", report.error}};
            entry["admin"] = report.admin;
            list.push_back(std::move(entry));
        }
        out() << Json{{"balancers", std::move(list)}}.dump() << "\n";
    }

    CtlExit history()
    {
        CtlExit exit = CtlExit::Done;
        const auto answer = get("/history", exit);
        if (!answer) {
            return exit;
        }
        if (m_isJson) {
            out() << answer->dump() << "\n";
            return exit;
        }
        if (answer->at("stale").get<bool>()) {
            *m_environment.err << "damaskhallctl: the platform does not answer; this is the last "
                                  "known history\n";
        }
        out() << formatHistory(answer->at("history"));
        return exit;
    }

    const po::variables_map &m_values;
    const CtlEnvironment &m_environment;
    bool m_isJson;
    std::vector<Endpoint> m_admins;
};

} // namespace

CtlExit runCtl(const std::vector<std::string> &arguments, const CtlEnvironment &environment)
{
    try {
        po::options_description options("Options");
        options.add_options()("help", "")("version", "")("json", "")("stored", "")(
                "admin", po::value<std::string>())("author", po::value<std::string>())(
                "expect-revision", po::value<std::uint64_t>())("above-revision",
                                                               po::value<std::uint64_t>())(
                "word", po::value<std::vector<std::string>>());
        po::positional_options_description positional;
        positional.add("word", -1);
        po::variables_map values;
        po::store(po::command_line_parser(arguments).options(options).positional(positional).run(),
                  values);
        if (values.count("help") > 0) {
            *environment.out << Usage;
            return CtlExit::Done;
        }
        if (values.count("version") > 0) {
            *environment.out << "damaskhallctl " << DAMASKHALL_VERSION << "\n";
            return CtlExit::Done;
        }
        if (values.count("word") == 0) {
            *environment.err << Usage;
            return CtlExit::Usage;
        }
        return Ctl(values, environment).run();
    } catch (const po::error &error) {
        *environment.err << "damaskhallctl: " << error.what() << "; see --help\n";
        return CtlExit::Usage;
    } catch (const Json::exception &error) {
        *environment.err << "damaskhallctl: a balancer sent an unexpected answer: " << error.what()
                         << "\n";
        return CtlExit::Unreachable;
    }
}

} // namespace damaskhall
