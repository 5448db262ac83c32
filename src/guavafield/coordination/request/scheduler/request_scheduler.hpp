// Request scheduling: admission, queueing, routing, retries and preemption. Performs no I/O; the time is passed in.
#pragma once

#include <guavafield/coordination/request/health/connection_probes.hpp>
#include <guavafield/coordination/request/health/crash_evidence.hpp>
#include <guavafield/coordination/request/placement/placement.hpp>
#include <guavafield/coordination/request/request_info.hpp>
#include <guavafield/state/configuration.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Construction parameters of a scheduler. */
struct SchedulerSettings
{
    DataCentreId dataCentre;
    // Number of live hosts in the data centre; positive.
    std::uint32_t hostsInDataCentre{1};
    // Seed for all random choices.
    std::uint64_t seed{1};
    // Region of each data centre, as far as it is known.
    StringMap<RegionId> regions{};
};

/*! @brief An upstream that is probed by a new connection. */
struct ProbeTarget
{
    UpstreamId upstream;
    std::string address;
    std::uint16_t port{0};
    // Of its process as its entry names it; 0 if it doesn't.
    Incarnation incarnation{0};
};

/*!
 * @brief Decides which request runs next and on which upstream.
 *
 * Not thread-safe; callers serialize access. The passed time must not decrease between calls.
 */
class RequestScheduler
{
public:
    explicit RequestScheduler(SchedulerSettings settings);
    ~RequestScheduler();
    RequestScheduler(const RequestScheduler &) = delete;
    RequestScheduler &operator=(const RequestScheduler &) = delete;

    /*! @brief Applies the upstreams, models and teams of a configuration. */
    void applyConfiguration(const Configuration &configuration, SteadyTime now);
    /*!
     * @brief Sets the number of live hosts of the data centre.
     * @param hosts Positive.
     * @param hostIndex Index of this host in the sorted list of hosts; used to divide slots and upstreams for crash suspects.
     */
    void setHostsInDataCentre(std::uint32_t hosts, SteadyTime now, std::uint32_t hostIndex = 0);

    /*!
     * @brief Sets the number of live hosts of all data centres; they share the retry budget and the rate limits of self-queueing pools.
     * @param hostIndex Index of this host in the sorted list of hosts.
     */
    void setFleetHosts(std::uint32_t hosts, std::uint32_t hostIndex, SteadyTime now);
    /*!
     * @brief Sets the number of hosts that may send requests, also those that this host does not hear now; they share the rate of cold upstreams.
     * @param hostIndex Index of this host in the sorted list of these hosts.
     */
    void setRememberedHosts(std::uint32_t hosts, std::uint32_t hostIndex, SteadyTime now);
    /*! @brief Sets the difference between the clock that all hosts agree on and the steady clock; hosts take turns by it. */
    void setFleetClock(std::chrono::nanoseconds offset, SteadyTime now);

    /*!
     * @brief Admits a request to the queue or refuses it.
     * @param request The request; its id must not be in use.
     * @return Queued, or the refusal with its cause.
     */
    [[nodiscard]] Admission submit(RequestInfo request, SteadyTime now);

    /*! @brief Returns the actions to perform now; call after each event and at nextWakeup(). */
    [[nodiscard]] std::vector<SchedulerAction> step(SteadyTime now);
    /*! @brief Returns the latest time for the next call of step(); empty if it need not be called before the next event. */
    [[nodiscard]] std::optional<SteadyTime> nextWakeup() const;

    /*!
     * @brief Handles the first token of an attempt; to be called before the caller gets any of it.
     * @returns Whether the caller may get the output; otherwise the attempt is no longer the request's or does not fit what the caller has.
     */
    [[nodiscard]] bool onFirstToken(std::string_view request, std::string_view upstream, SteadyTime now);
    /*! @brief Handles the arrival of output tokens. */
    void onTokens(std::string_view request, std::uint32_t count, SteadyTime now);
    /*! @brief Handles the statement of the process at which an attempt runs that it is the one which the upstream's entry named at the dispatch. */
    void onProcessIdentified(std::string_view request, std::string_view upstream);
    /*! @brief Handles the statement of a new process at the upstream's address: streams wait for its entry, as its software version is not known. */
    void onProcessReplaced(std::string_view upstream, Incarnation listed, SteadyTime now);
    /*! @brief Handles the statement of the process at the upstream's address that it is the one which the entry names. */
    void onProcessListed(std::string_view upstream, Incarnation listed);
    /*! @brief Handles the end of an attempt; returns whether the request has ended as well. */
    [[nodiscard]] AttemptResolution onAttemptEnded(std::string_view request, std::string_view upstream, const AttemptEnd &end, SteadyTime now);
    /*! @brief Returns whether a request that runs in a self-queueing pool could be retried on another upstream now. */
    [[nodiscard]] bool mayMove(std::string_view request, SteadyTime now);
    /*! @brief Removes a request whose caller disconnected. */
    void cancel(std::string_view request, SteadyTime now);

