// Scheduler step: shedding, dispatch, preemption and hedging.
#include <guavafield/coordination/request/placement/stream_binding.hpp>
#include <guavafield/coordination/request/scheduler/scheduler_core.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

// Only tiers up to this one preempt; for lower tiers the lost prefill costs more than the wait.
constexpr Tier lowestPreemptingTier = 0;
// Preempt if draining the queue at the current slot release rate would take more than this fraction of the slack.
constexpr double slackFraction = 0.1;
constexpr double minReleaseRate = 0.1;
// A preempted request of this or a lower tier waits this long for the upstream that may still cache its prompt.
constexpr Tier highestTierWaitingForPrevious = 2;
constexpr Milliseconds previousUpstreamWait{6000};
constexpr double reservePerPreemption = 3;
constexpr double maxReserveFraction = 0.4;

} // namespace internal

std::vector<SchedulerAction> RequestScheduler::Impl::step(SteadyTime now)
{
    m_lastStep = now;
    endPauses(now);
    runPeriodicChecks(now);
    for (auto &[model, pool] : m_pools) {
        requeueHeldBack(pool);
    }
    shedExpired(now);
    for (auto &[model, pool] : m_pools) {
        dispatchSuspects(pool, now);
    }
    dispatchQueues(now);
    for (auto &[model, pool] : m_pools) {
        dispatchSelfQueueing(pool, now);
    }
    sendDueHedges(now);
    return std::exchange(m_actions, {});
}

void RequestScheduler::Impl::requeueHeldBack(Pool &pool)
{
    for (auto *entry : std::exchange(pool.heldBack, {})) {
        pool.queue.tier(entry->info.tier).push(*entry);
    }
}

void RequestScheduler::Impl::shedExpired(SteadyTime now)
{
    for (auto &[model, pool] : m_pools) {
        for (Tier tier = 0; tier < tierCount; ++tier) {
            auto &queue = pool.queue.tier(tier);
            for (auto *entry = queue.earliestLatestStart(); entry != nullptr && entry->latestStart < now; entry = queue.earliestLatestStart()) {
                queue.remove(*entry);
                shed(*entry);
            }
        }
        const auto suspects = pool.suspects;
        for (auto *entry : suspects) {
            if (entry->latestStart < now) {
                pool.suspects.erase(entry);
                shed(*entry);
            }
        }
    }
}

void RequestScheduler::Impl::shed(RequestEntry &entry)
{
    const auto &pool = poolOf(entry);
    const auto tier = entry.info.tier;
    std::uint32_t higher = 0;
    for (Tier it = 0; it < tier; ++it) {
        higher += pool.tiers[it].running;
    }
    auto code = higher > pool.slots / 2 ? ResultCode::ShedForHigherTier : ResultCode::FirstTokenTargetUnreachable;
    code = pool.slots > 0 ? code : entry.lastFailure.value_or(ResultCode::NoUpstream);
    code = entry.bound() && !anyMayRun(entry, pool.upstreams) ? ResultCode::StreamVersionGone : code;
    const double drain = pool.slots > 0 ? pool.queue.tier(tier).waitingWork() / pool.slots : 1;
    m_actions.emplace_back(ShedAction{entry.info.id, m_admission.refusal(code, drain)});
    refundUnusedCharge(entry);
    m_requests.erase(m_requests.find(entry.info.id));
}

void RequestScheduler::Impl::dispatchSuspects(Pool &pool, SteadyTime now)
{
    const auto suspects = pool.suspects;
    for (auto *entry : suspects) {
        if (entry->bound() && !anyMayRun(*entry, pool.upstreams)) {
            pool.suspects.erase(entry);
            shed(*entry);
        } else if (auto *upstream = m_router.chooseForSuspect(pool.upstreams, *entry, m_settings.hostsInDataCentre, m_hostIndex, now)) {
            pool.suspects.erase(entry);
            dispatch(pool, *entry, *upstream, now);
        }
    }
}

void RequestScheduler::Impl::dispatchQueues(SteadyTime now)
{
    std::vector<Pool *> activePools;
    for (auto &[model, pool] : m_pools) {
        activePools.push_back(&pool);
    }
    // Pools may share upstreams, so the pool with the highest waiting tier is served first.
    const auto nextTier = [now](const Pool *pool) {
        const auto *entry = pool->queue.next(now).entry;
        return entry != nullptr ? entry->info.tier : tierCount;
    };
    while (!activePools.empty()) {
        const auto first = std::ranges::min_element(activePools, {}, nextTier);
        if (!dispatchNext(**first, now) && !dispatchByPreemption(**first, now) && !holdBackNext(**first, now)) {
            activePools.erase(first);
        }
    }
}

bool RequestScheduler::Impl::dispatchNext(Pool &pool, SteadyTime now)
{
    const auto pick = pool.queue.next(now);
    if (pick.entry == nullptr || (!pick.byFloor && blockedByReserve(pool, pick.entry->info.tier, now))) {
        return false;
    }
    auto *upstream = chooseUpstream(pool, *pick.entry, now);
    if (upstream == nullptr) {
        return false;
    }
    dispatchPick(pool, pick, *upstream, now);
    return true;
}

UpstreamState *RequestScheduler::Impl::chooseUpstream(const Pool &pool, const RequestEntry &entry, SteadyTime now)
{
    if (auto *upstream = m_router.chooseForProbe(pool.upstreams, entry, now)) {
        return upstream;
    }
    if (auto *upstream = freePreviousUpstream(entry)) {
        return upstream;
    }
    return m_router.choose(pool.upstreams, entry, now);
}

