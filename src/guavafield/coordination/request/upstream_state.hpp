// A host's view of one upstream: its own attempts exactly, the work of other hosts from delayed reports.
#pragma once

#include <guavafield/coordination/request/decaying_sum.hpp>
#include <guavafield/coordination/request/health/outlier_detector.hpp>
#include <guavafield/coordination/request/limits/brittle_room.hpp>
#include <guavafield/coordination/request/limits/cold_phase.hpp>
#include <guavafield/coordination/request/limits/concurrency_limit.hpp>
#include <guavafield/coordination/request/limits/shared_rate_limit.hpp>
#include <guavafield/coordination/request/placement/slowdown_forecast.hpp>
#include <guavafield/coordination/request/request_entry.hpp>
#include <guavafield/state/configuration.hpp>

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace guavafield {

/*! @brief State of one upstream as seen by this host. */
struct UpstreamState
{
    Upstream upstream;
    // stableIdHash() of the id.
    std::uint64_t idHash{0};
    // Of its data centre; empty if it is not known.
    RegionId region;
    // Its data centre is evacuated.
    bool evacuated{false};
    // Number of live hosts that share the upstream; positive.
    std::uint32_t hosts{1};
    ConcurrencyLimit limit;
    OutlierDetector outlier;
    // Requests with an attempt on this upstream.
    std::vector<RequestEntry *> running;
    // Number of crash suspects among them.
    std::uint32_t suspects{0};
    // Set by a shutdown notice; reset by a new incarnation of the upstream.
    std::optional<SteadyTime> leavesAt;
    // The current incarnation announced in an answer that it leaves, whatever its entry says.
    bool drainAnnounced{false};
    // The current incarnation wants no requests before; reset by the first step after it.
    std::optional<SteadyTime> pausedUntil;
    // Set while the upstream limits its rate.
    std::optional<SharedRateLimit> rateLimit;
    ColdPhase cold;
    // Set while the upstream falls over under rejections.
    std::optional<BrittleRoom> room;
    // Set when attempts fail consecutively or the process died; reset by a later report or a successful probe.
    std::optional<SteadyTime> downSince;
    // Of a process that no longer listens at the address, as the one that does has said; its entry may stand for some time.
    Incarnation replacedIncarnation{0};
    // It is down since its connections failed, not its answers.
    bool linkLost{false};
    // When a part of an answer to an attempt of this host came last.
    SteadyTime answeredAt{};
    // When its last probe began.
    std::optional<SteadyTime> probedAt;
    // When the latest attempt was dispatched that the current incarnation has answered.
    SteadyTime answeredDispatch{};
    std::uint32_t consecutiveFailures{0};
    LoadReport report;
    // Measurement time of the report; empty before the first report.
    std::optional<SteadyTime> reportTime;
    // Requests of other hosts at the time of the report.
    double othersAtReport{0};
    // Lowest observed seconds per token, the reference for congestion detection; 0 before the first sample.
    double bestTokenSeconds{0};
    // Number of own attempts over time, oldest first; subtracted from reported load.
    std::deque<std::pair<SteadyTime, std::uint32_t>> history;

    // The following members are used for self-queueing pools only.
    // Position in the pool by hash, from 0 to 1; identical on all hosts.
    double rank{0};
    // When the current incarnation of the upstream was first seen.
    SteadyTime addedAt{};
    // Work of other hosts, from their latest reports.
    double peerWaitingTokens{0};
    double peerRunning{0};
    // Recently failed attempts.
    DecayingSum failures{3};
    // Ratio of observed to expected time to the first token, at least 1; decays towards 1 from latencyRatioTime on.
    double latencyRatio{1};
    SteadyTime latencyRatioTime{};
    // From what it reports of itself.
    SlowdownForecast slowdown;

    [[nodiscard]] std::uint32_t outstanding() const noexcept
    {
        return static_cast<std::uint32_t>(running.size());
    }
    [[nodiscard]] bool leaving() const noexcept
    {
        return upstream.leaving || leavesAt.has_value() || drainAnnounced;
    }
    /*! @brief Whether the upstream itself takes new work, be it a probe. */
    [[nodiscard]] bool accepting() const noexcept
    {
        return !leaving() && !pausedUntil && !evacuated;
    }
    /*! @brief Whether the upstream may receive new work, i.e. accepts it and is neither down nor ejected. */
    [[nodiscard]] bool usable() const noexcept
    {
        return accepting() && !downSince && !outlier.ejected();
    }
    /*! @brief Whether another process has taken the address, so that the software version there is not known. */
    [[nodiscard]] bool replaced() const noexcept
    {
        return replacedIncarnation != 0 && upstream.incarnation == replacedIncarnation;
    }
    /*! @brief Whether its rate limit and its cold phase allow this host a request of a priority now; 0 is the highest. */
    [[nodiscard]] bool withinRate(SteadyTime now, std::uint8_t priority = 0) const noexcept
    {
        return (!rateLimit || rateLimit->available(now)) && cold.available(now, priority);
    }
    /*! @brief Whether this host may send it a request now, if rejections bring it down. */
    [[nodiscard]] bool hasRoom(SteadyTime now) const noexcept
    {
        return !room || room->available(outstanding(), now);
    }
    [[nodiscard]] bool hasFreeSlot() const noexcept
    {
        return outstanding() < limit.value();
    }

    /*! @brief Whether the upstream is estimated to have a free slot, including the work of other hosts. */
    [[nodiscard]] bool likelyHasFreeSlot(SteadyTime now) const noexcept
    {
        return hasFreeSlot() && load(now) + 1 <= upstream.slots;
    }

    /*! @brief Marks the upstream as down until a later report, a restart or a successful probe. */
    void markDown(SteadyTime now) noexcept;
    /*! @brief Resets the failure count and ends the down state; called when an attempt succeeds or a restart is seen. */
    void markUp() noexcept;

    /*! @brief Returns the attempts of this host plus those of other hosts, the latter discounted by the age of the report. */
    [[nodiscard]] double load(SteadyTime now) const noexcept;

    void addAttempt(RequestEntry &entry, SteadyTime now);
    void removeAttempt(RequestEntry &entry, SteadyTime now);
    void onReport(const LoadReport &fresh, SteadyTime now);
    void onTokenTime(double seconds) noexcept;
    /*! @brief Adapts the limit to the token latency and to the free slots of the last report. */
    void adaptLimit(SteadyTime now);

private:
    [[nodiscard]] std::uint32_t outstandingAt(SteadyTime time) const noexcept;
    void recordOutstanding(SteadyTime now);
};

} // namespace guavafield
