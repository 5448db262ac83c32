// The content of a datagram between peers.
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

/*! @brief What a datagram asks for. */
enum class PeerMessageKind : std::uint8_t {
    // Answered with an Ack.
    Probe,
    Ack,
    // Asks the recipient to probe a third host and to pass on its Ack.
    IndirectProbe,
    // Asks for the members after a host id.
    SyncRequest,
    SyncReply,
    // Carries urgent news and is not answered.
    Notice,
    // Carries a HostReport to all hosts and is not answered.
    Report,
    // not a kind
    Count,
};

/*! @brief A host's busiest teams and the age of the figures. */
struct DemandReport
{
    HostId host;
    Milliseconds age{0};
    std::vector<TeamDemand> teams;
};

/*! @brief One datagram. */
struct PeerMessage
{
    PeerMessageKind kind{PeerMessageKind::Probe};
    // The sender as it describes itself; Alive or Leaving.
    Member self;
    // Rises with each datagram of the sender's life; at least 1.
    std::uint64_t counter{0};
    // recipientTag() of the host meant; 0 if the sender knows only an address.
    std::uint64_t recipient{0};
    // Number of the probe that is sent, answered or asked for.
    std::uint32_t probe{0};
    // The host that an IndirectProbe is about.
    PeerAddress target;
    std::uint64_t targetTag{0};
    std::optional<KnownRevision> newestRevision;
    std::vector<Member> updates;
    std::vector<KeyId> withdrawals;
    std::vector<CrashRecord> crashes;
    // Only within a data centre.
    std::vector<DemandReport> demand;
    // SyncRequest: members after this id are wanted. SyncReply: where to go on; empty at the end.
    HostId cursor;
    // Only of a Report.
    std::optional<HostReport> report;
};

/*! @brief Largest datagram, with its authentication code. */
inline constexpr std::size_t maxDatagramBytes = 480;
/*! @brief Largest Report; fits into one packet of the usual size. */
inline constexpr std::size_t maxReportBytes = 1'380;

/*! @brief Returns an upper bound of the encoded size of a part of a message. */
[[nodiscard]] std::size_t encodedBound(const Member &member) noexcept;
[[nodiscard]] std::size_t encodedBound(const KeyId &key) noexcept;
[[nodiscard]] std::size_t encodedBound(const CrashRecord &record) noexcept;
[[nodiscard]] std::size_t encodedBound(const DemandReport &report) noexcept;
/*! @brief Returns an upper bound of the encoded size of a datagram, with its authentication code. */
[[nodiscard]] std::size_t encodedBound(const PeerMessage &message) noexcept;

} // namespace guavafield
