// What a host knows of one upstream: its own attempts exactly, the work of others from lagging reports.
#pragma once

#include <guavafield/coordination/request/concurrency_limit.hpp>
#include <guavafield/coordination/request/decaying_sum.hpp>
#include <guavafield/coordination/request/outlier_detector.hpp>
#include <guavafield/coordination/request/request_entry.hpp>
#include <guavafield/state/configuration.hpp>

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace guavafield {

/*! @brief One upstream as this host sees it. */
struct UpstreamState
{
    Upstream upstream;
    // Same on all hosts.
    std::uint64_t idHash{0};
    // Live hosts that share the upstream; positive.
    std::uint32_t hosts{1};
    ConcurrencyLimit limit;
    OutlierDetector outlier;
    // Requests with an attempt here.
    std::vector<RequestEntry *> running;
    // Suspects among them.
    std::uint32_t suspects{0};
    // Set by a notice; ends with a new incarnation of the upstream.
    std::optional<SteadyTime> leavesAt;
    // Set when attempts fail at once or the process died; ends with a later report or a successful trial.
    std::optional<SteadyTime> downSince;
    std::uint32_t consecutiveFailures{0};
    LoadReport report;
    // When the figures of the report were true; empty before the first report.
    std::optional<SteadyTime> reportTime;
    // Requests of other hosts at that time.
    double othersAtReport{0};
    // Least seconds per token seen, for the latency signal of the limit; 0 before the first.
    double bestTokenSeconds{0};
    // Own attempts over time, oldest first, to subtract them from reports.
    std::deque<std::pair<SteadyTime, std::uint32_t>> history;

    // For upstreams of pools that queue by themselves.
    // When this life of the upstream was first seen.
    SteadyTime addedAt{};
    // Work of other hosts, by their latest messages.
    double peerWaitingTokens{0};
    double peerRunning{0};
    // Attempts that failed lately.
    DecayingSum failures{3};
    // Time to the first token over what was expected, at least 1; fades since slownessAt.
    double latencyRatio{1};
    SteadyTime latencyRatioTime{};

    [[nodiscard]] std::uint32_t outstanding() const noexcept
    {
        return static_cast<std::uint32_t>(running.size());
    }
    [[nodiscard]] bool leaving() const noexcept
    {
        return upstream.leaving || leavesAt.has_value();
    }
    /*! @brief Whether the upstream may get new work; leaving, crashed and ejected ones may not. */
    [[nodiscard]] bool usable() const noexcept
    {
        return !leaving() && !downSince && !outlier.ejected();
    }
    [[nodiscard]] bool hasFreeSlot() const noexcept
    {
        return outstanding() < limit.value();
    }

    /*! @brief Whether the upstream seems to have a free slot, counting the work of other hosts. */
    [[nodiscard]] bool likelyHasFreeSlot(SteadyTime now) const noexcept
    {
        return hasFreeSlot() && load(now) + 1 <= upstream.slots;
    }

    /*! @brief Gives no new work until a later report, a restart or a successful trial. */
    void markDown(SteadyTime now) noexcept;
    /*! @brief An attempt gave a token. */
    void markUp() noexcept;

    /*! @brief Returns own work plus that of other hosts, the latter discounted by the age of the report. */
    [[nodiscard]] double load(SteadyTime now) const noexcept;

    void addAttempt(RequestEntry &entry, SteadyTime now);
    void removeAttempt(RequestEntry &entry, SteadyTime now);
    void onReport(const LoadReport &fresh, SteadyTime now);
    void onTokenTime(double seconds) noexcept;
    /*! @brief Adapts the limit to the latency and to the slots that the last report left free. */
    void adaptLimit(SteadyTime now);

private:
    [[nodiscard]] std::uint32_t outstandingAt(SteadyTime time) const noexcept;
    void recordOutstanding(SteadyTime now);
};

} // namespace guavafield
