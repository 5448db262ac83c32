// The platform's list of hosts.
#pragma once

#include <guavafield/coordination/lease/lease_record.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Parses the answer to GET /hosts; empty if it is malformed. */
[[nodiscard]] std::optional<std::vector<ListedHost>> parseHostList(std::string_view body);

} // namespace guavafield
