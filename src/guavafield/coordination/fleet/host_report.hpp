// State that each host sends to all others several times a second.
#pragma once

#include <guavafield/coordination/fleet/table_mirror.hpp>
#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/coordination/request/health/crash_evidence.hpp>
#include <guavafield/coordination/request/placement/placement.hpp>
#include <guavafield/state/types.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace guavafield {

/*! @brief Number of requests of a team that upstreams started in one billing window. */
struct TeamCount
{
    // teamKey() of the team.
    std::uint64_t team{0};
    std::uint32_t requests{0};
};

/*! @brief A host's cumulative counts of one billing window; a later report includes all counts of earlier ones. */
struct WindowCounts
{
    // Number of the window since the Unix epoch.
    std::uint64_t window{0};
    std::vector<TeamCount> teams;
};

/*! @brief A report from one host to the others. */
struct HostReport
{
    // Wall clock time of the sender.
    WallTime wall{};
    // State of the sender's mirrors of the document and upstreams tables; empty if unknown.
    std::optional<TableKnowledge> document;
    std::optional<TableKnowledge> upstreams;
    // The sender cannot read the platform's tables and relies on its peers.
    bool withoutPlatform{false};
    // The sender's network link is slow, so other hosts should take fleet-wide work.
    bool slowLink{false};
    // Port at which the sender takes requests that other hosts relay; 0 if it takes none.
    std::uint16_t callerPort{0};
    // stableIdHash() of the pools of which the sender reaches no upstream.
    std::vector<std::uint64_t> unreachablePools;
    // Hosts to which the receiver relays the report.
    std::vector<PeerAddress> relayTo;
    // The report contains only changes of upstreams.
    bool changesOnly{false};
    // Changes of upstreams after this version; complete up to the version of the last one.
    RowVersion changesAfter{0};
    std::vector<MirroredRow> changes;
    std::vector<PeerWork> work;
    std::vector<EngineDemand> engineDemand;
    std::vector<WindowCounts> windows;
    // Fencing token of the duty lease; 0 if the sender does not hold it.
    Fence dutyFence{0};
    // Last billing window up to which all are reported to the platform, as far as the sender knows.
    std::uint64_t reportedUpTo{0};
    // Last billing window whose report was sent to the platform, whatever the outcome, as far as the sender knows.
    std::uint64_t reportSentUpTo{0};
    // The report contains nothing but crashes and what began after them, or rate limits. Other reports contain the verdicts only, as a datagram
    // is small.
    bool evidenceOnly{false};
    CrashKnowledge crashes;
    std::vector<RateLimitObservation> rateLimits;
};

/*! @brief Returns the number that identifies a team in host reports. */
[[nodiscard]] inline std::uint64_t teamKey(std::string_view team) noexcept
{
    return stableIdHash(team);
}

} // namespace guavafield
