// HMAC-SHA-256 by OpenSSL, and the text forms of digests and keys.
#include <guavafield/state/key_hasher.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>

namespace guavafield {

namespace internal {

constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr std::string_view keyPrefix = "gf_";

int hexValue(char digit) noexcept
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

} // namespace internal

Digest KeyHasher::digest(std::string_view text) const
{
    Digest result{};
    unsigned length = static_cast<unsigned>(result.size());
    const auto *data = reinterpret_cast<const unsigned char *>(text.data());
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()), data, text.size(), result.data(), &length);
    return result;
}

bool KeyHasher::matches(std::string_view text, const Digest &expected) const
{
    return equalDigests(digest(text), expected);
}

bool equalDigests(const Digest &left, const Digest &right) noexcept
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string toHex(const Digest &digest)
{
    std::string text;
    text.reserve(digest.size() * 2);
    for (const auto it : digest) {
        text += internal::hexDigits[it >> 4U];
        text += internal::hexDigits[it & 0xFU];
    }
    return text;
}

std::optional<Digest> digestFromHex(std::string_view text)
{
    Digest digest{};
    if (text.size() != digest.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t n = 0; n < digest.size(); ++n) {
        const int high = internal::hexValue(text[2 * n]);
        const int low = internal::hexValue(text[2 * n + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        digest[n] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return digest;
}

std::optional<PresentedKey> parsePresentedKey(std::string_view text) noexcept
{
    if (!text.starts_with(internal::keyPrefix)) {
        return std::nullopt;
    }
    const auto rest = text.substr(internal::keyPrefix.size());
    const auto end = rest.rfind('_');
    if (end == std::string_view::npos || end == 0 || end + 1 == rest.size()) {
        return std::nullopt;
    }
    return PresentedKey{rest.substr(0, end), text};
}

std::string makeSecret()
{
    Digest bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("the system's random generator failed");
    }
    return toHex(bytes);
}

} // namespace guavafield
