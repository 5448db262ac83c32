// Derives orders from the desired and the actual state of a data centre's upstreams.
#pragma once

#include <guavafield/coordination/order/order_record.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace guavafield {

/*! @brief State of an upstream, as reported by the upstream. */
struct UpstreamStatus
{
    UpstreamId id;
    std::string zone;
    UpstreamKind kind{UpstreamKind::Durable};
    std::uint32_t slots{0};
    std::vector<ModelId> models;
    std::string role;
    // Empty if any role is acceptable.
    std::string desiredRole;
    bool checksFence{false};
    bool leaving{false};
};

/*! @brief Slots that the requests of a model occupy. */
struct ModelDemand
{
    ModelId model;
    std::string version;
    double topTierSlots{0};
    // All tiers, including the top tier.
    double totalSlots{0};
};

/*! @brief Complete input of planOrders(). */
struct OrderPlannerInput
{
    std::vector<UpstreamStatus> upstreams;
    std::vector<ModelDemand> demand;
    // False if the platform lately reported that it has no cheap upstreams.
    bool cheapAvailable{true};
    // Slots of a newly ordered upstream; positive.
    std::uint32_t slotsPerUpstream{8};
    // Upstreams that were ordered and are not visible yet.
    std::uint32_t durablePending{0};
    std::uint32_t cheapPending{0};
};

/*!
 * @brief Returns the orders that bring the actual state closer to the desired one, most urgent first.
 *
 * Slots on durable upstreams, plus those on cheap ones after the loss of any one zone, cover the top tier; all slots cover the whole
 * demand, with cheap upstreams for the rest as long as they are available. Deterministic: the same input gives the same orders.
 */
[[nodiscard]] std::vector<Order> planOrders(const OrderPlannerInput &situation);

} // namespace guavafield
