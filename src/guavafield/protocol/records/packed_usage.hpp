// Packed form of usage figures, see usageCodec().
#pragma once

#include <guavafield/coordination/usage/usage_record.hpp>

namespace guavafield::internal {

[[nodiscard]] std::string packUsage(const UsageFigures &figures);
/*! @brief Empty if the bytes are malformed. */
[[nodiscard]] std::optional<UsageFigures> unpackUsage(std::string_view packed);

} // namespace guavafield::internal
