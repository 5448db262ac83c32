// Encodes and decodes datagrams between peers: an authentication code followed by packed Cap'n Proto.
#pragma once

#include <guavafield/coordination/membership/peer_message.hpp>
#include <guavafield/state/key_hasher.hpp>
#include <guavafield/state/result.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace guavafield {

/*! @brief Encodes and decodes under one fleet secret. Safe to use from several threads. */
class PeerCodec
{
public:
    /*! @brief HMAC-SHA-256 cut to 128 bits, as in IPsec (RFC 4868), to save 16 bytes a datagram. */
    static constexpr std::size_t codeBytes = 16;

    explicit PeerCodec(std::string fleetSecret) : m_hasher(std::move(fleetSecret)) { }

    /*!
     * @brief Encodes a message.
     * @return At most maxDatagramBytes, or PeerMessageInvalid when the message is larger.
     */
    [[nodiscard]] Result<std::vector<std::uint8_t>> encode(const PeerMessage &message) const;

    /*!
     * @brief Checks and decodes a datagram.
     * @return The message, PeerUnauthenticated or PeerMessageInvalid.
     */
    [[nodiscard]] Result<PeerMessage> decode(std::span<const std::uint8_t> datagram) const;

private:
    [[nodiscard]] Digest code(std::span<const std::uint8_t> content) const;

    KeyHasher m_hasher;
};

} // namespace guavafield