bool RequestScheduler::Impl::holdBackNext(Pool &pool, SteadyTime now)
{
    auto *entry = pool.queue.next(now).entry;
    if (entry == nullptr || !entry->bound()) {
        return false;
    }
    if (!anyMayRun(*entry, pool.upstreams)) {
        pool.queue.tier(entry->info.tier).remove(*entry);
        shed(*entry);
        return true;
    }
    bool inTheWay = false;
    pool.upstreams.forEach([&](const UpstreamState &it) { inTheWay |= !mayRunOn(*entry, it) && it.usable() && it.hasFreeSlot(); });
    if (inTheWay) {
        pool.queue.tier(entry->info.tier).remove(*entry);
        pool.heldBack.insert(entry);
    }
    return inTheWay;
}

UpstreamState *RequestScheduler::Impl::freePreviousUpstream(const RequestEntry &entry)
{
    auto *previous = entry.previousUpstream;
    return previous != nullptr && mayRunOn(entry, *previous) && previous->usable() && previous->hasFreeSlot() ? previous : nullptr;
}

bool RequestScheduler::Impl::blockedByReserve(const Pool &pool, Tier tier, SteadyTime now)
{
    const double reserve = std::min(pool.reserve.valueAt(now), internal::maxReserveFraction * pool.slots);
    if (tier == 0 || reserve < 1) {
        return false;
    }
    double free = 0;
    pool.upstreams.forEach([&](const UpstreamState &it) { free += it.usable() && it.hasFreeSlot() ? it.limit.value() - it.outstanding() : 0; });
    return free <= reserve;
}

bool RequestScheduler::Impl::dispatchByPreemption(Pool &pool, SteadyTime now)
{
    for (Tier tier = 0; tier <= internal::lowestPreemptingTier; ++tier) {
        if (!shouldPreempt(pool, tier, now)) {
            continue;
        }
        if (auto *upstream = preemptFor(pool, tier, now)) {
            dispatchPick(pool, {pool.queue.tier(tier).front(now), false}, *upstream, now);
            return true;
        }
    }
    return false;
}

bool RequestScheduler::Impl::shouldPreempt(const Pool &pool, Tier tier, SteadyTime now) const
{
    const auto &queue = pool.queue.tier(tier);
    if (queue.empty() || queue.front(now) == nullptr) {
        return false;
    }
    const double slack = secondsBetween(now, std::min(queue.earliestLatestStart()->latestStart, queue.front(now)->deadline));
    const double drain = static_cast<double>(queue.size()) / std::max(internal::minReleaseRate, pool.releases.rateAt(now));
    return drain > internal::slackFraction * slack;
}

UpstreamState *RequestScheduler::Impl::preemptFor(Pool &pool, Tier tier, SteadyTime now)
{
    const auto *next = pool.queue.tier(tier).front(now);
    for (auto *victim : pool.preemptable) {
        if (victim->info.tier <= tier) {
            break;
        }
        auto &upstream = *victim->attempts.front().upstream;
        if (!upstream.usable() || !mayRunOn(*next, upstream) || !victim->migratable() || victim->attempts.size() > 1) {
            continue;
        }
        endAttempt(*victim, upstream, now);
        removeFromRunning(*victim);
        victim->previousUpstream = &upstream;
        if (victim->info.tier >= internal::highestTierWaitingForPrevious) {
            victim->waitsForPreviousUntil = now + internal::previousUpstreamWait;
        }
        m_actions.emplace_back(PreemptAction{victim->info.id, upstream.upstream.id, RetryReason::Preempted});
        requeue(*victim);
        pool.reserve.add(internal::reservePerPreemption, now);
        return &upstream;
    }
    return nullptr;
}

void RequestScheduler::Impl::dispatchPick(Pool &pool, const PoolQueue::Pick &pick, UpstreamState &upstream, SteadyTime now)
{
    pool.queue.take(pick);
    pick.entry->byFloor = pick.byFloor;
    dispatch(pool, *pick.entry, upstream, now);
}

void RequestScheduler::Impl::dispatch(Pool &pool, RequestEntry &entry, UpstreamState &upstream, SteadyTime now)
{
    const auto tier = entry.info.tier;
    auto &stats = pool.tiers[tier];
    ++stats.running;
    pool.dispatches.add(1, now);
    const auto maxProtected = std::max(1.0, floorFraction * pool.slots);
    entry.byFloor = entry.byFloor && stats.protectedByFloor < maxProtected;
    if (entry.byFloor) {
        ++stats.protectedByFloor;
    }
    entry.queued = false;
    entry.dispatchSequence = ++m_nextDispatch;
    if (tier > 0 && !entry.byFloor && !entry.suspect) {
        pool.preemptable.insert(&entry);
    }
    const double expected = std::max(0.0, entry.expectedCost - entry.used);
    pool.queue.tier(tier).charge(entry.info, expected);
    entry.charged = entry.used + expected;
    startAttempt(entry, upstream, now);
    scheduleHedge(entry, now);
    DispatchAction action{entry.info.id, upstream.upstream.id, tier, entry.attemptsMade};
    action.softwareVersion = upstream.upstream.softwareVersion;
    m_actions.emplace_back(std::move(action));
}

void RequestScheduler::Impl::sendDueHedges(SteadyTime now)
{
    while (!m_hedges.empty() && std::get<0>(*m_hedges.begin()) <= now) {
        auto &entry = *std::get<2>(*m_hedges.begin());
        cancelHedge(entry);
        auto &pool = poolOf(entry);
        auto *upstream = m_router.chooseForHedge(pool.upstreams, entry, now);
        if (upstream != nullptr && !saturated(pool) && m_retries.take(entry.info.className, now)) {
            startAttempt(entry, *upstream, now);
            m_actions.emplace_back(HedgeAction{entry.info.id, upstream->upstream.id, entry.info.tier});
        }
    }
}

} // namespace guavafield
