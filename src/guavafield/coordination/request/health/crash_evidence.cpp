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
// A part that stands above different others is in wide use, and refusing it costs more. A part with which answers have survived is less suspect.
constexpr std::size_t momentsToConvictCautiously = 4;
// A part that a verdict names has been suspected before, in company with others.
constexpr std::size_t momentsToNarrow = 2;
// Crashes closer together count as one moment. By the next one, an answer with a sound part that is in use has survived somewhere, and this host has
// been told.
constexpr Milliseconds momentDistance{500};
// A part under one request only may be as innocent as the request's other parts.
constexpr std::size_t requestsToConvictPart = 2;
// Of the crashes that the most suspect part explains, so many are enough for a more special one to be the cause.
constexpr double specialFraction = 0.6;
// Of the crashes for which a part is blamed, another part has to come with it in so many to be as suspect.
constexpr double companionFraction = 0.6;
// The same for a part of which no answer is known beside one with which answers have survived; several such parts may be at fault.
constexpr double unknownCompanionFraction = 0.3;
// Of the crashes that a verdict rests on, a later one has to explain so many to end it.
constexpr double explainedFraction = 0.5;
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
constexpr std::size_t maxCombination = 8;
constexpr std::size_t maxReportedCrashes = 6;
// All crashes of a report fit into one datagram.
constexpr std::size_t maxReportedWords = 90;
constexpr std::size_t wordsOfCrash = 4;
constexpr std::size_t wordsOfSuspect = 4;
constexpr std::size_t maxReportedSurvivals = 16;
constexpr std::size_t maxReportedVerdicts = 8;
constexpr std::size_t maxReportedFeatures = 24;

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

// Counts the crashes under each part that comes with the combination.
std::map<std::uint64_t, std::size_t> countCompanions(std::span<const CrashEvidence::OpenCrash> crashes, std::span<const std::uint64_t> combination)
{
    std::map<std::uint64_t, std::size_t> result;
    for (const auto &crash : crashes) {
        std::set<std::uint64_t> companions;
        for (const auto *suspect : crash.suspects) {
            if (suspect->holdsAll(combination)) {
                companions.insert(suspect->parts.begin(), suspect->parts.end());
            }
        }
        for (const auto it : companions) {
            ++result[it];
        }
    }
    return result;
}

