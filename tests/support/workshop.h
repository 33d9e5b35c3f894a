#pragma once

#include "core/messages.h"
#include "fakes/session.h"

#include <cstdint>

namespace damaskhall::tests {

/// Declaration with a board (class claim: non-idempotent request, class status: idempotent request,
/// class queue: feed) and a desk (class artwork: upload), and the workspaces "benches" and
/// "agents".
Declaration workshopDeclaration();

/// Adds @p count upstreams of the board with ids from @p firstId. Upstream ids of a service are
/// unique in a session.
void addBoardUpstreams(fakes::Session &session, std::uint64_t firstId, std::uint64_t count,
                       double meanServiceMs = 20);

/// Reservation of a claim by "benches".
Reserve claim(std::uint64_t request, Milliseconds deadline = 2_s);
/// Reservation of an idempotent status request by "benches".
Reserve statusRequest(std::uint64_t request, Milliseconds deadline = 2_s);
/// Open of a queue feed by "benches".
Open queueFeed(std::uint64_t flow);

/// Number of runs of @p body over all upstreams.
int runsOf(const fakes::Session &session, const std::string &body);

} // namespace damaskhall::tests
