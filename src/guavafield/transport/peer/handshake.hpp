// Proof that both ends of an RPC connection know the fleet secret.
#pragma once

#include <guavafield/state/key_hasher.hpp>

#include <string>
#include <string_view>

namespace guavafield {

/*! @brief Computes and checks the proofs of one side of the challenge-response handshake. */
class Handshake
{
public:
    static constexpr std::size_t nonceBytes = 32;

    explicit Handshake(std::string fleetSecret) : m_hasher(std::move(fleetSecret)) { }

    /*! @brief Makes a nonce that is used for one connection. */
    [[nodiscard]] static std::string makeNonce();

    [[nodiscard]] Digest serverProof(std::string_view clientNonce, std::string_view serverNonce) const;
    [[nodiscard]] Digest clientProof(std::string_view clientNonce, std::string_view serverNonce) const;
    /*! @brief Compares a received proof with the expected one in constant time. */
    [[nodiscard]] static bool matches(std::string_view proof, const Digest &expected) noexcept;

private:
    [[nodiscard]] Digest proof(std::string_view side, std::string_view clientNonce, std::string_view serverNonce) const;

    KeyHasher m_hasher;
};

} // namespace guavafield
