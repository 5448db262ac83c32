// A host as its peers see it, and which of two statements about it is newer.
#pragma once

#include <guavafield/state/types.hpp>

#include <compare>
#include <cstdint>
#include <tuple>

namespace guavafield {

/*! @brief IP address and port, the same for datagrams and RPC; IPv4 addresses are mapped into IPv6. */
struct PeerAddress
{
    std::uint64_t high{0};
    std::uint64_t low{0};
    // 0 means that the address is not known.
    std::uint16_t port{0};

    friend auto operator<=>(const PeerAddress &, const PeerAddress &) = default;
};

/*! @brief Peers' opinion of a host. The order is the precedence of statements that are equally old. */
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/*! @brief One statement about a host. */
struct Member
{
    HostId id;
    DataCentreId dataCentre;
    PeerAddress address;
    // Set at the start of the process and constant during its life, since leases and usage rows name it.
    Incarnation incarnation{0};
    // Raised by the host itself to contradict a suspicion; starts at 0 in each life.
    std::uint32_t refutation{0};
    MemberState state{MemberState::Alive};
    // Configuration revision in force on the host, as far as known.
    Revision revision{0};
};

/*! @brief Says whether a statement about a host replaces another about the same host. */
[[nodiscard]] inline bool supersedes(const Member &statement, const Member &known) noexcept
{
    return std::tie(statement.incarnation, statement.refutation, statement.state) > std::tie(known.incarnation, known.refutation, known.state);
}

/*! @brief Returns the number by which a datagram names its recipient; covers host id and incarnation and is never 0. */
[[nodiscard]] std::uint64_t recipientTag(const HostId &id, Incarnation incarnation) noexcept;

} // namespace guavafield
