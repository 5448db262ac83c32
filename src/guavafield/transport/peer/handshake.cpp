// Nonces and proofs of the handshake.
#include <guavafield/transport/peer/handshake.hpp>

#include <openssl/crypto.h>

namespace guavafield {

std::string Handshake::makeNonce()
{
    const auto digest = digestFromHex(makeSecret());
    return {digest->begin(), digest->end()};
}

Digest Handshake::serverProof(std::string_view clientNonce, std::string_view serverNonce) const
{
    return proof("server", clientNonce, serverNonce);
}

Digest Handshake::clientProof(std::string_view clientNonce, std::string_view serverNonce) const
{
    return proof("client", clientNonce, serverNonce);
}

bool Handshake::matches(std::string_view proof, const Digest &expected) noexcept
{
    return proof.size() == expected.size() && CRYPTO_memcmp(proof.data(), expected.data(), expected.size()) == 0;
}

Digest Handshake::proof(std::string_view side, std::string_view clientNonce, std::string_view serverNonce) const
{
    // Naming the side keeps a server's proof from being sent back to it as a client's.
    std::string text("guavafield rpc 1 ");
    text.append(side).append(":").append(clientNonce).append(serverNonce);
    return m_hasher.digest(text);
}

} // namespace guavafield
