// What each host tells all others several times a second.
#pragma once

#include <guavafield/coordination/fleet/table_mirror.hpp>
#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/coordination/request/placement.hpp>
#include <guavafield/state/types.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace guavafield {

/*! @brief Requests of one team that upstreams began to run in one billing window. */
struct TeamCount
{
    // teamKey() of the team.
    std::uint64_t team{0};
    std::uint32_t requests{0};
};

/*! @brief A host's counts of one billing window so far; later reports of it have all of the earlier ones. */
struct WindowCounts
{
    // Number of the window since the start of 1970.
    std::uint64_t window{0};
    std::vector<TeamCount> teams;
};

/*! @brief A request whose connection to an upstream broke before the answer began. */
struct BrokenRequest
{
    // Rises with each such request of the host's life.
    std::uint64_t number{0};
    Digest fingerprint{};
};

/*! @brief One report. */
struct HostReport
{
    // The sender's time of day.
    WallTime wall{};
    // Of the operators' document and of the upstreams, as far as known.
    std::optional<TableKnowledge> document;
    std::optional<TableKnowledge> upstreams;
    // The sender cannot read the platform's tables, so that what it knows comes from others.
    bool withoutPlatform{false};
    // The sender's network link is slow, so that others should work for the whole fleet.
    bool slowLink{false};
    // Hosts to which the receiver passes the report on.
    std::vector<PeerAddress> relayTo;
    // Carries changes of the upstreams and nothing else.
    bool changesOnly{false};
    // Changes of the upstreams after a version; none is missing up to the version of the last one.
    RowVersion changesAfter{0};
    std::vector<MirroredRow> changes;
    std::vector<PeerWork> work;
    std::vector<WindowCounts> windows;
    // Under which the sender holds the lease of the duties; 0: it does not hold it.
    Fence dutyFence{0};
    // All billing windows up to this one are reported to the platform, as far as the sender knows.
    std::uint64_t reportedUpTo{0};
    // Those of the last few seconds.
    std::vector<BrokenRequest> broken;
};

/*! @brief Returns the number by which hosts name a team to each other. */
[[nodiscard]] inline std::uint64_t teamKey(std::string_view team) noexcept
{
    return stableIdHash(team);
}

} // namespace guavafield
