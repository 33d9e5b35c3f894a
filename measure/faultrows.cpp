#include "measure/faultrows.h"

#include "measure/faultinjector.h"
#include "measure/fleet.h"
#include "measure/report.h"
#include "measure/requestload.h"
#include "measure/seedrunner.h"

#include <algorithm>

namespace damaskhall::measure {

namespace {

constexpr Milliseconds Deadline = 5_s;
/// An answer that an upstream finished this long before the deadline must reach its caller.
constexpr Milliseconds AnswerSlack = 2_s;
constexpr int Feeds = 100;
/// A request in a fleet of this load leaves room for the capacity that faults take away.
constexpr double FaultLoad = 0.4;
/// Uploads are delayed by faults but must be stored within this time.
constexpr Milliseconds UploadDeadline = 60_s;
constexpr std::uint64_t Uploads = 40;
constexpr std::size_t UploadBytes = 20'000;
constexpr double OneKillLoad = 0.7;

struct FaultResult
{
    double doubled = 0;
    double falseNotRun = 0;
    double wrongService = 0;
    double lostOrCrossed = 0;
    double uploadsLost = 0;
    double unknownShare = 0;
    double answeredShare = 0;
};

int doubledRuns(const fakes::Session &session, const IssuedRequest &request)
{
    return std::max(0, runsOf(session, request.body) - 1);
}

/// True if the run of @p request ended well before the deadline at an upstream that still lives.
bool endedInTime(const fakes::Session &session, const IssuedRequest &request)
{
    return std::any_of(session.upstreams().begin(), session.upstreams().end(),
                       [&](const auto &entry) {
                           const auto &completions = entry.second->completions();
                           const auto found = completions.find(request.body);
                           return entry.second->isAlive() && found != completions.end() &&
                                  found->second + AnswerSlack <= request.deadline;
                       });
}

/// True if the caller got another answer than its own, or none although neither its owner nor its
/// upstream was disturbed.
bool isLostOrCrossed(const fakes::Session &session, const FaultInjector &faults,
                     const IssuedRequest &request)
{
    if (request.isAnswered()) {
        return request.client->answer() != "done " + request.body;
    }
    if (request.client->phase() != RequestPhase::Unknown || !endedInTime(session, request)) {
        return false;
    }
    const auto permit = session.sealer().open(request.client->permit());
    if (!permit) {
        return true;
    }
    const Token &token = permit.assume_value();
    return !faults.wasDisturbed(token.owner, token.ownerIncarnation);
}

FaultResult evaluate(const fakes::Session &session, const FaultInjector &faults,
                     const RequestLoad &load, std::size_t lookupStream)
{
    FaultResult result;
    for (const IssuedRequest &request : load.issued()) {
        const int runs = runsOf(session, request.body);
        if (request.stream != lookupStream) {
            result.doubled += doubledRuns(session, request);
        }
        const RequestPhase phase = request.client->phase();
        result.falseNotRun += phase == RequestPhase::Refused && runs > 0 ? 1 : 0;
        result.unknownShare += phase == RequestPhase::Unknown ? 1 : 0;
        result.answeredShare += request.isAnswered() ? 1 : 0;
        result.lostOrCrossed += isLostOrCrossed(session, faults, request) ? 1 : 0;
    }
    for (const auto &[id, upstream] : session.upstreams()) {
        result.wrongService += static_cast<double>(upstream->wrongServicePackets());
    }
    const auto count = static_cast<double>(load.issued().size());
    result.unknownShare /= count;
    result.answeredShare /= count;
    return result;
}

/// An upload of which each body is different.
std::string uploadBody(std::uint64_t number)
{
    return std::string(UploadBytes, 'x') + std::to_string(number);
}

void startUploads(fakes::Session &session, Milliseconds duration)
{
    constexpr std::uint64_t FirstUpload = 10'000'000;
    for (std::uint64_t i = 0; i < Uploads; ++i) {
        const Milliseconds at = duration * static_cast<std::int64_t>(i) / Uploads;
        session.events().schedule(at, [&session, i] {
            session.startUpload(
                    reservation(FirstUpload + i, DeskService, "artwork", UploadDeadline),
                    uploadBody(i));
        });
    }
}

/// Counts uploads that were not stored, or that were reported as stored although no upstream has
/// them.
double lostUploads(const fakes::Session &session)
{
    double lost = 0;
    std::uint64_t number = 0;
    for (const UploadClient &upload : session.uploads()) {
        const std::string body = uploadBody(number++);
        const bool isStored = std::any_of(
                session.upstreams().begin(), session.upstreams().end(),
                [&](const auto &entry) { return entry.second->storedBodies().count(body) != 0; });
        lost += upload.phase() != UploadPhase::Stored || !isStored ? 1 : 0;
    }
    return lost;
}

FaultResult runFaults(std::uint64_t seed, Milliseconds duration)
{
    fakes::SessionOptions options;
    options.seed = seed;
    options.balancers = FleetBalancers;
    options.loss = 0.01;
    options.duplication = 0.01;
    options.jitter = 5_ms;
    fakes::Session session(options, fleetDeclaration());
    addBoard(session);
    addDesk(session);
    FaultInjector faults(session, seededRandom(seed + 1));
    RequestLoad load(session, seededRandom(seed + 2));
    session.runFor(100_ms);
    const double boardRate = FaultLoad * capacityPerMs(meanServiceTimes());
    load.addStream({BoardService, "claim", "benches", boardRate / 2, Deadline}, duration);
    const std::size_t lookups =
            load.addStream({BoardService, "lookup", "benches", boardRate / 2, Deadline}, duration);
    load.addStream({DeskService, "proof", "benches", 0.05, Deadline}, duration);
    for (std::uint64_t flow = 1; flow <= Feeds; ++flow) {
        session.startFeed({FlowId{flow}, serviceId(BoardService), classId(BoardService, "queue"),
                           workspaceId("benches")});
    }
    startUploads(session, duration);
    faults.start(1_s, duration);
    session.runFor(duration + UploadDeadline + 2_s);
    FaultResult result = evaluate(session, faults, load, lookups);
    result.uploadsLost = lostUploads(session);
    return result;
}

struct OneKillResult
{
    double ratio = 0;
    double unknown = 0;
    double sentUnanswered = 0;
    double lostReservations = 0;
};

OneKillResult runOneKill(std::uint64_t seed)
{
    fakes::SessionOptions options;
    options.seed = seed;
    options.balancers = FleetBalancers;
    fakes::Session session(options, fleetDeclaration());
    addBoard(session);
    RequestLoad load(session, seededRandom(seed + 2));
    session.runFor(100_ms);
    constexpr Milliseconds LoadEnd = 15_s;
    const double rate = OneKillLoad * capacityPerMs(meanServiceTimes());
    load.addStream({BoardService, "claim", "benches", rate, Deadline}, LoadEnd);
    const Milliseconds killAt{5'000 + static_cast<std::int64_t>(session.random()() % 5'000)};
    session.runFor(killAt - session.events().now());
    session.killBalancer(boardDispatcher());
    const std::size_t before = load.issued().size();
    session.runFor(LoadEnd + Deadline + 2_s - killAt);
    OneKillResult result;
    for (std::size_t i = 0; i < load.issued().size(); ++i) {
        const IssuedRequest &request = load.issued()[i];
        const bool isUnknown = request.client->phase() == RequestPhase::Unknown;
        result.unknown += isUnknown ? 1 : 0;
        result.sentUnanswered +=
                i < before && !request.isAnswered() && runsOf(session, request.body) > 0 ? 1 : 0;
        result.lostReservations += request.client->phase() == RequestPhase::Refused ? 1 : 0;
    }
    result.ratio = result.unknown / std::max(1.0, result.sentUnanswered);
    return result;
}

} // namespace

