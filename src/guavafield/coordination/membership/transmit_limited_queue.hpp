// Gossip queue that sends each item a limited number of times, the least often sent first.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace guavafield {

/*! @brief Queue of items ordered by the number of transmissions. */
template <typename Item>
class TransmitLimitedQueue
{
public:
    /*! @brief Adds an item, or resets its transmission count if it is queued. */
    void add(Item item)
    {
        remove(item);
        m_entries.push_back({std::move(item), 0});
    }

    void remove(const Item &item)
    {
        std::erase_if(m_entries, [&](const Entry &it) { return it.item == item; });
    }

    /*!
     * @brief Offers items by increasing number of transmissions, newest first among equals, until one is declined.
     * @param sendLimit Number of transmissions after which an item is removed.
     * @param take Called with an item; returns whether it was added to the message.
     */
    template <typename Take>
    void offer(std::uint32_t sendLimit, Take &&take)
    {
        std::ranges::stable_sort(m_entries, std::greater<>(), &Entry::sends);
        for (auto it = m_entries.rbegin(); it != m_entries.rend() && take(it->item); ++it) {
            ++it->sends;
        }
        std::erase_if(m_entries, [&](const Entry &it) { return it.sends >= sendLimit; });
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return m_entries.empty();
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        Item item;
        std::uint32_t sends{0};
    };

    // Sorted by decreasing number of transmissions; among equals the newest is last.
    std::vector<Entry> m_entries;
};

} // namespace guavafield
