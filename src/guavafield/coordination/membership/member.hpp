// Membership statements about a host and the order in which they supersede each other.
#pragma once

#include <guavafield/state/types.hpp>

#include <compare>
#include <cstdint>
#include <tuple>

namespace guavafield {

/*! @brief IP address and port, shared by datagrams and RPC; IPv4 addresses are stored as IPv4-mapped IPv6. */
struct PeerAddress
{
    std::uint64_t high{0};
    std::uint64_t low{0};
    // 0 if the address is unknown.
    std::uint16_t port{0};

    friend auto operator<=>(const PeerAddress &, const PeerAddress &) = default;
};

/*! @brief State of a host as seen by its peers; of statements with equal incarnation and refutation, the higher state wins. */
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/*! @brief A statement about the state of a host at one incarnation. */
struct Member
{
    HostId id;
    DataCentreId dataCentre;
    PeerAddress address;
    // Set when the process starts and constant until it ends, since leases and usage rows refer to it.
    Incarnation incarnation{0};
    // Incremented by the host itself to refute a suspicion; starts at 0 in each incarnation.
    std::uint32_t refutation{0};
    MemberState state{MemberState::Alive};
    // Last known configuration revision in force on the host.
    Revision revision{0};
};

/*! @brief Returns whether a statement replaces the known one about the same host. */
[[nodiscard]] inline bool supersedes(const Member &statement, const Member &known) noexcept
{
    return std::tie(statement.incarnation, statement.refutation, statement.state) > std::tie(known.incarnation, known.refutation, known.state);
}

/*! @brief Returns the hash of host id and incarnation that identifies the recipient of a datagram; never 0. */
[[nodiscard]] std::uint64_t recipientTag(const HostId &id, Incarnation incarnation) noexcept;

} // namespace guavafield
