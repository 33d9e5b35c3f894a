#pragma once

#include "base/milliseconds.h"
#include "core/messages.h"

#include <algorithm>
#include <functional>
#include <map>

/// Feeds that an upstream serves: answers keepalives and pushes until acknowledged.
/// Thread safety: none.
class FeedStore
{
public:
    using Sender = std::function<void(const damaskhall::Frame &)>;

    /// Precondition: @p toFabric is set.
    FeedStore(damaskhall::Milliseconds pushInterval, Sender toFabric)
        : m_pushInterval(pushInterval)
        , m_toFabric(std::move(toFabric))
    {
    }

    void handle(const damaskhall::Forwarded<damaskhall::Keepalive> &frame,
                damaskhall::Milliseconds now)
    {
        Feed &feed = m_feeds[frame.inner.token];
        feed.caller = frame.caller;
        feed.seen = now;
        feed.acknowledged = std::max(feed.acknowledged, frame.inner.acknowledged);
        feed.sequence = std::max(feed.sequence, feed.acknowledged);
        m_toFabric(damaskhall::KeepaliveReply{frame.inner.token, feed.caller, feed.sequence});
    }

    void close(const damaskhall::SealedToken &token) { m_feeds.erase(token); }

    void tick(damaskhall::Milliseconds now)
    {
        std::erase_if(m_feeds, [now](const auto &entry) { return now - entry.second.seen > Idle; });
        for (auto &[token, feed] : m_feeds) {
            if (now < feed.nextPush) {
                continue;
            }
            feed.nextPush = now + m_pushInterval;
            feed.sequence += feed.acknowledged == feed.sequence ? 1 : 0;
            m_toFabric(damaskhall::Push{token, feed.caller, feed.sequence, "update"});
        }
    }

    std::size_t size() const { return m_feeds.size(); }

private:
    struct Feed
    {
        damaskhall::Endpoint caller;
        std::uint64_t sequence = 0;
        std::uint64_t acknowledged = 0;
        damaskhall::Milliseconds nextPush;
        damaskhall::Milliseconds seen;
    };

    /// A feed without a keepalive for this long is dropped.
    static constexpr damaskhall::Milliseconds Idle{10'000};

    damaskhall::Milliseconds m_pushInterval;
    Sender m_toFabric;
    std::map<damaskhall::SealedToken, Feed> m_feeds;
};
