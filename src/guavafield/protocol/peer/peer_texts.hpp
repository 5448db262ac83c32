// Texts that peers exchange by RPC.
#pragma once

#include <guavafield/state/result.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Writes the texts of consecutive changes as one JSON array of strings. */
[[nodiscard]] std::string formatChangeTexts(std::span<const std::string> changes);

/*! @brief Reads what formatChangeTexts() wrote; PeerMessageInvalid for anything else, such as the empty answer of a peer that lacks some. */
[[nodiscard]] Result<std::vector<std::string>> parseChangeTexts(std::string_view text);

} // namespace guavafield
