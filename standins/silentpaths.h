#pragma once

#include "base/endpoint.h"
#include "base/milliseconds.h"

#include <optional>
#include <set>

/// Fault in which open connections permanently stop delivering while new ones work: packets from
/// every sender that was seen before the fault are dropped afterwards. Thread safety: none.
class SilentPaths
{
public:
    /// The fault begins at @p from; without it there is none.
    explicit SilentPaths(std::optional<damaskhall::Milliseconds> from)
        : m_from(from)
    {
    }

    /// Returns true if a packet from @p sender is dropped.
    bool drops(damaskhall::Endpoint sender, damaskhall::Milliseconds now)
    {
        if (!m_from) {
            return false;
        }
        if (now < *m_from) {
            m_seen.insert(sender);
            return false;
        }
        return m_seen.count(sender) > 0;
    }

private:
    std::optional<damaskhall::Milliseconds> m_from;
    std::set<damaskhall::Endpoint> m_seen;
};
