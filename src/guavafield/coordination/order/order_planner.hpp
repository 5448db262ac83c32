// Compares the desired with the actual state of a data centre's upstreams.
#pragma once

#include <guavafield/coordination/order/order_record.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace guavafield {

/*! @brief An upstream as it reports itself. */
struct UpstreamStatus
{
    UpstreamId id;
    std::string zone;
    UpstreamKind kind{UpstreamKind::Durable};
    std::uint32_t slots{0};
    std::vector<ModelId> models;
    std::string role;
    // Empty if any role will do.
    std::string desiredRole;
    bool checksFence{false};
    bool leaving{false};
};

/*! @brief Slots that a model's requests keep busy. */
struct ModelDemand
{
    ModelId model;
    std::string version;
    double topTierSlots{0};
    // All tiers, the top tier included.
    double totalSlots{0};
};

/*! @brief All that the plan depends on. */
struct OrderPlannerInput
{
    std::vector<UpstreamStatus> upstreams;
    std::vector<ModelDemand> demand;
    // The platform has not lately answered that it has none.
    bool cheapAvailable{true};
    // Slots of an upstream to be ordered; positive.
    std::uint32_t slotsPerUpstream{8};
    // Ordered and not visible yet.
    std::uint32_t durablePending{0};
    std::uint32_t cheapPending{0};
};

/*!
 * @brief Returns the orders that bring the actual state closer to the desired one, most urgent first.
 *
 * Slots on durable upstreams, plus those on cheap ones after the loss of any one zone, cover the top tier; all slots cover the whole
 * demand, with cheap upstreams for the rest as long as they are available. The same situation gives the same orders.
 */
[[nodiscard]] std::vector<Order> planOrders(const OrderPlannerInput &situation);

} // namespace guavafield
