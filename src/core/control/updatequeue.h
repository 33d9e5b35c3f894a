#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace damaskhall {

/// Updates that wait to be sent with datagrams, each a limited number of times, least sent first.
/// Update has a member @c id. Thread safety: none.
template <typename Update>
class UpdateQueue
{
public:
    /// Updates kept; the oldest are dropped beyond it. A dropped update still reaches all members
    /// through a StatePull, as digests differ.
    static constexpr std::size_t MaxQueued = 2048;

    /// Adds an update for @p sends transmissions, in place of an older one with the same id.
    void push(const Update &update, std::uint32_t sends)
    {
        const auto old = std::find_if(m_items.begin(), m_items.end(), [&](const Item &item) {
            return item.update.id == update.id;
        });
        if (old != m_items.end()) {
            drop(old);
        }
        if (m_items.size() >= MaxQueued) {
            drop(m_items.begin());
        }
        m_items.push_back({update, sends, true});
        ++m_freshCount;
    }

    /// Returns up to @p limit updates that were never taken by takeUnannounced().
    std::vector<Update> takeUnannounced(std::size_t limit)
    {
        std::vector<Update> taken;
        for (Item &item : m_items) {
            if (taken.size() == limit || m_freshCount == 0) {
                break;
            }
            if (std::exchange(item.isFresh, false)) {
                --m_freshCount;
                taken.push_back(item.update);
            }
        }
        return taken;
    }

    /// Returns up to @p limit updates that were sent least and counts them as sent.
    std::vector<Update> takeLeastSent(std::size_t limit)
    {
        limit = std::min(limit, m_items.size());
        if (limit == 0) {
            return {};
        }
        std::vector<Item *> order;
        order.reserve(m_items.size());
        for (Item &item : m_items) {
            order.push_back(&item);
        }
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(limit),
                          order.end(), [](const Item *a, const Item *b) {
                              return std::pair(b->sendsLeft, a) < std::pair(a->sendsLeft, b);
                          });
        std::vector<Update> taken;
        for (std::size_t i = 0; i < limit; ++i) {
            taken.push_back(order[i]->update);
            --order[i]->sendsLeft;
        }
        std::erase_if(m_items, [this](const Item &item) {
            const bool isSpent = item.sendsLeft == 0;
            m_freshCount -= isSpent && item.isFresh ? 1 : 0;
            return isSpent;
        });
        return taken;
    }

    bool hasUnannounced() const { return m_freshCount > 0; }

private:
    struct Item
    {
        Update update;
        std::uint32_t sendsLeft = 0;
        bool isFresh = true;
    };

    void drop(typename std::vector<Item>::iterator item)
    {
        m_freshCount -= item->isFresh ? 1 : 0;
        m_items.erase(item);
    }

    std::vector<Item> m_items;
    std::size_t m_freshCount = 0;
};

} // namespace damaskhall
