// Common policies without prediction, to compare with: an order of service and a router in one frame.
#pragma once

#include <bench/simulation/random.hpp>
#include <guavafield/coordination/request/request_scheduler.hpp>

#include <map>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace guavafield::bench {

/*! @brief Order of service: first come, first served. */
struct FifoOrder
{
};
/*! @brief Order of service: strict priority by tier. */
struct TierOrder
{
};
/*! @brief Order of service: start-time fair queueing over teams by share, whatever the tier. */
struct WeightedFairOrder
{
    // Virtual time at which the team's next request starts.
    std::map<std::string, double, std::less<>> nextStart;
    double virtualTime{0};
};
using BaselineQueue = std::variant<FifoOrder, TierOrder, WeightedFairOrder>;

/*! @brief Upstreams in turn. */
struct RoundRobinRouter
{
    std::size_t next{0};
};
/*! @brief The upstream with the least outstanding work of this host. */
struct LeastOutstandingRouter
{
};
/*! @brief The less loaded of two random upstreams by their last report. */
struct TwoChoicesRouter
{
    Random random;
};
using BaselineRouter = std::variant<RoundRobinRouter, LeastOutstandingRouter, TwoChoicesRouter>;

/*! @brief A scheduler with the functions of RequestScheduler and neither admission nor prediction. */
class BaselineScheduler
{
public:
    /*!
     * @param queueAtHost Keep requests in the host's queue while the host's part of all slots is taken.
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
    void onFirstToken(std::string_view /*request*/, std::string_view /*upstream*/, SteadyTime /*now*/) { }
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
