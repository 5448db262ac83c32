// Chooses the upstream for a request of a self-queueing pool, whose upstreams queue by priority themselves.
#pragma once

#include <guavafield/coordination/request/placement/prefix_index.hpp>
#include <guavafield/coordination/request/placement/router.hpp>
#include <guavafield/coordination/request/placement/stream_isolation.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace guavafield {

/*! @brief Returns a hash of an id that is identical on all hosts; identifies upstreams, teams and hosts in peer messages. */
[[nodiscard]] std::uint64_t stableIdHash(std::string_view id) noexcept;

/*! @brief Work of another host at an upstream, from its latest report. */
struct PeerWork
{
    // stableIdHash() of the upstream.
    std::uint64_t upstream{0};
    // Prompt tokens of requests that have not received their first token.
    std::uint32_t waitingTokens{0};
    std::uint32_t running{0};
};

/*! @brief Load of a pool across all hosts, from their latest reports. */
struct PoolLoad
{
    std::uint32_t upstreams{0};
    // Time the pool needs to prefill all waiting prompts if the load is spread evenly over its upstreams.
    double queueSeconds{0};
    double running{0};
};

/*! @brief Upstream chosen for a request, with the expected time to the first token. */
struct PlacementDecision
{
    // Null if no upstream accepts the request now.
    UpstreamState *upstream{nullptr};
    // Upstream to copy the prefix from; null if no copy is needed.
    const UpstreamState *fetchFrom{nullptr};
    // Expected time to the first token.
    double seconds{0};
    // The part of it for which the request waits behind others at the upstream.
    double queueSeconds{0};
    // Prompt tokens that the upstream is expected to prefill.
    double tokens{0};
    // Factor on the time that work takes at the upstream now.
    double slowdown{1};
};

/*!
 * @brief Chooses upstreams by queueing delay and by the prompt tokens that have to be prefilled again.
 *
 * All hosts derive the same owner of a prefix by rendezvous hashing, so that a prefix is prefilled once in the fleet.
 * Another upstream is chosen when the owner's backlog costs more than copying the prefix.
 */
class Placement
{
public:
    /*!
     * @param localDataCentre Upstreams in other data centres incur a small penalty.
     * @param engine Parameters of the pool's engines; empty for plain services.
     */
    Placement(DataCentreId localDataCentre, std::optional<EngineFacts> engine);

    /*! @brief Returns the best upstream not yet tried by the request; the index lists the prefixes sent by this host. */
    [[nodiscard]] PlacementDecision choose(const PoolUpstreams &upstreams, const PrefixIndex &prefixes, const RequestEntry &entry, SteadyTime now) const;
    /*! @brief Takes an upstream's report of its own load. */
    void onLoadReport(UpstreamState &upstream, const LoadReport &report, SteadyTime now) noexcept;
    /*! @brief Updates the learned rates with the time to the first token of an attempt. */
    void onFirstToken(const RequestEntry &entry, UpstreamState &upstream, double seconds, SteadyTime now);

    /*! @brief Records that a request was sent to an engine. */
    void onDispatch(const RequestEntry &entry, SteadyTime now);
    /*! @brief Records the end of an attempt that was dispatched at the given time. */
    void onEnded(const RequestEntry &entry, const UpstreamState &upstream, SteadyTime dispatched, SteadyTime now);
    /*! @brief Records the time between two events of a stream. */
    void onPause(double seconds) noexcept
    {
        m_isolation.onPause(seconds);
    }

    [[nodiscard]] StreamIsolation &isolation() noexcept
    {
        return m_isolation;
    }
    [[nodiscard]] const StreamIsolation &isolation() const noexcept
    {
        return m_isolation;
    }

    /*! @brief Returns the learned prefill rate of an engine in tokens per second. */
    [[nodiscard]] double tokensPerSecond() const noexcept
    {
        return m_tokensPerSecond;
    }

private:
    // Longest prefix of a request, with its assumed holder and its owner.
    struct Prefix
    {
        std::uint64_t hash{0};
        double tokens{0};
        // Upstream assumed to hold the whole prefix, of those that may run the request; null if there is none or no prefix.
        const UpstreamState *holder{nullptr};
        // Owner of the prefix among the usable upstreams that may run the request.
        const UpstreamState *owner{nullptr};
    };

    [[nodiscard]] Prefix findPrefix(const PoolUpstreams &upstreams, const RequestEntry &entry, const EngineRange &range, SteadyTime now) const;
    // Effect of other requests at an upstream on a new one, in seconds.
    struct Contention
    {
        // It begins so much later.
        double queue{0};
        // It takes so much longer.
        double slowdown{0};
    };

    // Returns the requests that run or wait at the upstream, with those of other hosts from the newest of its own and their reports.
    [[nodiscard]] static double occupancy(const UpstreamState &upstream, SteadyTime now);
    [[nodiscard]] Contention contention(const UpstreamState &upstream, const RequestEntry &entry, SteadyTime now) const;
    // Returns the learned service time of a kind of request of a plain service.
    [[nodiscard]] double serviceSeconds(const std::string &kind) const;
    void learnServiceTime(const std::string &kind, double seconds);
    // Returns an upstream to which this host has sent more of the prefix, or null. An unneeded fetch from it costs nothing.
    [[nodiscard]] static const UpstreamState *
    fetchSourceFor(const UpstreamState &upstream, double confirmedTokens, const PrefixIndex &prefixes, const RequestEntry &entry);
    [[nodiscard]] static double indexedPrefixTokens(const UpstreamState &upstream, const PrefixIndex &prefixes, const RequestEntry &entry);

    DataCentreId m_local;
    std::optional<EngineFacts> m_engine;
    double m_tokensPerSecond;
    // Learned service time of a request of a plain service: of all requests, among which a new one waits, and by kind.
    double m_serviceSeconds;
    StringMap<double> m_serviceSecondsByKind;
    // Learned mean of the uncached prompt tokens of a request.
    double m_meanTokens;
    SlowdownPersistence m_slowdowns;
    StreamIsolation m_isolation;
};

/*! @brief Returns the rendezvous weight of a prefix at an upstream, identical on all hosts; the highest weight is the owner's. */
[[nodiscard]] std::uint64_t rendezvousWeight(std::uint64_t prefix, std::uint64_t upstream) noexcept;

} // namespace guavafield
