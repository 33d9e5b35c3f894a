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
            m_items.erase(old);
        }
        if (m_items.size() >= MaxQueued) {
            m_items.erase(m_items.begin());
        }
        m_items.push_back({update, sends, true});
    }

    /// Returns up to @p limit updates that were never taken by takeFresh().
    std::vector<Update> takeFresh(std::size_t limit)
    {
        std::vector<Update> taken;
        for (Item &item : m_items) {
            if (taken.size() == limit) {
                break;
            }
            if (std::exchange(item.isFresh, false)) {
                taken.push_back(item.update);
            }
        }
        return taken;
    }

    /// Returns up to @p limit updates that were sent least and counts them as sent.
    std::vector<Update> take(std::size_t limit)
    {
        limit = std::min(limit, m_items.size());
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
        std::erase_if(m_items, [](const Item &item) { return item.sendsLeft == 0; });
        return taken;
    }

    bool hasFresh() const
    {
        return std::any_of(m_items.begin(), m_items.end(),
                           [](const Item &item) { return item.isFresh; });
    }

private:
    struct Item
    {
        Update update;
        std::uint32_t sendsLeft = 0;
        bool isFresh = true;
    };

    std::vector<Item> m_items;
};

} // namespace damaskhall
