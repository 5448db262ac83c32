// Other hosts that can serve the requests of a pool whose upstreams this host does not reach.
#pragma once

#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/coordination/request/split_mix.hpp>
#include <guavafield/state/home_regions.hpp>
#include <guavafield/state/types.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief What a host says of itself as a receiver of relayed requests. */
struct RelayCandidate
{
    DataCentreId dataCentre;
    // Of the data centre; empty if it is not known.
    RegionId region;
    // Where it listens for callers; port 0 if it does not say.
    PeerAddress callers;
    // stableIdHash() of the pools of which it reaches no upstream.
    std::vector<std::uint64_t> unreachablePools;
    // Requests that it runs at upstreams.
    std::uint32_t running{0};
};

/*! @brief A host to which a request is relayed. */
struct RelayTarget
{
    HostId host;
    PeerAddress callers;
    // Age of the report on which the choice rests.
    Milliseconds reportAge{0};
};

/*!
 * @brief Chooses the host for each relayed request from the latest reports of all hosts.
 *
 * Requests are spread by load over the hosts of all data centres, as the few that are left may have to carry the traffic of many. Not thread-safe.
 */
class RelayTargets
{
public:
    RelayTargets(DataCentreId localDataCentre, std::uint64_t seed);

    /*! @brief Takes a host's latest report. */
    void onReport(std::string_view host, RelayCandidate candidate, SteadyTime now);
    /*! @brief Forgets a host that stops or is dead. */
    void erase(std::string_view host);
    /*! @brief Sets the age at which a report no longer counts. */
    void setReportTtl(Milliseconds ttl) noexcept
    {
        m_reportTtl = ttl;
    }

    /*!
     * @brief Returns the host for one more request; empty if there is no host.
     * @param pool stableIdHash() of the pool.
     * @param homes Regions of which the host may be.
     * @param tried Hosts that did not serve the request.
     */
    [[nodiscard]] std::optional<RelayTarget> choose(std::uint64_t pool, const HomeRegions &homes, std::span<const HostId> tried, SteadyTime now);
    /*! @brief Counts a request at its host until onEnded(). */
    void onStarted(std::string_view host) noexcept;
    void onEnded(std::string_view host) noexcept;
    /*! @brief Notes that a host could not be reached; it is not chosen for a while. */
    void onUnreachable(std::string_view host, SteadyTime now);

private:
    struct Host
    {
        RelayCandidate candidate;
        SteadyTime reportedAt{};
        // Not chosen before.
        SteadyTime notBefore{};
        // Relayed requests of this host that it has not answered.
        std::uint32_t relayed{0};
    };

    [[nodiscard]] bool mayServe(const HostId &id, const Host &host, std::uint64_t pool, std::span<const HostId> tried, SteadyTime now) const;
    [[nodiscard]] double cost(const Host &host) const noexcept;

    DataCentreId m_localDataCentre;
    SplitMix m_random;
    Milliseconds m_reportTtl{4'000};
    StringMap<Host> m_hosts;
};

} // namespace guavafield
