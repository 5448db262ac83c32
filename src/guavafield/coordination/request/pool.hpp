// The pool of a model in a data centre: its queue, its upstreams and what runs on them from this host.
#pragma once

#include <guavafield/coordination/request/decaying_sum.hpp>
#include <guavafield/coordination/request/placement.hpp>
#include <guavafield/coordination/request/pool_queue.hpp>
#include <guavafield/coordination/request/router.hpp>

#include <array>
#include <optional>
#include <set>
#include <tuple>

namespace guavafield {

/*! @brief Figures of one tier in a pool. */
struct TierStats
{
    std::uint32_t running{0};
    // Running requests that a floor turn dispatched and that are not preempted for it.
    std::uint32_t protectedByFloor{0};
    // Slot seconds that were admitted lately.
    DecayingSum admittedWork{10};
    // Mean expected slot seconds of a request; 0 before the first.
    double meanWork{0};
};

/*! @brief Order by engine priority, then by submission. */
struct ByEnginePriority
{
    [[nodiscard]] bool operator()(const RequestEntry *left, const RequestEntry *right) const noexcept
    {
        return std::tie(left->info.enginePriority, left->sequence) < std::tie(right->info.enginePriority, right->sequence);
    }
};

/*! @brief What a pool has whose upstreams queue by themselves: requests leave at once and wait here only while no upstream takes them. */
struct SelfQueueing
{
    UpstreamPool facts;
    Placement placement;
    std::set<RequestEntry *, ByEnginePriority> waiting;
};

/*! @brief One pool. */
struct Pool
{
    Model model;
    // Empty if this host queues for the upstreams.
    std::optional<SelfQueueing> selfQueueing;
    PoolQueue queue;
    PoolUpstreams upstreams;
    // This host's part of the slots of the usable upstreams.
    double slots{0};
    std::array<TierStats, tierCount> tiers;
    // Crash suspects that wait; they run apart from each other.
    std::set<RequestEntry *, ByDeadline> suspects;
    // Running requests that may give way to a higher tier.
    std::set<RequestEntry *, ByPreemption> preemptable;
    DecayingSum dispatches{5};
    // Slots that attempts gave back.
    DecayingSum releases{2};
    // Slots that lower tiers leave free; each preemption adds to it, so that one upswing of the top tier preempts few.
    DecayingSum reserve{10};

    [[nodiscard]] bool idle() const noexcept
    {
        std::uint32_t running = 0;
        for (const auto &it : tiers) {
            running += it.running;
        }
        return running == 0 && queue.size() == 0 && suspects.empty() && (!selfQueueing || selfQueueing->waiting.empty());
    }
};

} // namespace guavafield
