// Requests of pools of which this host reaches no upstream.
#include <guavafield/coordination/request/scheduler/scheduler_core.hpp>

#include <algorithm>

namespace guavafield {

bool RequestScheduler::Impl::unreachable(const Pool &pool)
{
    std::size_t accepting = 0;
    std::size_t down = 0;
    pool.upstreams.forEach([&](const UpstreamState &it) {
        accepting += it.accepting() ? 1 : 0;
        down += it.accepting() && it.downSince && it.linkLost ? 1 : 0;
    });
    return accepting > 0 && down == accepting;
}

std::vector<std::uint64_t> RequestScheduler::Impl::unreachablePools(SteadyTime /*now*/) const
{
    std::vector<std::uint64_t> result;
    for (const auto &[id, pool] : m_pools) {
        if (pool.selfQueueing && unreachable(pool)) {
            result.push_back(stableIdHash(id));
        }
    }
    std::ranges::sort(result);
    return result;
}

bool RequestScheduler::Impl::relay(Pool &pool, RequestEntry &entry, SteadyTime now)
{
    // What several versions may have written is not joined by another host either.
    if (entry.info.relayed || entry.originUncertain || !unreachable(pool)) {
        return false;
    }
    auto target = m_relays.choose(stableIdHash(entry.info.model), entry.info.homes, {}, now);
    if (!target) {
        return false;
    }
    if (entry.attemptsMade == 0) {
        m_poolRetries.onRelayed(entry.info.className, now);
    }
    const auto attemptsLeft = entry.info.maxAttempts == 0 ? 0 : entry.info.maxAttempts - std::min(entry.attemptsRun, entry.info.maxAttempts - 1);
    m_actions.emplace_back(RelayAction{entry.info.id, std::move(*target), attemptsLeft});
    erase(entry, now);
    return true;
}

} // namespace guavafield
