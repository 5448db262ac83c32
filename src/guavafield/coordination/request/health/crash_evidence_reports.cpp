// What hosts tell each other of crashes.
#include <guavafield/coordination/request/health/crash_evidence.hpp>
#include <guavafield/coordination/request/health/crash_times.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

constexpr std::size_t maxReportedCrashes = 6;
// All crashes of a report fit into one datagram.
constexpr std::size_t maxReportedWords = 90;
constexpr std::size_t wordsOfCrash = 4;
constexpr std::size_t wordsOfSuspect = 4;
constexpr std::size_t maxReportedSurvivals = 16;
constexpr std::size_t maxReportedVerdicts = 8;
// Of all verdicts, which share their datagram with the rest of the host's report.
constexpr std::size_t maxReportedFeatures = 8;

Milliseconds since(SteadyTime at, SteadyTime now) noexcept
{
    return std::chrono::ceil<Milliseconds>(std::max(now - at, SteadyTime::duration::zero()));
}

// Keeps the newest observations.
template <typename Observation>
void limitNewest(std::vector<Observation> &observations, std::size_t limit)
{
    std::ranges::sort(observations, {}, &Observation::age);
    if (observations.size() > limit) {
        observations.resize(limit);
    }
}

// Drops the suspects for which a datagram has no room.
void limitWords(std::vector<CrashObservation> &crashes)
{
    std::size_t words = 0;
    for (auto &crash : crashes) {
        words += wordsOfCrash;
        std::size_t kept = 0;
        for (const auto &suspect : crash.suspects) {
            words += wordsOfSuspect + suspect.parts.size();
            kept += words <= maxReportedWords ? 1 : 0;
        }
        crash.suspects.resize(std::min(kept, crash.suspects.size()));
    }
    std::erase_if(crashes, [](const auto &it) { return it.suspects.empty(); });
}

// Drops the verdicts, sorted by age, for which a datagram has no room.
void limitFeatures(std::vector<CrashVerdict> &verdicts)
{
    std::size_t features = 0;
    std::erase_if(verdicts, [&features](const auto &it) { return (features += it.features.size()) > maxReportedFeatures; });
}

} // namespace internal

CrashKnowledge CrashEvidence::knowledge(SteadyTime now) const
{
    CrashKnowledge result;
    for (const auto &[id, crash] : m_ownCrashes) {
        if (now - crash.at <= internal::reportedFor) {
            result.crashes.push_back({id, internal::since(crash.at, now), crash.suspects});
        }
    }
    internal::limitNewest(result.crashes, internal::maxReportedCrashes);
    internal::limitWords(result.crashes);
    std::set<std::uint64_t> open;
    for (const auto &[feature, at] : m_acquitted) {
        if (now - at <= internal::reportedFor) {
            open.insert(feature);
        }
    }
    for (const auto &crash : openCrashes()) {
        for (const auto *suspect : crash.suspects) {
            open.insert(suspect->request);
            open.insert(suspect->parts.begin(), suspect->parts.end());
        }
    }
    for (const auto &it : m_verdicts) {
        open.insert(it.features.begin(), it.features.end());
        result.verdicts.push_back({it.features, internal::since(it.at, now)});
    }
    for (const auto feature : open) {
        const auto at = m_ownSurvivals.last(feature);
        if (at && now - *at <= internal::reportedFor) {
            result.survivals.push_back({feature, internal::since(*at, now)});
        }
    }
    internal::limitNewest(result.survivals, internal::maxReportedSurvivals);
    internal::limitNewest(result.verdicts, internal::maxReportedVerdicts);
    internal::limitFeatures(result.verdicts);
    return result;
}

void CrashEvidence::merge(const CrashKnowledge &peer, SteadyTime now)
{
    for (const auto &it : peer.survivals) {
        addSurvival(it.feature, now - it.age);
    }
    for (const auto &it : peer.verdicts) {
        takeVerdict(it, now);
    }
    bool changed = false;
    for (const auto &it : peer.crashes) {
        for (const auto &suspect : it.suspects) {
            changed |= it.age <= internal::crashMemory && m_crashes.add(it.crash, suspect, now - it.age);
        }
    }
    if (changed) {
        evaluate(now);
    }
}

void CrashEvidence::takeVerdict(const CrashVerdict &verdict, SteadyTime now)
{
    const auto at = now - verdict.age;
    auto features = verdict.features;
    std::erase_if(features, [&](auto it) {
        // A verdict rests on two moments at least without an answer that survives. An answer of this host that the other one has not heard of refutes it.
        const bool refuted = m_survivals.since(it, at - internal::momentDistance);
        if (refuted) {
            m_acquitted[it] = now;
        }
        return refuted;
    });
    // What this host has found out itself about these features is more exact than what a host of an earlier version names.
    if (verdict.age < retention && !features.empty() && !m_verdicts.covers(features) && !isExplained({features, at})) {
        convict(std::move(features), 0, at);
    }
}

} // namespace guavafield
