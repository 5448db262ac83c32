// Periodic checks: outlier ejection, migration from leaving upstreams, ends of pauses and removal of upstreams.
#include <guavafield/coordination/request/placement/stream_binding.hpp>
#include <guavafield/coordination/request/scheduler/scheduler_core.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

constexpr Milliseconds checkInterval{250};
// An upstream is an outlier when its median token time exceeds that of its peers by this factor.
constexpr double outlierRatio = 2;
// Unfinished requests are migrated this long before the upstream terminates, even if no other slots are free.
constexpr double forcedMigrationSeconds = 1;
constexpr double remainingTimeQuantile = 0.7;

} // namespace internal

void RequestScheduler::Impl::runPeriodicChecks(SteadyTime now)
{
    if (now < m_nextCheck) {
        return;
    }
    m_nextCheck = now + internal::checkInterval;
    for (const auto &[model, pool] : m_pools) {
        // Token times of self-queueing engines depend on the prompts that they prefill, so they are not compared.
        if (!pool.selfQueueing) {
            checkOutliers(pool, now);
        }
    }
    expirePeerWork(now);
    takeCrashes(now);
    if (m_notices.expireRejectionLimits(now)) {
        divideBrittleRoom(now);
    }
    for (auto &[id, upstream] : m_upstreams) {
        upstream.adaptLimit(now);
    }
    migrateFromLeaving(now);
    eraseRemovedUpstreams();
    refreshSlots();
}

void RequestScheduler::Impl::checkOutliers(const Pool &pool, SteadyTime now)
{
    std::vector<double> medians;
    pool.upstreams.forEach([&](const UpstreamState &it) {
        if (const double median = it.outlier.median(); median > 0 && !it.outlier.ejected()) {
            medians.push_back(median);
        }
    });
    if (medians.size() < 3) {
        return;
    }
    const auto middle = medians.begin() + static_cast<std::ptrdiff_t>(medians.size() / 2);
    std::ranges::nth_element(medians, middle);
    const double bound = internal::outlierRatio * *middle;
    // Ejects at most a third, so that the remaining upstreams are a valid baseline.
    auto toEject = medians.size() / 3;
    pool.upstreams.forEach([&](UpstreamState &it) {
        const double median = it.outlier.median();
        if (median <= 0 || it.downSince) {
            return;
        }
        if (median <= bound && it.outlier.ejected()) {
            it.outlier.restore();
        } else if (median > bound && it.outlier.probeDue(now)) {
            it.outlier.eject(now);
        } else if (median > bound && !it.outlier.ejected() && toEject > 0) {
            it.outlier.eject(now);
            --toEject;
        }
    });
}

bool RequestScheduler::Impl::likelyFinishesWithin(const RequestEntry &entry, double seconds)
{
    double needed = m_times.outputSeconds(entry.info, internal::remainingTimeQuantile, entry.deliveredTokens);
    needed += entry.started() ? 0 : m_times.prefillSeconds(entry.info);
    return needed <= seconds;
}

void RequestScheduler::Impl::migrateFromLeaving(SteadyTime now)
{
    for (auto &[id, upstream] : m_upstreams) {
        if (!upstream.leavesAt || *upstream.leavesAt == SteadyTime::max()) {
            continue;
        }
        const double left = secondsBetween(now, *upstream.leavesAt);
        const auto requests = upstream.running;
        for (auto *entry : requests) {
            const bool last = left <= internal::forcedMigrationSeconds;
            // The upstream may still finish what nobody else may go on with.
            if (entry->bound() && !anotherTakesNow(*entry, poolOf(*entry).upstreams, now)) {
                continue;
            }
            if (entry->attempts.size() == 1 && entry->migratable() && left > 0 && !likelyFinishesWithin(*entry, left) && (last || !saturated(poolOf(*entry)))) {
                migrate(*entry, upstream, now);
            }
        }
    }
}

void RequestScheduler::Impl::migrate(RequestEntry &entry, UpstreamState &from, SteadyTime now)
{
    endAttempt(entry, from, now);
    removeFromRunning(entry);
    m_actions.emplace_back(PreemptAction{entry.info.id, from.upstream.id, RetryReason::UpstreamReclaimed});
    requeue(entry);
}

void RequestScheduler::Impl::endPauses(SteadyTime now)
{
    if (now < m_nextResume) {
        return;
    }
    m_nextResume = SteadyTime::max();
    for (auto &[id, upstream] : m_upstreams) {
        applyNotice(upstream, now);
    }
    refreshSlots();
}

void RequestScheduler::Impl::eraseRemovedUpstreams()
{
    for (auto it = m_upstreams.begin(); it != m_upstreams.end();) {
        if (it->second.upstream.models.empty() && it->second.upstream.pool.empty() && it->second.running.empty()) {
            m_router.prefixes().removeAll(it->second);
            for (auto &[id, entry] : m_requests) {
                entry->previousUpstream = entry->previousUpstream == &it->second ? nullptr : entry->previousUpstream;
            }
            m_upstreamsByIdHash.erase(it->second.idHash);
            m_probes.erase(it->second.idHash);
            it = m_upstreams.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace guavafield
