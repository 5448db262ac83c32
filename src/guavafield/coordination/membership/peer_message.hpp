// Contents of a datagram between peers.
#pragma once

#include <guavafield/coordination/configuration/known_revision.hpp>
#include <guavafield/coordination/fleet/host_report.hpp>
#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/coordination/request/request_info.hpp>
#include <guavafield/state/types.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace guavafield {

/*! @brief Kind of a datagram, which determines how it is handled. */
enum class PeerMessageKind : std::uint8_t {
    // Answered with an Ack.
    Probe,
    Ack,
    // Asks the recipient to probe a third host and to relay its Ack.
    IndirectProbe,
    // Requests the page of members after a host id.
    SyncRequest,
    SyncReply,
    // Carries urgent updates; not answered.
    Notice,
    // Carries a HostReport to all hosts; not answered.
    Report,
    // Number of kinds.
    Count,
};

/*! @brief Demand of a host's busiest teams and the age of the figures. */
struct DemandReport
{
    HostId host;
    Milliseconds age{0};
    std::vector<TeamDemand> teams;
};

/*! @brief A datagram between peers. */
struct PeerMessage
{
    PeerMessageKind kind{PeerMessageKind::Probe};
    // The sender's statement about itself; Alive or Leaving.
    Member self;
    // Increases with each datagram of an incarnation of the sender; starts at 1.
    std::uint64_t counter{0};
    // recipientTag() of the recipient; 0 if the sender knows only its address.
    std::uint64_t recipient{0};
    // Number of the probe that is sent, acknowledged or requested.
    std::uint32_t probe{0};
    // Host to probe for an IndirectProbe.
    PeerAddress target;
    std::uint64_t targetTag{0};
    std::optional<KnownRevision> newestRevision;
    std::vector<Member> updates;
    std::vector<KeyId> withdrawals;
    std::vector<CrashRecord> crashes;
    // Sent only within a data centre.
    std::vector<DemandReport> demand;
    // SyncRequest: id after which members are requested. SyncReply: cursor of the next request; empty after the last page.
    HostId cursor;
    // Set only in a Report.
    std::optional<HostReport> report;
};

/*! @brief Maximum size of a datagram, including its authentication code. */
inline constexpr std::size_t maxDatagramBytes = 480;
/*! @brief Maximum size of a Report; fits into one packet of the usual size. */
inline constexpr std::size_t maxReportBytes = 1'380;

/*! @brief Returns an upper bound on the encoded size of a part of a message. */
[[nodiscard]] std::size_t encodedBound(const Member &member) noexcept;
[[nodiscard]] std::size_t encodedBound(const KeyId &key) noexcept;
[[nodiscard]] std::size_t encodedBound(const CrashRecord &record) noexcept;
[[nodiscard]] std::size_t encodedBound(const DemandReport &report) noexcept;
/*! @brief Returns an upper bound on the encoded size of a datagram, including its authentication code. */
[[nodiscard]] std::size_t encodedBound(const PeerMessage &message) noexcept;

} // namespace guavafield