// Drops the verdicts, sorted by age, for which a datagram has no room.
void limitFeatures(std::vector<CrashVerdict> &verdicts)
{
    std::size_t features = 0;
    std::erase_if(verdicts, [&features](const auto &it) { return (features += it.features.size()) > maxReportedFeatures; });
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

std::vector<CrashEvidence::OpenCrash> CrashEvidence::openCrashes() const
{
    std::vector<OpenCrash> result;
    for (const auto &[id, crash] : m_crashes) {
        auto suspects = openSuspects(crash);
        if (!suspects.empty()) {
            result.push_back({crash.at, std::move(suspects)});
        }
    }
    return result;
}

std::vector<const CrashSuspect *> CrashEvidence::openSuspects(const LoggedCrash &crash) const
{
    std::vector<const CrashSuspect *> all;
    std::vector<const CrashSuspect *> convicted;
    for (const auto &suspect : crash.suspects) {
        if (m_verdicts.refuses(suspect.parts)) {
            return {};
        }
        all.push_back(&suspect);
        if (m_verdicts.names(suspect.request)) {
            convicted.push_back(&suspect);
        }
    }
    return convicted.empty() ? all : convicted;
}

CrashEvidence::BlameMap CrashEvidence::blameOfParts(std::span<const OpenCrash> crashes) const
{
    BlameMap result;
    for (const auto &crash : crashes) {
        std::set<std::uint64_t> counted;
        for (const auto *suspect : crash.suspects) {
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
    for (const auto &crash : openCrashes()) {
        for (const auto *suspect : crash.suspects) {
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
    const auto isOver = [now](const RefusedCombination &it) { return now - it.at > retention; };
    m_verdicts.eraseIf(isOver);
    m_released.eraseIf(isOver);
    std::erase_if(m_acquitted, [now](const auto &it) { return now - it.second > internal::reportedFor; });
    while (convictPart(now)) { }
    convictRequests(now);
    releaseExplained(now);
}

std::set<CrashId> CrashEvidence::crashesUnder(std::span<const std::uint64_t> features) const
{
    std::set<CrashId> result;
    for (const auto &[id, crash] : m_crashes) {
        const bool isSuspect = std::ranges::any_of(crash.suspects, [features](const auto &it) { return it.holdsAll(features); });
        const bool survived = std::ranges::any_of(features, [&](auto it) { return m_survivals.since(it, crash.at); });
        if (isSuspect && !survived) {
            result.insert(id);
        }
    }
    return result;
}

bool CrashEvidence::isExplained(const RefusedCombination &verdict) const
{
    const auto own = crashesUnder(verdict.features);
    return !own.empty() && std::ranges::any_of(m_verdicts, [&](const RefusedCombination &other) {
        if (other.at <= verdict.at) {
            return false;
        }
        std::size_t shared = 0;
        std::vector<SteadyTime> later;
        for (const auto &it : crashesUnder(other.features)) {
            const auto at = m_crashes.at(it);
            if (own.contains(it)) {
                ++shared;
            } else if (at > verdict.at) {
                later.push_back(at);
            }
        }
        return static_cast<double>(shared) >= internal::explainedFraction * static_cast<double>(own.size())
            && internal::countMoments(std::move(later)) >= internal::momentsToNarrow;
    });
}

void CrashEvidence::releaseExplained(SteadyTime now)
{
    const std::vector<RefusedCombination> verdicts(m_verdicts.begin(), m_verdicts.end());
    for (const auto &it : verdicts) {
        if (!isExplained(it)) {
            continue;
        }
        m_verdicts.eraseIf([&it](const auto &entry) { return entry.features == it.features; });
        m_released.add({it.features, now});
        for (const auto feature : it.features) {
            m_decisions.emplace_back(CrashAcquittal{feature});
        }
    }
}

bool CrashEvidence::hasHistory(std::uint64_t part) const
{
    return m_survivals.last(part).has_value();
}

std::size_t CrashEvidence::momentsToConvict(std::uint64_t part, const Blame &blame) const
{
    if (hasHistory(part)) {
        return internal::momentsToConvictCautiously;
    }
    if (m_verdicts.names(part)) {
        return internal::momentsToNarrow;
    }
    return blame.isGeneral ? internal::momentsToConvictCautiously : internal::momentsToConvict;
}

std::vector<std::uint64_t> CrashEvidence::combinationOf(std::uint64_t part, const Blame &blame, std::span<const OpenCrash> crashes) const
{
    std::vector<std::uint64_t> result{part};
    const auto first = *std::ranges::min_element(blame.times);
    const auto blamed = static_cast<double>(blame.times.size());
    const auto isCompanion = [&](std::uint64_t feature, std::size_t count) {
        const auto fraction = hasHistory(part) && !hasHistory(feature) ? internal::unknownCompanionFraction : internal::companionFraction;
        const bool isNew = std::ranges::find(result, feature) == result.end();
        const bool explainsEarlier = !m_verdicts.names(part) || m_verdicts.nameTogether(part, feature);
        return isNew && explainsEarlier && static_cast<double>(count) >= fraction * blamed && !m_survivals.since(feature, first);
    };
    while (result.size() < internal::maxCombination) {
        auto companions = internal::countCompanions(crashes, result);
        std::erase_if(companions, [&isCompanion](const auto &it) { return !isCompanion(it.first, it.second); });
        const auto best = std::ranges::max_element(companions, {}, [this](const auto &it) { return std::tuple(!hasHistory(it.first), it.second); });
        if (best == companions.end()) {
            break;
        }
        result.push_back(best->first);
    }
    // Those of which no answer is known are more suspect.
    std::stable_partition(result.begin(), result.end(), [this](auto it) { return !hasHistory(it); });
    return result;
}

bool CrashEvidence::convictPart(SteadyTime now)
{
    const auto crashes = openCrashes();
    auto blames = blameOfParts(crashes);
    std::erase_if(blames, [this](const auto &entry) {
        const auto &[part, blame] = entry;
        const bool enough = blame.requests.size() >= internal::requestsToConvictPart && internal::countMoments(blame.times) >= momentsToConvict(part, blame);
        return !enough || !explainsEnough(blame);
    });
    std::size_t most = 0;
    for (const auto &[part, blame] : blames) {
        most = std::max(most, blame.times.size());
    }
    // This host may not have heard yet of all requests that ran at a crash, so a special part need not explain quite as many as a general one.
    const auto isCandidate = [most](const Blame &it) { return static_cast<double>(it.times.size()) >= internal::specialFraction * static_cast<double>(most); };
    const auto weight = [&](const auto &it) { return std::tuple(isCandidate(it.second), !hasHistory(it.first), it.second.depth, it.second.times.size()); };
    const auto worst = std::ranges::max_element(blames, {}, weight);
    if (worst == blames.end()) {
        return false;
    }
    const auto &[part, blame] = *worst;
    convict(combinationOf(part, blame, crashes), blame.times.size(), now);
    return true;
}

void CrashEvidence::convictRequests(SteadyTime now)
{
    for (const auto &[request, blame] : blameOfRequests()) {
        // Answers that end too soon may only have been cut short by their upstreams; at several moments nobody got a whole one.
        const bool enough = blame.beforeAnswer >= internal::momentsToConvict || internal::countMoments(blame.times) >= internal::momentsToConvict;
        if (enough && explainsEnough(blame) && !m_verdicts.names(request)) {
            convict({request}, blame.times.size(), now);
        }
    }
}

void CrashEvidence::convict(std::vector<std::uint64_t> features, std::size_t crashes, SteadyTime at)
{
    m_decisions.emplace_back(CrashConviction{features, crashes, m_crashes.size()});
    m_verdicts.add({std::move(features), at});
}

std::vector<CrashDecision> CrashEvidence::takeDecisions()
{
    return std::exchange(m_decisions, {});
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
    const bool isKnown = m_verdicts.covers(features) || m_released.covers(features, at);
    if (verdict.age < retention && !features.empty() && !isKnown && !isExplained({features, at})) {
        convict(std::move(features), 0, at);
    }
}

} // namespace guavafield
