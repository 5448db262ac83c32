// Chooses the upstream for a request of a pool whose upstreams queue by priority themselves.
#pragma once

#include <guavafield/coordination/request/prefix_index.hpp>
#include <guavafield/coordination/request/router.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace guavafield {

/*! @brief Returns the number by which hosts name an upstream, or another id, to each other. */
[[nodiscard]] std::uint64_t stableIdHash(std::string_view id) noexcept;

/*! @brief Work of other hosts at an upstream, as they told last. */
struct PeerWork
{
    // stableIdHash() of the upstream.
    std::uint64_t upstream{0};
    // Prompt tokens of requests that wait for their first token.
    std::uint32_t waitingTokens{0};
    std::uint32_t running{0};
};

/*! @brief Load of a pool over all hosts, as far as they told. */
struct PoolLoad
{
    std::uint32_t upstreams{0};
    // Time in which the pool would read the prompts that wait, all upstreams working evenly.
    double queueSeconds{0};
    double running{0};
};

/*! @brief Where a request goes. */
struct PlacementDecision
{
    // Null if no upstream takes the request now.
    UpstreamState *upstream{nullptr};
    // Copies its prefix from there, unless null.
    const UpstreamState *fetchFrom{nullptr};
    // Expected time to the first token.
    double seconds{0};
    // Prompt tokens that the upstream is expected to read.
    double tokens{0};
};

/*!
 * @brief Weighs the wait at each upstream against the prompt tokens that it would have to read again.
 *
 * All hosts take the same upstream for the owner of a prefix, by rendezvous hashing, so that a prefix is read once in
 * the fleet. Another upstream is chosen when the owner's backlog costs more than a copy of the prefix.
 */
class Placement
{
public:
    /*!
     * @param localDataCentre Upstreams elsewhere cost a little more.
     * @param engine Facts of the pool's engines; empty for plain services.
     */
    Placement(DataCentreId localDataCentre, std::optional<EngineFacts> engine);

    /*! @brief Returns the best upstream that the request has not tried; its index tells what this host has sent where. */
    [[nodiscard]] PlacementDecision choose(const PoolUpstreams &upstreams, const PrefixIndex &prefixes, const RequestEntry &entry, SteadyTime now) const;
    /*! @brief Learns from the first token of an attempt that took this long. */
    void onFirstToken(const RequestEntry &entry, UpstreamState &upstream, double seconds, SteadyTime now);

    /*! @brief Prompt tokens that an engine reads in a second, as learnt. */
    [[nodiscard]] double tokensPerSecond() const noexcept
    {
        return m_tokensPerSecond;
    }

private:
    // What is believed of a request's prefix before the upstreams are compared.
    struct Prefix
    {
        std::uint64_t hash{0};
        double tokens{0};
        // Is taken to hold the whole prefix; null if the request has none.
        const UpstreamState *holder{nullptr};
        // Would hold it among the upstreams that take work.
        const UpstreamState *owner{nullptr};
    };

    [[nodiscard]] Prefix findPrefix(const PoolUpstreams &upstreams, const RequestEntry &entry, SteadyTime now) const;
    [[nodiscard]] double waitSeconds(const UpstreamState &upstream, const RequestEntry &entry, SteadyTime now) const;
    // An upstream that this host has sent more of the prefix to; a copy from there costs nothing if it is not needed.
    [[nodiscard]] static const UpstreamState *
    sourceFor(const UpstreamState &upstream, double confirmed, const PrefixIndex &prefixes, const RequestEntry &entry);
    [[nodiscard]] static double heldTokens(const UpstreamState &upstream, const PrefixIndex &prefixes, const RequestEntry &entry);

    DataCentreId m_local;
    std::optional<EngineFacts> m_engine;
    double m_tokensPerSecond;
    // Learnt time of a request of a plain service.
    double m_serviceSeconds;
    // Learnt prompt tokens of a request beyond what is cached.
    double m_meanTokens;
};

/*! @brief Weight of a prefix at an upstream; the upstream with the largest one owns it. The same on all hosts. */
[[nodiscard]] std::uint64_t rendezvousWeight(std::uint64_t prefix, std::uint64_t upstream) noexcept;

} // namespace guavafield
