// Attribution of crashes to what their suspects have in common.
#include <guavafield/coordination/request/health/crash_evidence.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace guavafield {

namespace internal {

// Crashes are compared for this long.
constexpr Milliseconds crashMemory{60'000};
// Hosts of the largest fleets report to each other within this time.
constexpr Milliseconds reportedFor{8'000};
constexpr std::size_t momentsToConvict = 3;
// A part that stands above different others is in wide use, and refusing it costs more.
constexpr std::size_t momentsToConvictGeneral = 4;
// Crashes closer together count as one moment. By the next one, an answer with a sound part that is in use has survived somewhere, and this host has
// been told.
constexpr Milliseconds momentDistance{500};
// A part under one request only may be as innocent as the request's other parts.
constexpr std::size_t requestsToConvictPart = 2;
// Of the crashes that the most suspect part explains, so many are enough for a more special one to be the cause.
constexpr double specialFraction = 0.6;
// A cause has a part in at least one of so many crashes.
constexpr std::size_t crashesPerExplained = 6;
// More crashes at one moment are one failure of the network.
constexpr std::size_t maxSeparateAtOnce = 4;
// If more upstreams than this break within a short time, the cause is not one request.
constexpr Milliseconds widespreadTime{2'000};
constexpr double widespreadFraction = 0.3;
constexpr std::size_t minWidespread = 6;
// An answer that survives so soon after the first of these breaks may have been received before it.
constexpr Milliseconds receivedEarlier{250};
// Verdicts that are as young as this rest on what a widespread failure left.
constexpr Milliseconds rashVerdict{4'000};
// Bounds of memory and of reports.
constexpr std::size_t maxVerdicts = 256;
constexpr std::size_t maxReportedCrashes = 6;
// All crashes of a report fit into one datagram.
constexpr std::size_t maxReportedWords = 90;
constexpr std::size_t wordsOfCrash = 4;
constexpr std::size_t wordsOfSuspect = 4;
constexpr std::size_t maxReportedSurvivals = 16;
constexpr std::size_t maxReportedVerdicts = 8;

Milliseconds since(SteadyTime at, SteadyTime now) noexcept
{
    return std::chrono::ceil<Milliseconds>(std::max(now - at, SteadyTime::duration::zero()));
}

std::size_t countMoments(std::vector<SteadyTime> times)
{
    std::ranges::sort(times);
    std::size_t count = 0;
    SteadyTime last{};
    for (const auto it : times) {
        if (count == 0 || it - last >= momentDistance) {
            ++count;
            last = it;
        }
    }
    return count;
}

// Counts crashes, of those at one moment at most maxSeparateAtOnce.
std::size_t countSeparate(std::vector<SteadyTime> times)
{
    std::ranges::sort(times);
    std::size_t count = 0;
    std::size_t atOnce = 0;
    SteadyTime moment{};
    for (const auto it : times) {
        if (count == 0 || it - moment >= momentDistance) {
            moment = it;
            atOnce = 0;
        }
        count += atOnce++ < maxSeparateAtOnce ? 1 : 0;
    }
    return count;
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
    std::erase_if(m_verdicts, [now](const auto &it) { return now - it.second <= internal::rashVerdict; });
}

void CrashEvidence::onSurvived(const CrashSuspect &suspect, SteadyTime now)
{
    m_lastOwnSurvival = now;
    m_widespreadUntil = {};
    for (const auto it : suspect.parts) {
        m_ownSurvivals.add(it, now);
        addSurvival(it, now);
    }
    // Most requests are never suspected, so that they need not be remembered.
    if (isSuspected(suspect.request)) {
        m_ownSurvivals.add(suspect.request, now);
        addSurvival(suspect.request, now);
    }
}

void CrashEvidence::addSurvival(std::uint64_t feature, SteadyTime at)
{
    m_survivals.add(feature, at);
    const auto verdict = m_verdicts.find(feature);
    if (verdict != m_verdicts.end() && verdict->second < at) {
        m_verdicts.erase(verdict);
    }
}

void CrashEvidence::refute(const CrashObservation &crash, SteadyTime now)
{
    m_crashes.erase(crash.crash);
    m_ownCrashes.erase(crash.crash);
    std::vector<std::uint64_t> lifted;
    const auto lift = [&](std::uint64_t feature) {
        const auto verdict = m_verdicts.find(feature);
        if (verdict != m_verdicts.end() && verdict->second >= now - crash.age) {
            m_verdicts.erase(verdict);
            lifted.push_back(feature);
        }
    };
    for (const auto &suspect : crash.suspects) {
        lift(suspect.request);
        std::ranges::for_each(suspect.parts, lift);
    }
    if (lifted.empty()) {
        return;
    }
    // What the other crashes show without this one stays.
    evaluate(now);
    for (const auto it : lifted) {
        if (!m_verdicts.contains(it)) {
            // The other hosts learn it like any other survival.
            m_ownSurvivals.add(it, now);
            m_acquitted[it] = now;
            addSurvival(it, now);
        }
    }
}

bool CrashEvidence::isSuspected(std::uint64_t feature) const
{
    return m_verdicts.contains(feature) || std::ranges::any_of(m_crashes, [feature](const auto &it) {
               return std::ranges::any_of(it.second.suspects, [feature](const auto &suspect) { return suspect.holds(feature); });
           });
}

std::optional<Milliseconds> CrashEvidence::refusedFor(const CrashSuspect &suspect, SteadyTime now) const
{
    std::optional<Milliseconds> result;
    for (const auto &[feature, at] : m_verdicts) {
        const auto left = std::chrono::ceil<Milliseconds>(at + retention - now);
        if (left.count() > 0 && suspect.holds(feature)) {
            result = std::max(result.value_or(left), left);
        }
    }
    return result;
}

std::vector<const CrashSuspect *> CrashEvidence::openSuspects(const LoggedCrash &crash) const
{
    std::vector<const CrashSuspect *> all;
    std::vector<const CrashSuspect *> convicted;
    for (const auto &suspect : crash.suspects) {
        if (std::ranges::any_of(suspect.parts, [this](auto part) { return m_verdicts.contains(part); })) {
            return {};
        }
        all.push_back(&suspect);
        if (m_verdicts.contains(suspect.request)) {
            convicted.push_back(&suspect);
        }
    }
    return convicted.empty() ? all : convicted;
}

CrashEvidence::BlameMap CrashEvidence::blameOfParts() const
{
    BlameMap result;
    for (const auto &[id, crash] : m_crashes) {
        std::set<std::uint64_t> counted;
        for (const auto *suspect : openSuspects(crash)) {
            for (std::size_t n = 0; n < suspect->parts.size(); ++n) {
                const auto part = suspect->parts[n];
                if (m_survivals.since(part, crash.at)) {
                    continue;
                }
                auto &blame = result[part];
                blame.requests.insert(suspect->request);
                blame.depth = std::max(blame.depth, n);
                blame.isGeneral |= n + 1 < suspect->parts.size();
                if (counted.insert(part).second) {
                    blame.times.push_back(crash.at);
                }
            }
        }
    }
    return result;
}

CrashEvidence::BlameMap CrashEvidence::blameOfRequests() const
{
    BlameMap result;
    for (const auto &[id, crash] : m_crashes) {
        for (const auto *suspect : openSuspects(crash)) {
            if (!m_survivals.since(suspect->request, crash.at)) {
                auto &blame = result[suspect->request];
                blame.times.push_back(crash.at);
                blame.beforeAnswer += suspect->answerBegan ? 0 : 1;
            }
        }
    }
    return result;
}

bool CrashEvidence::explainsEnough(const Blame &blame) const
{
    const auto first = *std::ranges::min_element(blame.times);
    std::vector<SteadyTime> times;
    for (const auto &[id, crash] : m_crashes) {
        if (crash.at >= first) {
            times.push_back(crash.at);
        }
    }
    return blame.times.size() * internal::crashesPerExplained >= internal::countSeparate(std::move(times));
}

void CrashEvidence::evaluate(SteadyTime now)
{
    const auto isOld = [now](const CrashId & /*id*/, const LoggedCrash &it) { return now - it.at > internal::crashMemory; };
    m_crashes.eraseIf(isOld);
    m_ownCrashes.eraseIf(isOld);
    std::erase_if(m_verdicts, [now](const auto &it) { return now - it.second > retention; });
    std::erase_if(m_acquitted, [now](const auto &it) { return now - it.second > internal::reportedFor; });
    while (convictPart(now)) { }
    convictRequests(now);
}

bool CrashEvidence::convictPart(SteadyTime now)
{
    auto blames = blameOfParts();
    std::erase_if(blames, [this](const auto &entry) {
        const auto &blame = entry.second;
        const auto moments = blame.isGeneral ? internal::momentsToConvictGeneral : internal::momentsToConvict;
        const bool enough = blame.requests.size() >= internal::requestsToConvictPart && internal::countMoments(blame.times) >= moments;
        return !enough || !explainsEnough(blame);
    });
    std::size_t most = 0;
    for (const auto &[part, blame] : blames) {
        most = std::max(most, blame.times.size());
    }
    // This host may not have heard yet of all requests that ran at a crash, so a special part need not explain quite as many as a general one.
    const auto isCandidate = [most](const Blame &it) { return static_cast<double>(it.times.size()) >= internal::specialFraction * static_cast<double>(most); };
    const auto weight = [&](const Blame &it) { return std::tuple(isCandidate(it), it.depth, it.times.size()); };
    const auto worst = std::ranges::max_element(blames, {}, [&](const auto &it) { return weight(it.second); });
    if (worst == blames.end()) {
        return false;
    }
    convict(worst->first, worst->second.times.size(), now);
    return true;
}

void CrashEvidence::convictRequests(SteadyTime now)
{
    for (const auto &[request, blame] : blameOfRequests()) {
        // Answers that end too soon may only have been cut short by their upstreams; at several moments nobody got a whole one.
        const bool enough = blame.beforeAnswer >= internal::momentsToConvict || internal::countMoments(blame.times) >= internal::momentsToConvict;
        if (enough && explainsEnough(blame) && !m_verdicts.contains(request)) {
            convict(request, blame.times.size(), now);
        }
    }
}

void CrashEvidence::convict(std::uint64_t feature, std::size_t crashes, SteadyTime at)
{
    if (m_verdicts.size() >= internal::maxVerdicts) {
        m_verdicts.erase(std::ranges::min_element(m_verdicts, {}, [](const auto &it) { return it.second; }));
    }
    m_verdicts[feature] = at;
    m_convicted.push_back({feature, crashes});
}

std::vector<CrashConviction> CrashEvidence::takeConvicted()
{
    return std::exchange(m_convicted, {});
}

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
        open.insert(feature);
    }
    for (const auto &[id, crash] : m_crashes) {
        for (const auto *suspect : openSuspects(crash)) {
            open.insert(suspect->request);
            open.insert(suspect->parts.begin(), suspect->parts.end());
        }
    }
    for (const auto &[feature, at] : m_verdicts) {
        open.insert(feature);
        result.verdicts.push_back({feature, internal::since(at, now)});
    }
    for (const auto feature : open) {
        const auto at = m_ownSurvivals.last(feature);
        if (at && now - *at <= internal::reportedFor) {
            result.survivals.push_back({feature, internal::since(*at, now)});
        }
    }
    internal::limitNewest(result.survivals, internal::maxReportedSurvivals);
    internal::limitNewest(result.verdicts, internal::maxReportedVerdicts);
    return result;
}

void CrashEvidence::merge(const CrashKnowledge &peer, SteadyTime now)
{
    for (const auto &it : peer.survivals) {
        addSurvival(it.feature, now - it.age);
    }
    for (const auto &it : peer.verdicts) {
        const auto at = now - it.age;
        if (it.age < retention && !m_verdicts.contains(it.feature) && !m_survivals.since(it.feature, at)) {
            convict(it.feature, 0, at);
        }
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

} // namespace guavafield
