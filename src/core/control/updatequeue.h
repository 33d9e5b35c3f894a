#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace damaskhall {

/// Queue of updates to piggyback on datagrams, each a limited number of times, least sent first.
/// Update must have a member @c id. Thread safety: none.
template <typename Update>
class UpdateQueue
{
public:
    /// Maximum queue length; beyond it the oldest update is dropped. A dropped update still reaches
    /// all members through a StatePull, as the digests differ.
    static constexpr std::size_t MaxQueued = 2048;

    /// Adds an update to be sent @p transmissions times. Replaces an older update with the same id.
    void push(const Update &update, std::uint32_t transmissions)
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
        m_items.push_back({update, transmissions, true});
        ++m_unannouncedCount;
    }

    /// Returns up to @p limit updates that takeUnannounced() has not returned before.
    std::vector<Update> takeUnannounced(std::size_t limit)
    {
        std::vector<Update> taken;
        for (Item &item : m_items) {
            if (taken.size() == limit || m_unannouncedCount == 0) {
                break;
            }
            if (std::exchange(item.isUnannounced, false)) {
                --m_unannouncedCount;
                taken.push_back(item.update);
            }
        }
        return taken;
    }

    /// Returns the @p limit least sent updates at most and counts them as sent.
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
                              return std::pair(b->transmissionsLeft, a) <
                                     std::pair(a->transmissionsLeft, b);
                          });
        std::vector<Update> taken;
        for (std::size_t i = 0; i < limit; ++i) {
            taken.push_back(order[i]->update);
            --order[i]->transmissionsLeft;
        }
        std::erase_if(m_items, [this](const Item &item) {
            const bool isExhausted = item.transmissionsLeft == 0;
            m_unannouncedCount -= isExhausted && item.isUnannounced ? 1 : 0;
            return isExhausted;
        });
        return taken;
    }

    bool hasUnannounced() const { return m_unannouncedCount > 0; }

private:
    struct Item
    {
        Update update;
        std::uint32_t transmissionsLeft = 0;
        bool isUnannounced = true;
    };

    void drop(typename std::vector<Item>::iterator item)
    {
        m_unannouncedCount -= item->isUnannounced ? 1 : 0;
        m_items.erase(item);
    }

    std::vector<Item> m_items;
    std::size_t m_unannouncedCount = 0;
};

} // namespace damaskhall
