// Pool of a model in a data centre: its queue, its upstreams and the requests of this host that run on them.
#pragma once

#include <guavafield/coordination/request/admission/pool_queue.hpp>
#include <guavafield/coordination/request/decaying_sum.hpp>
#include <guavafield/coordination/request/placement/placement.hpp>
#include <guavafield/coordination/request/placement/router.hpp>

#include <array>
#include <optional>
#include <set>
#include <tuple>

namespace guavafield {

/*! @brief Statistics of one tier in a pool. */
struct TierStats
{
    std::uint32_t running{0};
    // Running requests dispatched by the floor; they are exempt from preemption.
    std::uint32_t protectedByFloor{0};
    // Recently admitted work in slot seconds.
    DecayingSum admittedWork{10};
    // Mean expected slot seconds of a request; 0 before the first.
    double meanWork{0};
};

/*! @brief Orders by engine priority, then by submission. */
struct ByEnginePriority
{
    [[nodiscard]] bool operator()(const RequestEntry *left, const RequestEntry *right) const noexcept
    {
        return std::tie(left->info.enginePriority, left->sequence) < std::tie(right->info.enginePriority, right->sequence);
    }
};

/*! @brief State of a self-queueing pool. Requests are sent immediately and wait here only while no upstream accepts them. */
struct SelfQueueing
{
    UpstreamPool facts;
    Placement placement;
    std::set<RequestEntry *, ByEnginePriority> waiting;
};

/*! @brief Queue, upstreams and statistics of one pool. */
struct Pool
{
    Model model;
    // Empty if this host queues for the upstreams.
    std::optional<SelfQueueing> selfQueueing;
    PoolQueue queue;
    PoolUpstreams upstreams;
    // This host's share of the slots of the usable upstreams.
    double slots{0};
    std::array<TierStats, tierCount> tiers;
    // Waiting crash suspects; each runs on an upstream without another suspect.
    std::set<RequestEntry *, ByDeadline> suspects;
    // Streams that were next in the queue while only upstreams of other software versions had a free slot; queued anew by the next step.
    std::set<RequestEntry *, ByDeadline> heldBack;
    // Running requests that a higher tier may preempt.
    std::set<RequestEntry *, ByPreemption> preemptable;
    DecayingSum dispatches{5};
    // Slots released by ended attempts.
    DecayingSum releases{2};
    // Slots that lower tiers leave free. Each preemption adds to the reserve, so that a burst of the top tier preempts few requests.
    DecayingSum reserve{10};

    [[nodiscard]] bool idle() const noexcept
    {
        std::uint32_t running = 0;
        for (const auto &it : tiers) {
            running += it.running;
        }
        return running == 0 && queue.size() == 0 && suspects.empty() && heldBack.empty() && (!selfQueueing || selfQueueing->waiting.empty());
    }
};

} // namespace guavafield
