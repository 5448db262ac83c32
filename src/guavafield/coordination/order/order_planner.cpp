// Plans the orders of a data centre: upstream counts first, then model loads, unloads and roles.
#include <guavafield/coordination/order/order_planner.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace guavafield {

namespace internal {

// Hysteresis: upstreams are returned and models unloaded only if the remaining slots exceed the demand by this factor.
constexpr double surplusFactor = 1.25;

bool serves(const UpstreamStatus &upstream, const ModelId &model)
{
    return std::ranges::find(upstream.models, model) != upstream.models.end();
}

struct SlotCounts
{
    double durable{0};
    double cheap{0};
    double largestCheapZone{0};

    [[nodiscard]] double afterZoneLoss() const
    {
        return durable + cheap - largestCheapZone;
    }
};

SlotCounts countSlots(const OrderPlannerInput &input)
{
    SlotCounts slots;
    std::map<std::string, double> zones;
    for (const auto &it : input.upstreams) {
        if (it.leaving) {
            continue;
        }
        if (it.kind == UpstreamKind::Durable) {
            slots.durable += it.slots;
        } else {
            slots.cheap += it.slots;
            slots.largestCheapZone = std::max(slots.largestCheapZone, zones[it.zone] += it.slots);
        }
    }
    // The zone of a pending cheap upstream is unknown, so it counts towards the zone that may be lost.
    const auto cheapPendingSlots = static_cast<double>(input.cheapPending * input.slotsPerUpstream);
    slots.durable += input.durablePending * input.slotsPerUpstream;
    slots.cheap += cheapPendingSlots;
    slots.largestCheapZone += cheapPendingSlots;
    return slots;
}

void planCounts(const OrderPlannerInput &input, std::vector<Order> &orders)
{
    double topTier = 0;
    double total = 0;
    for (const auto &it : input.demand) {
        topTier += it.topTierSlots;
        total += it.totalSlots;
    }
    auto slots = countSlots(input);
    const double slotsPerUpstream = input.slotsPerUpstream;
    const auto upstreamsNeeded = [&](double missing) { return static_cast<std::uint32_t>(std::ceil(std::max(missing, 0.0) / slotsPerUpstream)); };
    auto durable = upstreamsNeeded(topTier - slots.afterZoneLoss());
    slots.durable += durable * slotsPerUpstream;
    auto cheap = upstreamsNeeded(total - slots.durable - slots.cheap);
    if (!input.cheapAvailable) {
        durable += cheap;
        cheap = 0;
    }
    if (durable > 0) {
        orders.push_back({FleetOrder{true, UpstreamKind::Durable, durable}, true});
    }
    if (cheap > 0) {
        orders.push_back({FleetOrder{true, UpstreamKind::Cheap, cheap}, true});
    }
    if (durable > 0 || cheap > 0 || input.durablePending > 0 || input.cheapPending > 0) {
        return;
    }
    // Returns one upstream at a time, the more expensive kind first.
    const bool totalAllows = slots.durable + slots.cheap - slotsPerUpstream >= total * surplusFactor;
    if (totalAllows && slots.durable >= slotsPerUpstream && slots.afterZoneLoss() - slotsPerUpstream >= topTier * surplusFactor) {
        orders.push_back({FleetOrder{false, UpstreamKind::Durable, 1}, true});
    } else if (totalAllows && slots.cheap >= slotsPerUpstream && slots.afterZoneLoss() - slotsPerUpstream >= topTier) {
        orders.push_back({FleetOrder{false, UpstreamKind::Cheap, 1}, true});
    }
}

// Assumes that an upstream's models share its slots evenly.
double slotsFor(const UpstreamStatus &upstream, const ModelId &model)
{
    return upstream.leaving || !serves(upstream, model) ? 0 : static_cast<double>(upstream.slots) / static_cast<double>(upstream.models.size());
}

double slotsFor(const OrderPlannerInput &input, const ModelId &model)
{
    double slots = 0;
    for (const auto &it : input.upstreams) {
        slots += slotsFor(it, model);
    }
    return slots;
}

// Returns the upstream with the fewest models. Ties go to a durable upstream if the model has top-tier demand, else to a cheap one.
const UpstreamStatus *loadTarget(const OrderPlannerInput &input, const ModelDemand &demand, const std::map<UpstreamId, bool> &changed)
{
    const auto preferred = demand.topTierSlots > 0 ? UpstreamKind::Durable : UpstreamKind::Cheap;
    const auto rank = [&](const UpstreamStatus &it) { return std::tuple(it.models.size(), it.kind != preferred, std::string_view(it.id)); };
    const UpstreamStatus *best = nullptr;
    for (const auto &it : input.upstreams) {
        const bool possible = !it.leaving && !serves(it, demand.model) && !changed.contains(it.id);
        if (possible && (best == nullptr || rank(it) < rank(*best))) {
            best = &it;
        }
    }
    return best;
}

void planModels(const OrderPlannerInput &input, std::vector<Order> &orders)
{
    // Upstreams with a model order in this plan. Further changes wait until that order has taken effect.
    std::map<UpstreamId, bool> changed;
    for (const auto &it : input.demand) {
        const auto slots = slotsFor(input, it.model);
        if (it.totalSlots > 0 && slots < it.totalSlots) {
            if (const auto *target = loadTarget(input, it, changed)) {
                changed[target->id] = true;
                orders.push_back({ModelOrder{true, target->id, it.model, it.version}, target->checksFence});
            }
        }
    }
    for (const auto &demand : input.demand) {
        const auto slots = slotsFor(input, demand.model);
        for (const auto &it : input.upstreams) {
            const auto remaining = slots - slotsFor(it, demand.model);
            const bool spare = remaining > 0 && remaining >= demand.totalSlots * surplusFactor;
            if (!it.leaving && it.models.size() > 1 && serves(it, demand.model) && spare && !changed.contains(it.id)) {
                changed[it.id] = true;
                orders.push_back({ModelOrder{false, it.id, demand.model, demand.version}, it.checksFence});
                break;
            }
        }
    }
}

} // namespace internal

std::vector<Order> planOrders(const OrderPlannerInput &input)
{
    std::vector<Order> orders;
    internal::planCounts(input, orders);
    internal::planModels(input, orders);
    for (const auto &it : input.upstreams) {
        if (!it.leaving && !it.desiredRole.empty() && it.role != it.desiredRole) {
            orders.push_back({RoleOrder{it.id, it.desiredRole}, it.checksFence});
        }
    }
    return orders;
}

} // namespace guavafield
