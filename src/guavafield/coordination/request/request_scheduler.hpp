// The decisions on a request: admission, order of service, routing, retries and preemption, over values and a passed-in time.
#pragma once

#include <guavafield/coordination/request/placement.hpp>
#include <guavafield/coordination/request/request_info.hpp>
#include <guavafield/state/configuration.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief What a scheduler is created with. */
struct SchedulerSettings
{
    DataCentreId dataCentre;
    // Live hosts of the data centre; positive.
    std::uint32_t hostsInDataCentre{1};
    // Seed of all random choices.
    std::uint64_t seed{1};
};

/*!
 * @brief Decides which request runs next and where.
 *
 * Not safe for several threads; its owner serializes the calls. Time never goes back between calls.
 */
class RequestScheduler
{
public:
    explicit RequestScheduler(SchedulerSettings settings);
    ~RequestScheduler();
    RequestScheduler(const RequestScheduler &) = delete;
    RequestScheduler &operator=(const RequestScheduler &) = delete;

    /*! @brief Takes upstreams, models and shares from a configuration. */
    void applyConfiguration(const Configuration &configuration, SteadyTime now);
    /*!
     * @brief Sets the number of live hosts of the data centre.
     * @param hosts Positive.
     * @param hostIndex Place of this host in the sorted list of them; divides slots and crash suspects without overlap.
     */
    void setHostsInDataCentre(std::uint32_t hosts, SteadyTime now, std::uint32_t hostIndex = 0);

    /*! @brief Sets the number of live hosts of all data centres, which share the retries of self-queueing pools. */
    void setFleetHosts(std::uint32_t hosts);

    /*!
     * @brief Admits a request to the queue or refuses it.
     * @param request The request; its id is not in use.
     * @return Queued, or the refusal with its cause.
     */
    [[nodiscard]] Admission submit(RequestInfo request, SteadyTime now);

    /*! @brief Returns what to do now; call after each event and at nextWakeup(). */
    [[nodiscard]] std::vector<SchedulerAction> step(SteadyTime now);
    /*! @brief Returns when step() has to be called at the latest; empty if only an event matters. */
    [[nodiscard]] std::optional<SteadyTime> nextWakeup() const;

    /*! @brief The first token of an attempt arrived. */
    void onFirstToken(std::string_view request, std::string_view upstream, SteadyTime now);
    /*! @brief More output tokens arrived. */
    void onTokens(std::string_view request, std::uint32_t count, SteadyTime now);
    /*! @brief An attempt ended; the verdict says whether the request is over. */
    [[nodiscard]] AttemptResolution onAttemptEnded(std::string_view request, std::string_view upstream, const AttemptEnd &end, SteadyTime now);
    /*! @brief The caller went away while the request was queued. */
    void cancel(std::string_view request, SteadyTime now);

    void onLoadReport(std::string_view upstream, const LoadReport &report, SteadyTime now);
    void onCacheEvents(std::string_view upstream, std::span<const CacheEvent> events, SteadyTime now);
    /*! @brief An upstream will go away; it gets no new work and unfinished work is moved. */
    void onUpstreamLeaving(std::string_view upstream, Milliseconds notice, SteadyTime now);

    /*! @brief Takes a peer's figures; age is the time since the peer measured them. */
    void onPeerDemand(std::string_view host, std::span<const TeamDemand> demand, Milliseconds age, SteadyTime now);
    /*! @brief Returns this host's busiest teams, busiest first. */
    [[nodiscard]] std::vector<TeamDemand> localDemand(std::size_t limit, SteadyTime now) const;

    /*! @brief Replaces what a peer told of its work at upstreams of self-queueing pools. */
    void onPeerWork(std::string_view host, std::span<const PeerWork> work, SteadyTime now);
    /*! @brief Returns this host's work at upstreams of self-queueing pools, for its peers. */
    [[nodiscard]] std::vector<PeerWork> localWork() const;

    /*! @brief Returns the load of the self-queueing pools over all hosts, by pool. */
    [[nodiscard]] StringMap<PoolLoad> poolLoads() const;

    /*! @brief A peer saw a request of this fingerprint break the connection to an upstream of a self-queueing pool. */
    void onPeerCrash(const Digest &fingerprint, SteadyTime now);
    /*! @brief Returns the fingerprints that did so on this host since the last call. */
    [[nodiscard]] std::vector<Digest> takeCrashes();

    void onCrashRecord(const CrashRecord &record, SteadyTime now);
    /*! @brief Returns the crash records in force, newest first. */
    [[nodiscard]] std::vector<CrashRecord> crashRecords(SteadyTime now) const;

    [[nodiscard]] std::size_t queued() const noexcept;
    [[nodiscard]] std::size_t running() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace guavafield
