// Strict priority between tiers with a minimum dispatch rate (floor) for lower tiers.
#include <guavafield/coordination/request/admission/pool_queue.hpp>

#include <algorithm>

namespace guavafield {

PoolQueue::Pick PoolQueue::next(SteadyTime now) const noexcept
{
    for (Tier it = 1; it < tierCount; ++it) {
        if (m_sinceFloor[it] + 1 >= floorDueAfter && !m_tiers[it].empty()) {
            return {m_tiers[it].frontOfLeastServedClass(), true};
        }
    }
    for (const auto &it : m_tiers) {
        if (auto *entry = it.front(now)) {
            return {entry, false};
        }
    }
    return {};
}

void PoolQueue::take(const Pick &pick)
{
    const auto tier = pick.entry->info.tier;
    m_tiers[tier].take(*pick.entry);
    for (Tier it = 1; it < tierCount; ++it) {
        m_sinceFloor[it] = std::min(m_sinceFloor[it] + 1, floorDueAfter - 1);
    }
    if (pick.byFloor) {
        m_sinceFloor[tier] = 0;
    }
}

std::size_t PoolQueue::size() const noexcept
{
    std::size_t size = 0;
    for (const auto &it : m_tiers) {
        size += it.size();
    }
    return size;
}

} // namespace guavafield
