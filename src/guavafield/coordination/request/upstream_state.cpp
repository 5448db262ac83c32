// Load estimate, availability and limit adaptation of an upstream.
#include <guavafield/coordination/request/upstream_state.hpp>

#include <guavafield/coordination/request/decaying_sum.hpp>

#include <algorithm>
#include <cmath>

namespace guavafield {

namespace internal {

constexpr double reportHalfLifeSeconds = 2;
// Older reports are not used to estimate free slots.
constexpr double freshReportSeconds = 1.5;
constexpr Milliseconds historyLength{15'000};
// Token times above this multiple of the best indicate congestion; a full batch alone stays below it.
constexpr double congestedTokenTimeRatio = 2.5;
constexpr double bestTokenTimeDrift = 1.0005;

} // namespace internal

double UpstreamState::load(SteadyTime now) const noexcept
{
    if (!reportTime) {
        return outstanding();
    }
    return outstanding() + othersAtReport * std::exp2(-secondsBetween(*reportTime, now) / internal::reportHalfLifeSeconds);
}

void UpstreamState::recordOutstanding(SteadyTime now)
{
    history.emplace_back(now, outstanding());
    while (history.size() > 1 && history[1].first < now - internal::historyLength) {
        history.pop_front();
    }
}

std::uint32_t UpstreamState::outstandingAt(SteadyTime time) const noexcept
{
    const auto later = std::ranges::upper_bound(history, time, {}, &std::pair<SteadyTime, std::uint32_t>::first);
    return later == history.begin() ? 0 : std::prev(later)->second;
}

void UpstreamState::addAttempt(RequestEntry &entry, SteadyTime now)
{
    running.push_back(&entry);
    suspects += entry.suspect ? 1 : 0;
    recordOutstanding(now);
}

void UpstreamState::removeAttempt(RequestEntry &entry, SteadyTime now)
{
    std::erase(running, &entry);
    suspects -= entry.suspect ? 1 : 0;
    recordOutstanding(now);
}

void UpstreamState::onReport(const LoadReport &fresh, SteadyTime now)
{
    const auto time = now - fresh.age;
    if (reportTime && time < *reportTime) {
        return;
    }
    const bool restarted = reportTime && fresh.incarnation != report.incarnation;
    if (restarted && !fresh.leaving) {
        leavesAt.reset();
    }
    if (downSince && (restarted || time > *downSince)) {
        markUp();
    }
    if (fresh.leaving && !leavesAt) {
        leavesAt = SteadyTime::max();
    }
    report = fresh;
    reportTime = time;
    const double others = static_cast<double>(fresh.running) + fresh.waiting - outstandingAt(time);
    othersAtReport = std::max(0.0, others);
    // All hosts see the same report, so each may use only its share of the free slots.
    const double free = static_cast<double>(upstream.slots) - fresh.running - fresh.waiting;
    limit.setCeiling(outstandingAt(time) + std::floor(free / hosts));
}

void UpstreamState::markDown(SteadyTime now) noexcept
{
    downSince = now;
    outlier.eject(now);
}

void UpstreamState::markUp() noexcept
{
    consecutiveFailures = 0;
    linkLost = false;
    if (downSince) {
        downSince.reset();
        outlier.restore();
    }
}

void UpstreamState::onTokenTime(double seconds) noexcept
{
    outlier.onTokenTime(seconds);
}

void UpstreamState::adaptLimit(SteadyTime now)
{
    if (const double recent = outlier.median(); recent > 0) {
        bestTokenSeconds = bestTokenSeconds > 0 ? std::min(bestTokenSeconds * internal::bestTokenTimeDrift, recent) : recent;
        if (recent > internal::congestedTokenTimeRatio * bestTokenSeconds) {
            limit.onCongestion(now);
            return;
        }
    }
    limit.onHealthy();
    const bool fresh = reportTime && secondsBetween(*reportTime, now) < internal::freshReportSeconds;
    if (!fresh) {
        limit.setCeiling(0);
    } else if (!hasFreeSlot()) {
        limit.onReached();
    }
}

} // namespace guavafield
