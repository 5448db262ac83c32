// Attribution of crashes to what their suspects have in common.
#include <guavafield/coordination/request/health/crash_evidence.hpp>
#include <guavafield/coordination/request/health/crash_times.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace guavafield {

namespace internal {

constexpr std::size_t momentsToConvict = 3;
// A part that stands above different others is in wide use, and refusing it costs more. A part with which answers have survived is less suspect.
constexpr std::size_t momentsToConvictCautiously = 4;
// A part that a verdict names has been suspected before, in company with others.
constexpr std::size_t momentsToNarrow = 2;
// A part under one request only may be as innocent as the request's other parts.
constexpr std::size_t requestsToConvictPart = 2;
// Of the crashes that the most suspect part explains, so many are enough for a more special one to be the cause.
constexpr double specialFraction = 0.6;
// Of the crashes for which a part is blamed, another part has to come with it in so many to be as suspect.
constexpr double companionFraction = 0.6;
// The same for a part of which no answer is known beside one with which answers have survived; several such parts may be at fault.
constexpr double unknownCompanionFraction = 0.3;
// Of the crashes that a verdict rests on, a later one has to explain so many to end it.
constexpr double explainedFraction = 0.3;
// A cause has a part in at least one of so many crashes.
constexpr std::size_t crashesPerExplained = 6;
// More crashes at one moment are one failure of the network.
constexpr std::size_t maxSeparateAtOnce = 4;
constexpr std::size_t maxCombination = 8;

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

} // namespace internal

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

std::set<CrashId> CrashEvidence::crashesUnder(std::span<const std::uint64_t> features) const
{
    std::set<CrashId> result;
    for (const auto &[id, crash] : m_crashes) {
        const bool isSuspect = std::ranges::any_of(crash.suspects, [features](const auto &it) { return it.holdsAll(features); });
        const bool survived = std::ranges::any_of(features, [this, at = crash.at](auto it) { return m_survivals.since(it, at); });
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
        for (const auto feature : it.features) {
            // The crashes until now are not held against it any more, and older verdicts of other hosts on it are not taken.
            if (!m_verdicts.names(feature)) {
                m_survivals.add(feature, now);
                m_decisions.emplace_back(CrashAcquittal{feature});
            }
        }
    }
}

} // namespace guavafield
