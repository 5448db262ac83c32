// Rows of leases as JSON.
#pragma once

#include <guavafield/coordination/lease/lease_record.hpp>

namespace guavafield {

/*! @brief Returns the JSON encoding of the rows lease/<name>. */
[[nodiscard]] LeaseCodec leaseCodec() noexcept;

} // namespace guavafield
