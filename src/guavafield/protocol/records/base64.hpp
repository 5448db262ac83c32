// Base64 for binary data inside JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace guavafield {

[[nodiscard]] std::string toBase64(std::string_view bytes);

/*! @brief Decodes padded Base64 without line breaks; empty if the text is malformed. */
[[nodiscard]] std::optional<std::string> fromBase64(std::string_view text);

} // namespace guavafield
