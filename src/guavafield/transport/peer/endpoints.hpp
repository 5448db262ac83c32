// Conversion between peer addresses and Asio's endpoints.
#pragma once

#include <guavafield/coordination/membership/member.hpp>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>

#include <string>

namespace guavafield {

/*! @brief Returns a peer address; IPv4 is mapped into IPv6. */
[[nodiscard]] PeerAddress toPeerAddress(const boost::asio::ip::address &address, std::uint16_t port);
/*! @brief Returns an IP address, IPv4 if it was mapped. */
[[nodiscard]] boost::asio::ip::address toIpAddress(const PeerAddress &address);
/*! @brief Returns the endpoint that a socket of a family can send to. */
[[nodiscard]] boost::asio::ip::udp::endpoint toEndpoint(const PeerAddress &address, const boost::asio::ip::udp &family);
/*! @brief Writes an address for log lines, e.g. "10.1.2.3:8082". */
[[nodiscard]] std::string formatAddress(const PeerAddress &address);
/*! @brief Says whether the IP address is 0.0.0.0 or ::, which no one can send to. */
[[nodiscard]] bool isUnspecified(const PeerAddress &address);

} // namespace guavafield
