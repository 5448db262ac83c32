// Order in which hosts try to acquire a lease.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstdint>
#include <span>
#include <string_view>

namespace guavafield {

/*!
 * @brief Returns a host's position among the candidates by rendezvous hash; rank 0 tries first.
 * @param lease Name of the lease.
 * @param self The host whose rank is computed; it need not be in the list.
 * @param candidates All live hosts that compete for the lease.
 */
[[nodiscard]] std::uint32_t candidateRank(std::string_view lease, std::string_view self, std::span<const HostId> candidates);

} // namespace guavafield