std::vector<Row> measureRandomFaults(const MeasureOptions &options)
{
    const Milliseconds duration = options.quick ? 20_s : 60_s;
    const std::function<FaultResult(std::uint64_t)> experiment = [&](std::uint64_t seed) {
        return runFaults(seed, duration);
    };
    const auto results = runSeeds(options, experiment);
    const std::string inputs = "balancers=9 upstreams=14+4 load=40% loss=1% duplication=1% "
                               "jitter_ms=5 faults_per_s=1 feeds=100 uploads=40 duration_s=" +
                               std::to_string(duration.value / 1000);
    std::vector<Row> rows;
    append(rows, summarise({"doubled_requests", "count", 0, Bound::AtMost},
                           column(results, &FaultResult::doubled), inputs));
    append(rows, summarise({"false_not_run", "count", 0, Bound::AtMost},
                           column(results, &FaultResult::falseNotRun), inputs));
    append(rows, summarise({"wrong_service_packets", "count", 0, Bound::AtMost},
                           column(results, &FaultResult::wrongService), inputs));
    append(rows, summarise({"answers_lost_or_crossed", "count", 0, Bound::AtMost},
                           column(results, &FaultResult::lostOrCrossed), inputs));
    append(rows, summarise({"uploads_lost", "count", 0, Bound::AtMost},
                           column(results, &FaultResult::uploadsLost), inputs));
    append(rows, summarise({"fault_unknown_share", "share"},
                           column(results, &FaultResult::unknownShare), inputs));
    append(rows, summarise({"fault_answered_share", "share"},
                           column(results, &FaultResult::answeredShare), inputs));
    return rows;
}

std::vector<Row> measureOneKill(const MeasureOptions &options)
{
    const std::function<OneKillResult(std::uint64_t)> experiment = runOneKill;
    const auto results = runSeeds(options, experiment);
    const std::string inputs = "balancers=9 upstreams=14 load=70% killed=dispatcher";
    std::vector<Row> rows;
    append(rows, summarise({"unknown_ratio_one_kill", "ratio", 1, Bound::AtMost},
                           column(results, &OneKillResult::ratio), inputs));
    append(rows, summarise({"one_kill_unknown", "claims"}, column(results, &OneKillResult::unknown),
                           inputs));
    append(rows, summarise({"one_kill_sent_unanswered", "claims"},
                           column(results, &OneKillResult::sentUnanswered), inputs));
    append(rows, summarise({"one_kill_refused", "claims"},
                           column(results, &OneKillResult::lostReservations), inputs));
    return rows;
}

} // namespace damaskhall::measure
