#pragma once

#include "base/random.h"
#include "core/flow/flowdecision.h"
#include "core/flow/flowview.h"

#include <memory>

namespace damaskhall::fakes {

/// Baseline for FlowRouter: keeps flows whole by their cookies and places new ones at random among
/// the upstreams that the directory lists. It knows no load and learns nothing.
/// Thread safety: none.
class RandomForwarder
{
public:
    explicit RandomForwarder(RandomSource random);

    void handleView(std::shared_ptr<const FlowView> view) { m_view = std::move(view); }
    /// Precondition: a usable view was given.
    FlowDecision handlePacket(const FlowPacket &packet) const;

private:
    RandomSource m_random;
    std::shared_ptr<const FlowView> m_view;
};

} // namespace damaskhall::fakes
