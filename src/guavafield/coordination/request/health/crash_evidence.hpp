// Finds out which prompt part or which request crashes the upstreams that run it, from the crashes that all hosts see.
#pragma once

#include <guavafield/coordination/request/health/crash_log.hpp>
#include <guavafield/coordination/request/health/crash_observation.hpp>
#include <guavafield/coordination/request/health/survival_log.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace guavafield {

/*!
 * @brief Compares the suspects of several crashes.
 *
 * An upstream may crash before it writes anything of the answer, or after its first events. So an answer is proof of soundness only once it has gone on
 * for a while or is complete, and until then a broken one is suspect.
 *
 * A part is convicted after crashes at several moments, under different requests, without an answer surviving with it since the first of them. What
 * it explains is not held against the other suspects of the same crashes. A request is convicted by crashes that no part explains. A verdict ends when
 * an answer to a request with the part, or to the request itself, survives after all. Not thread-safe.
 */
class CrashEvidence
{
public:
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
    /*! @brief Returns and clears the parts and requests convicted since the last call. */
    [[nodiscard]] std::vector<CrashConviction> takeConvicted();

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
    void addSurvival(std::uint64_t feature, SteadyTime at);
    [[nodiscard]] bool isSuspected(std::uint64_t feature) const;
    // Returns the suspects that the verdicts leave: none if a convicted part explains the crash, else the convicted requests, else all.
    [[nodiscard]] std::vector<const CrashSuspect *> openSuspects(const LoggedCrash &crash) const;
    [[nodiscard]] BlameMap blameOfParts() const;
    [[nodiscard]] BlameMap blameOfRequests() const;
    // Returns whether the blame rests on a good part of all crashes since the first of its own. What stands beside others' crashes by chance does not.
    [[nodiscard]] bool explainsEnough(const Blame &blame) const;
    void evaluate(SteadyTime now);
    [[nodiscard]] bool convictPart(SteadyTime now);
    void convictRequests(SteadyTime now);
    void convict(std::uint64_t feature, std::size_t crashes, SteadyTime at);

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
    // When a part or a request was convicted.
    std::map<std::uint64_t, SteadyTime> m_verdicts;
    // Features whose verdicts were taken back lately; reported as survivals.
    std::map<std::uint64_t, SteadyTime> m_acquitted;
    std::vector<CrashConviction> m_convicted;
};

} // namespace guavafield
