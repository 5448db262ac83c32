// Record of crashes and survivals, and what the verdicts say of a request.
#include <guavafield/coordination/request/health/crash_evidence.hpp>
#include <guavafield/coordination/request/health/crash_times.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

// If more upstreams than this break within a short time, the cause is not one request.
constexpr Milliseconds widespreadTime{2'000};
constexpr double widespreadFraction = 0.3;
constexpr std::size_t minWidespread = 6;
// An answer that survives so soon after the first of these breaks may have been received before it.
constexpr Milliseconds receivedEarlier{250};
// Verdicts that are as young as this rest on what a widespread failure left.
constexpr Milliseconds rashVerdict{4'000};

} // namespace internal

void CrashEvidence::onCrash(const CrashId &crash, const CrashSuspect &suspect, std::size_t upstreams, SteadyTime now)
{
    if (now < m_widespreadUntil) {
        m_widespreadUntil = now + internal::widespreadTime;
        return;
    }
    m_ownCrashes.add(crash, suspect, now);
    m_crashes.add(crash, suspect, now);
    dropWidespreadFailure(upstreams, now);
    evaluate(now);
}

void CrashEvidence::dropWidespreadFailure(std::size_t upstreams, SteadyTime now)
{
    const auto isRecent = [now](const LoggedCrash &it) { return now - it.at <= internal::widespreadTime; };
    std::size_t broken = 0;
    auto first = now;
    for (const auto &[id, crash] : m_ownCrashes) {
        broken += isRecent(crash) ? 1 : 0;
        first = isRecent(crash) ? std::min(first, crash.at) : first;
    }
    const auto limit = std::max(internal::minWidespread, static_cast<std::size_t>(internal::widespreadFraction * static_cast<double>(upstreams)));
    const bool reachesUpstreams = m_lastOwnSurvival > first + internal::receivedEarlier;
    if (broken <= limit || reachesUpstreams) {
        return;
    }
    m_widespreadUntil = now + internal::widespreadTime;
    for (const auto &[id, crash] : m_ownCrashes) {
        if (isRecent(crash)) {
            m_crashes.erase(id);
        }
    }
    m_ownCrashes.eraseIf([&isRecent](const CrashId & /*id*/, const LoggedCrash &it) { return isRecent(it); });
    m_verdicts.eraseIf([now](const auto &it) { return now - it.at <= internal::rashVerdict; });
}

void CrashEvidence::onSurvived(const CrashSuspect &suspect, SteadyTime now)
{
    m_lastOwnSurvival = now;
    m_widespreadUntil = {};
    for (const auto it : suspect.parts) {
        addOwnSurvival(it, now);
    }
    // Most requests are never suspected, so that they need not be remembered.
    if (isSuspected(suspect.request)) {
        addOwnSurvival(suspect.request, now);
    }
}

void CrashEvidence::addOwnSurvival(std::uint64_t feature, SteadyTime now)
{
    m_ownSurvivals.add(feature, now);
    if (addSurvival(feature, now)) {
        m_acquitted[feature] = now;
    }
}

bool CrashEvidence::addSurvival(std::uint64_t feature, SteadyTime at)
{
    m_survivals.add(feature, at);
    const bool acquitted = m_verdicts.clear(feature, at);
    if (acquitted) {
        m_decisions.emplace_back(CrashAcquittal{feature});
    }
    return acquitted;
}

void CrashEvidence::refute(const CrashObservation &crash, SteadyTime now)
{
    m_crashes.erase(crash.crash);
    m_ownCrashes.erase(crash.crash);
    std::set<std::uint64_t> lifted;
    m_verdicts.eraseIf([&](const RefusedCombination &it) {
        const bool rests =
            it.at >= now - crash.age && std::ranges::any_of(crash.suspects, [&it](const auto &suspect) { return suspect.holdsAll(it.features); });
        if (rests) {
            lifted.insert(it.features.begin(), it.features.end());
        }
        return rests;
    });
    if (lifted.empty()) {
        return;
    }
    // What the other crashes show without this one stays.
    evaluate(now);
    for (const auto it : lifted) {
        if (!m_verdicts.names(it)) {
            // The other hosts learn it like any other survival.
            addOwnSurvival(it, now);
            m_acquitted[it] = now;
        }
    }
}

bool CrashEvidence::isSuspected(std::uint64_t feature) const
{
    return m_verdicts.names(feature) || std::ranges::any_of(m_crashes, [feature](const auto &it) {
               return std::ranges::any_of(it.second.suspects, [feature](const auto &suspect) { return suspect.holds(feature); });
           });
}

std::optional<Milliseconds> CrashEvidence::refusedFor(const CrashSuspect &suspect, SteadyTime now) const
{
    const auto since = m_verdicts.refusedSince(suspect);
    if (!since || *since + retention <= now) {
        return std::nullopt;
    }
    return std::chrono::ceil<Milliseconds>(*since + retention - now);
}

void CrashEvidence::evaluate(SteadyTime now)
{
    const auto isOld = [now](const CrashId & /*id*/, const LoggedCrash &it) { return now - it.at > internal::crashMemory; };
    m_crashes.eraseIf(isOld);
    m_ownCrashes.eraseIf(isOld);
    m_verdicts.eraseIf([now](const auto &it) { return now - it.at > retention; });
    std::erase_if(m_acquitted, [now](const auto &it) { return now - it.second > internal::reportedFor; });
    while (convictPart(now)) { }
    convictRequests(now);
    releaseExplained(now);
}

std::vector<CrashDecision> CrashEvidence::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace guavafield
