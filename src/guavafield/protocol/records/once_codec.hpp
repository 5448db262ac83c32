// Rows of at-most-once calls as JSON.
#pragma once

#include <guavafield/coordination/once/once_record.hpp>

namespace guavafield {

/*! @brief Returns the JSON encoding of the rows once/<team>/<digest of key>; the answer's body is in Base64. */
[[nodiscard]] OnceCodec onceCodec() noexcept;

} // namespace guavafield
