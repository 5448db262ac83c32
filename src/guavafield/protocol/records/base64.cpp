// Base64 by OpenSSL.
#include <guavafield/protocol/records/base64.hpp>

#include <openssl/evp.h>

#include <algorithm>

namespace guavafield {

std::string toBase64(std::string_view bytes)
{
    // The encoder appends a terminating zero.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    const auto padding = text.size() - std::min(text.size(), text.find_last_not_of('=') + 1);
    if (text.size() % 4 != 0 || padding > 2) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    const auto size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    // The decoder skips leading white space, which leaves fewer bytes.
    if (size != static_cast<int>(bytes.size())) {
        return std::nullopt;
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace guavafield
