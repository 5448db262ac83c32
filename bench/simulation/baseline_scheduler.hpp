// Baseline schedulers without prediction. Each combines a queueing discipline with a routing rule.
#pragma once

#include <bench/simulation/random.hpp>
#include <guavafield/coordination/request/scheduler/request_scheduler.hpp>

#include <map>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace guavafield::bench {

/*! @brief Queueing discipline: first come, first served. */
struct FifoOrder
{
};
/*! @brief Queueing discipline: strict priority by tier. */
struct TierOrder
{
};
/*! @brief Queueing discipline: start-time fair queueing of teams weighted by share, regardless of tier. */
struct WeightedFairOrder
{
    // Earliest virtual start time of each team's next request.
    std::map<std::string, double, std::less<>> nextStart;
    double virtualTime{0};
};
using BaselineQueue = std::variant<FifoOrder, TierOrder, WeightedFairOrder>;

/*! @brief Routes to the upstreams in turn. */
struct RoundRobinRouter
{
    std::size_t next{0};
};
/*! @brief Routes to the upstream with the fewest outstanding requests of this host. */
struct LeastOutstandingRouter
{
};
/*! @brief Routes to the less loaded of two random upstreams, according to their last load reports. */
struct TwoChoicesRouter
{
    Random random;
};
using BaselineRouter = std::variant<RoundRobinRouter, LeastOutstandingRouter, TwoChoicesRouter>;

/*! @brief A scheduler with the interface of RequestScheduler, but without admission control or prediction. */
class BaselineScheduler
{
public:
    /*!
     * @param queueAtHost Keep requests in the host's queue while the host's share of the slots is in use.
     */
    BaselineScheduler(SchedulerSettings settings, BaselineQueue queue, BaselineRouter router, bool queueAtHost);

    void applyConfiguration(const Configuration &configuration, SteadyTime now);
    void setHostsInDataCentre(std::uint32_t hosts, SteadyTime now, std::uint32_t hostIndex);
    [[nodiscard]] Admission submit(RequestInfo request, SteadyTime now);
    [[nodiscard]] std::vector<SchedulerAction> step(SteadyTime now);
    [[nodiscard]] std::optional<SteadyTime> nextWakeup() const
    {
        return std::nullopt;
    }
    [[nodiscard]] static bool onFirstToken(std::string_view /*request*/, std::string_view /*upstream*/, SteadyTime /*now*/)
    {
        return true;
    }
    void onTokens(std::string_view /*request*/, std::uint32_t /*count*/, SteadyTime /*now*/) { }
    [[nodiscard]] AttemptResolution onAttemptEnded(std::string_view request, std::string_view upstream, const AttemptEnd &end, SteadyTime now);
    void cancel(std::string_view request, SteadyTime now);
    void onLoadReport(std::string_view upstream, const LoadReport &report, SteadyTime now);
    void onCacheEvents(std::string_view /*upstream*/, std::span<const CacheEvent> /*events*/, SteadyTime /*now*/) { }
    void onUpstreamLeaving(std::string_view upstream, Milliseconds notice, SteadyTime now);
    void onPeerDemand(std::string_view /*host*/, std::span<const TeamDemand> /*demand*/, Milliseconds /*age*/, SteadyTime /*now*/) { }
    [[nodiscard]] std::vector<TeamDemand> localDemand(std::size_t /*limit*/, SteadyTime /*now*/) const
    {
        return {};
    }
    void onCrashRecord(const CrashRecord & /*record*/, SteadyTime /*now*/) { }
    [[nodiscard]] std::vector<CrashRecord> crashRecords(SteadyTime /*now*/) const
    {
        return {};
    }

private:
    using QueueKey = std::tuple<double, std::uint64_t>;

    struct UpstreamState
    {
        Upstream upstream;
        std::uint32_t outstanding{0};
        std::uint32_t reported{0};
    };
    struct RequestState
    {
        RequestInfo info;
        QueueKey key{};
        std::uint32_t attempts{0};
        std::string upstream;
    };

    [[nodiscard]] double queueRank(const RequestInfo &request);
    [[nodiscard]] UpstreamState *route();
    [[nodiscard]] bool canDispatchTo(const UpstreamState &upstream) const;
    void enqueue(RequestState &request);
    void releaseAttempt(RequestState &request);

    SchedulerSettings m_settings;
    BaselineQueue m_queue;
    BaselineRouter m_router;
    bool m_queueAtHost;
    std::uint64_t m_sequence{0};
    std::vector<UpstreamState> m_upstreams;
    std::map<std::string, RequestState, std::less<>> m_requests;
    std::set<std::pair<QueueKey, std::string>> m_waiting;
};

} // namespace guavafield::bench
