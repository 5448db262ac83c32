// Rows of orders as JSON, and the messages to their receivers.
#pragma once

#include <guavafield/coordination/order/order_record.hpp>

namespace guavafield {

/*! @brief Returns the JSON encodings of the order components. */
[[nodiscard]] OrderCodec orderCodec() noexcept;

/*! @brief Formats the body of an upstream's POST /control/order; the order is a ModelOrder or a RoleOrder. */
[[nodiscard]] std::string formatUpstreamOrder(std::string_view id, const OrderKind &order, Fence fence);

/*! @brief Formats the body of the platform's POST /orders. */
[[nodiscard]] std::string formatFleetOrder(std::string_view id, std::string_view dataCentre, const FleetOrder &order, Fence fence);

/*! @brief Returns whether the platform's answer to POST /orders says that it has no upstreams of the kind. */
[[nodiscard]] bool fleetOrderUnavailable(std::string_view answer);

} // namespace guavafield
