// Finds out which prompt part or which request crashes the upstreams that run it, from the crashes that all hosts see.
#pragma once

#include <guavafield/coordination/request/health/crash_log.hpp>
#include <guavafield/coordination/request/health/crash_observation.hpp>
#include <guavafield/coordination/request/health/crash_verdicts.hpp>
#include <guavafield/coordination/request/health/survival_log.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace guavafield {

/*!
 * @brief Compares the suspects of several crashes.
 *
 * An upstream may crash before it writes anything of the answer, or after its first events. So an answer is proof of soundness only once it has gone on
 * for a while or is complete, and until then a broken one is suspect.
 *
 * A part is convicted after crashes at several moments, under different requests, without an answer surviving with it since the first of them. Parts
 * that come with it in these crashes may be at fault in its place, so the verdict names them all, and a request is refused only if it holds all of
 * them. Requests with some of them go on: an answer that survives takes its parts out of the verdict, and crashes under such requests narrow it to what
 * they have in common. What a verdict explains is not held against the other suspects of the same crashes. A request is convicted by crashes that no
 * part explains. A verdict ends when answers have survived with each of its parts, or an answer to the request itself, or when a later verdict explains
 * its crashes and those that went on after it. Not thread-safe.
 */
class CrashEvidence
{
public:
    /*! @brief A crash with those of its suspects that the verdicts leave. */
    struct OpenCrash
    {
        SteadyTime at{};
        std::vector<const CrashSuspect *> suspects;
    };

    /*! @brief Duration of a verdict. */
    static constexpr Milliseconds retention{600'000};
    /*! @brief An answer that has gone on for this long since its first byte has not crashed its upstream. */
    static constexpr Milliseconds answerBeginning{2'000};

    /*!
     * @brief Records that an upstream's connection broke before or in the beginning of its answer to a request of this host.
     * @param upstreams Number of upstreams in the pool. If many of them break at once and no other answer survives, the fault is this host's or its
     * network's, and says nothing.
     */
    void onCrash(const CrashId &crash, const CrashSuspect &suspect, std::size_t upstreams, SteadyTime now);
    /*! @brief Records that an answer to a request of this host is complete, or got past its beginning. */
    void onSurvived(const CrashSuspect &suspect, SteadyTime now);

    /*! @brief Takes back what a crash said that was none, and the verdicts on its suspects since. */
    void refute(const CrashObservation &crash, SteadyTime now);

    /*! @brief Returns for how long a request is refused; empty if it is not. */
    [[nodiscard]] std::optional<Milliseconds> refusedFor(const CrashSuspect &suspect, SteadyTime now) const;

    /*! @brief Returns what this host has seen, for its reports; bounded in size. */
    [[nodiscard]] CrashKnowledge knowledge(SteadyTime now) const;
    /*! @brief Takes what another host has seen. */
    void merge(const CrashKnowledge &peer, SteadyTime now);
    /*! @brief Returns and clears the verdicts since the last call, and what was taken out of them. */
    [[nodiscard]] std::vector<CrashDecision> takeDecisions();

private:
    // What is held against a part or a request.
    struct Blame
    {
        // Of crashes.
        std::vector<SteadyTime> times;
        std::set<std::uint64_t> requests;
        // Crashes before the answer had begun.
        std::size_t beforeAnswer{0};
        // Position in the prompt; larger is more specific.
        std::size_t depth{0};
        // Another shared part follows it in some prompt.
        bool isGeneral{false};
    };
    using BlameMap = std::map<std::uint64_t, Blame>;

    void dropWidespreadFailure(std::size_t upstreams, SteadyTime now);
    void addOwnSurvival(std::uint64_t feature, SteadyTime now);
    // Returns whether the feature was taken out of a verdict.
    bool addSurvival(std::uint64_t feature, SteadyTime at);
    [[nodiscard]] bool isSuspected(std::uint64_t feature) const;
    // Returns the crashes that no verdict on parts explains.
    [[nodiscard]] std::vector<OpenCrash> openCrashes() const;
    // Returns the suspects that the verdicts leave: none if a convicted part explains the crash, else the convicted requests, else all.
    [[nodiscard]] std::vector<const CrashSuspect *> openSuspects(const LoggedCrash &crash) const;
    [[nodiscard]] BlameMap blameOfParts(std::span<const OpenCrash> crashes) const;
    [[nodiscard]] BlameMap blameOfRequests() const;
    // Returns whether the blame rests on a good part of all crashes since the first of its own. What stands beside others' crashes by chance does not.
    [[nodiscard]] bool explainsEnough(const Blame &blame) const;
    // Returns whether an answer with the part is known to have survived at any time.
    [[nodiscard]] bool hasHistory(std::uint64_t part) const;
    [[nodiscard]] std::size_t momentsToConvict(std::uint64_t part, const Blame &blame) const;
    // Returns the part and those that come with it in nearly all crashes for which it is blamed.
    [[nodiscard]] std::vector<std::uint64_t> combinationOf(std::uint64_t part, const Blame &blame, std::span<const OpenCrash> crashes) const;
    void evaluate(SteadyTime now);
    [[nodiscard]] bool convictPart(SteadyTime now);
    void convictRequests(SteadyTime now);
    void convict(std::vector<std::uint64_t> features, std::size_t crashes, SteadyTime at);
    // Returns the crashes with a suspect that holds all the features, and since which no answer has survived with one of them.
    [[nodiscard]] std::set<CrashId> crashesUnder(std::span<const std::uint64_t> features) const;
    // Returns whether the crashes that a verdict rests on have a later verdict's features in common as well, and crashes went on under these alone.
    [[nodiscard]] bool isExplained(const RefusedCombination &verdict) const;
    // Ends the verdicts that later ones explain.
    void releaseExplained(SteadyTime now);
    // Takes a verdict of another host.
    void takeVerdict(const CrashVerdict &verdict, SteadyTime now);

    // Of all hosts.
    CrashLog m_crashes;
    // Those of m_crashes that this host has seen, with its own suspects.
    CrashLog m_ownCrashes;
    // Crashes on this host say nothing until then, or until an answer survives.
    SteadyTime m_widespreadUntil{};
    // Of any answer on this host.
    SteadyTime m_lastOwnSurvival{};
    // Of answers on any host and on this one, with their parts and, where they have been suspected, the requests themselves.
    SurvivalLog m_survivals;
    SurvivalLog m_ownSurvivals;
    CrashVerdicts m_verdicts;
    // Features that were lately taken out of verdicts of this host or another; their survivals are reported.
    std::map<std::uint64_t, SteadyTime> m_acquitted;
    std::vector<CrashDecision> m_decisions;
};

} // namespace guavafield
