// Keyed digests of API keys, operator tokens and fingerprints.
#pragma once

#include <guavafield/state/types.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace guavafield {

/*! @brief Computes HMAC-SHA-256 under one secret. */
class KeyHasher
{
public:
    explicit KeyHasher(std::string secret) : m_secret(std::move(secret)) { }

    /*! @brief Returns the digest of a text. */
    [[nodiscard]] Digest digest(std::string_view text) const;

    /*!
     * @brief Compares a text with a digest in constant time.
     * @param text What a caller presented.
     * @param expected The digest kept.
     */
    [[nodiscard]] bool matches(std::string_view text, const Digest &expected) const;

private:
    std::string m_secret;
};

/*! @brief Compares two digests in constant time. */
[[nodiscard]] bool equalDigests(const Digest &left, const Digest &right) noexcept;

/*! @brief Writes a digest as 64 lower-case hexadecimal digits. */
[[nodiscard]] std::string toHex(const Digest &digest);

/*! @brief Reads 64 hexadecimal digits. */
[[nodiscard]] std::optional<Digest> digestFromHex(std::string_view text);

/*! @brief The two parts of a presented key, gf_<key id>_<secret>. */
struct PresentedKey
{
    std::string_view id;
    // The whole key, which is what gets digested.
    std::string_view whole;
};

/*! @brief Splits a key as presented by a caller; empty if it has another form. */
[[nodiscard]] std::optional<PresentedKey> parsePresentedKey(std::string_view text) noexcept;

/*! @brief Makes a random secret of 32 bytes from the system's generator, in hexadecimal. */
[[nodiscard]] std::string makeSecret();

} // namespace guavafield
