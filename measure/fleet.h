#pragma once

#include "config/declaration.h"
#include "fakes/session.h"
#include "measure/workload.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace damaskhall::measure {

/// Names of the fleet that all experiments on the real core use: the workshop board with 14
/// upstreams and the pattern desk with 4.
inline constexpr const char *BoardService = "workshop-board";
inline constexpr const char *DeskService = "pattern-desk";
inline constexpr std::size_t DeskUpstreams = 4;
inline constexpr std::uint64_t FirstBoardUpstream = 1;
inline constexpr std::uint64_t FirstDeskUpstream = 101;

/// Target of the claim class, and that of the idempotent class "lookup".
inline constexpr Milliseconds ClaimTarget = 1_s;
inline constexpr Milliseconds LookupTarget = 3_s;
inline constexpr Milliseconds FeedTarget = 500_ms;
inline constexpr Milliseconds UploadTarget = 30_s;

/// Board: claim (non-idempotent request), lookup (idempotent request), queue (feed). Desk: proof
/// (non-idempotent request), artwork (upload). Thread safety: reentrant.
Declaration fleetDeclaration(const std::vector<std::string> &workspaces = {"benches"});

/// Settings of the board's upstreams, besides id, service and service time.
struct BoardOptions
{
    std::function<double(const std::string &body)> workOf;
    double randomSheds = 0;
    bool hasMisleadingProbes = false;
};

/// Adds the board's upstreams with capacities 4 to 1.
void addBoard(fakes::Session &session, const BoardOptions &options = {});

/// Adds the desk's upstreams.
void addDesk(fakes::Session &session);

/// Returns a reservation at @p service.
Reserve reservation(std::uint64_t request, const std::string &service, const std::string &workClass,
                    Milliseconds deadline, const std::string &workspace = "benches");

/// Returns the index of the balancer that dispatches the board while all are alive.
std::uint32_t boardDispatcher(std::uint32_t balancers = FleetBalancers);

/// Returns the number of runs of @p body over all upstreams.
int runsOf(const fakes::Session &session, const std::string &body);

/// Returns the busy time per slot in milliseconds of each live upstream of the board.
std::vector<double> boardBusyMs(const fakes::Session &session);

} // namespace damaskhall::measure