    void onLoadReport(std::string_view upstream, const LoadReport &report, SteadyTime now);
    void onCacheEvents(std::string_view upstream, std::span<const CacheEvent> events, SteadyTime now);
    /*! @brief Handles an upstream's shutdown notice: it gets no new work and unfinished requests are migrated. */
    void onUpstreamLeaving(std::string_view upstream, Milliseconds notice, SteadyTime now);

    /*! @brief Handles an upstream's announcement in an answer that it leaves: this incarnation gets no new work. Returns whether that is new. */
    [[nodiscard]] bool onDrainAnnounced(std::string_view upstream, SteadyTime now);
    /*! @brief Handles an upstream's statement that its caches are cold for a time. */
    void onCold(std::string_view upstream, Milliseconds duration, SteadyTime now);
    /*! @brief Handles a refusal by which an upstream asks for a pause: this incarnation gets no request from this host meanwhile. */
    void onPauseRequested(std::string_view upstream, Milliseconds pause, SteadyTime now);

    /*!
     * @brief Handles what an answer says of the upstream's rate limit, which holds for all hosts together; returns whether the limit changed.
     * @param perSecond unlimitedRate if the answer named no limit.
     * @param statedAt When the answer arrived; when its request was sent if it named no limit.
     */
    [[nodiscard]] bool onRateLimit(std::string_view upstream, double perSecond, SteadyTime statedAt, SteadyTime now);

    /*! @brief Does the same for the rejections a second after which the upstream falls over. */
    [[nodiscard]] bool onRejectionLimit(std::string_view upstream, double perSecond, SteadyTime statedAt, SteadyTime now);

    /*! @brief Returns the changes of rate limits that this host found, for reports to peers. */
    [[nodiscard]] std::vector<RateLimitObservation> rateLimitNews(SteadyTime now) const;
    /*! @brief Takes the changes of rate limits that a peer found. */
    void onPeerRateLimits(std::span<const RateLimitObservation> limits, SteadyTime now);

    /*! @brief Applies the service rates reported by a peer; age is the time since their measurement. */
    void onPeerDemand(std::string_view host, std::span<const TeamDemand> demand, Milliseconds age, SteadyTime now);
    /*! @brief Returns the teams with the highest service rates on this host in descending order. */
    [[nodiscard]] std::vector<TeamDemand> localDemand(std::size_t limit, SteadyTime now) const;

    /*! @brief Replaces a peer's reported work at upstreams of self-queueing pools. */
    void onPeerWork(std::string_view host, std::span<const PeerWork> work, std::span<const EngineDemand> demand, SteadyTime now);
    /*! @brief Returns the recent demand of this host on the engines of each pool, for reports to peers. */
    [[nodiscard]] std::vector<EngineDemand> engineDemand(SteadyTime now) const;
    /*! @brief Returns this host's work at upstreams of self-queueing pools, to be reported to peers. */
    [[nodiscard]] std::vector<PeerWork> localWork() const;

    /*! @brief Returns the pools of which this host reaches no upstream, by stableIdHash() of their ids, in ascending order. */
    [[nodiscard]] std::vector<std::uint64_t> unreachablePools(SteadyTime now) const;
    /*! @brief Returns the hosts to which requests of such pools are relayed. */
    [[nodiscard]] RelayTargets &relayTargets() noexcept;

    /*! @brief Returns the load of each self-queueing pool across all hosts. */
    [[nodiscard]] StringMap<PoolLoad> poolLoads() const;

    /*! @brief Returns the evidence of crashes in self-queueing pools, which hosts exchange. */
    [[nodiscard]] CrashEvidence &crashEvidence() noexcept;

    /*! @brief Takes the crashes that a peer reports; those of processes that this host reaches are refuted. */
    void onPeerCrashes(CrashKnowledge knowledge, SteadyTime now);

    /*! @brief Returns the upstreams to which a connection is to be opened now; the result of each is told by onProbe(). */
    [[nodiscard]] std::vector<ProbeTarget> dueProbes(SteadyTime now);
    void onProbe(std::string_view upstream, ProbeResult result, SteadyTime now);

    void onCrashRecord(const CrashRecord &record, SteadyTime now);
    /*! @brief Returns the active crash records, newest first. */
    [[nodiscard]] std::vector<CrashRecord> crashRecords(SteadyTime now) const;

    [[nodiscard]] std::size_t queued() const noexcept;
    [[nodiscard]] std::size_t running() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace guavafield
