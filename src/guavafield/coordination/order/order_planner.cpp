// The plan of a data centre's upstreams: counts, then loads, unloads and roles.
#include <guavafield/coordination/order/order_planner.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace guavafield {

namespace internal {

// Upstreams and models are given up only if this much more than the demand remains; avoids orders that undo each other.
constexpr double surplusFactor = 1.25;

bool serves(const UpstreamStatus &upstream, const ModelId &model)
{
    return std::ranges::find(upstream.models, model) != upstream.models.end();
}

struct Slots
{
    double durable{0};
    double cheap{0};
    double largestCheapZone{0};

    [[nodiscard]] double afterZoneLoss() const
    {
        return durable + cheap - largestCheapZone;
    }
};

Slots countSlots(const OrderPlannerInput &situation)
{
    Slots slots;
    std::map<std::string, double> zones;
    for (const auto &it : situation.upstreams) {
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
    // The zone of a cheap upstream on its way is not known; it counts as part of the zone that may be lost.
    const auto cheapPending = static_cast<double>(situation.cheapPending * situation.slotsPerUpstream);
    slots.durable += situation.durablePending * situation.slotsPerUpstream;
    slots.cheap += cheapPending;
    slots.largestCheapZone += cheapPending;
    return slots;
}

void planCounts(const OrderPlannerInput &situation, std::vector<Order> &orders)
{
    double topTier = 0;
    double total = 0;
    for (const auto &it : situation.demand) {
        topTier += it.topTierSlots;
        total += it.totalSlots;
    }
    auto slots = countSlots(situation);
    const double each = situation.slotsPerUpstream;
    const auto upstreamsFor = [&](double missing) { return static_cast<std::uint32_t>(std::ceil(std::max(missing, 0.0) / each)); };
    auto durable = upstreamsFor(topTier - slots.afterZoneLoss());
    slots.durable += durable * each;
    auto cheap = upstreamsFor(total - slots.durable - slots.cheap);
    if (!situation.cheapAvailable) {
        durable += cheap;
        cheap = 0;
    }
    if (durable > 0) {
        orders.push_back({FleetOrder{true, UpstreamKind::Durable, durable}, true});
    }
    if (cheap > 0) {
        orders.push_back({FleetOrder{true, UpstreamKind::Cheap, cheap}, true});
    }
    if (durable > 0 || cheap > 0 || situation.durablePending > 0 || situation.cheapPending > 0) {
        return;
    }
    // One upstream at a time, the dearer kind first.
    const bool totalAllows = slots.durable + slots.cheap - each >= total * surplusFactor;
    if (totalAllows && slots.durable >= each && slots.afterZoneLoss() - each >= topTier * surplusFactor) {
        orders.push_back({FleetOrder{false, UpstreamKind::Durable, 1}, true});
    } else if (totalAllows && slots.cheap >= each && slots.afterZoneLoss() - each >= topTier) {
        orders.push_back({FleetOrder{false, UpstreamKind::Cheap, 1}, true});
    }
}

// An upstream's slots are taken to be shared evenly by its models.
double slotsFor(const UpstreamStatus &upstream, const ModelId &model)
{
    return upstream.leaving || !serves(upstream, model) ? 0 : static_cast<double>(upstream.slots) / static_cast<double>(upstream.models.size());
}

double slotsFor(const OrderPlannerInput &situation, const ModelId &model)
{
    double slots = 0;
    for (const auto &it : situation.upstreams) {
        slots += slotsFor(it, model);
    }
    return slots;
}

// The upstream with the fewest models; a durable one for a model with work of the top tier, else a cheap one.
const UpstreamStatus *loadTarget(const OrderPlannerInput &situation, const ModelDemand &demand, const std::map<UpstreamId, bool> &busy)
{
    const auto preferred = demand.topTierSlots > 0 ? UpstreamKind::Durable : UpstreamKind::Cheap;
    const auto rank = [&](const UpstreamStatus &it) { return std::tuple(it.models.size(), it.kind != preferred, std::string_view(it.id)); };
    const UpstreamStatus *best = nullptr;
    for (const auto &it : situation.upstreams) {
        const bool possible = !it.leaving && !serves(it, demand.model) && !busy.contains(it.id);
        if (possible && (best == nullptr || rank(it) < rank(*best))) {
            best = &it;
        }
    }
    return best;
}

void planModels(const OrderPlannerInput &situation, std::vector<Order> &orders)
{
    // Upstreams with an order of this plan; further changes wait for its effect.
    std::map<UpstreamId, bool> busy;
    for (const auto &it : situation.demand) {
        const auto slots = slotsFor(situation, it.model);
        if (it.totalSlots > 0 && slots < it.totalSlots) {
            if (const auto *target = loadTarget(situation, it, busy)) {
                busy[target->id] = true;
                orders.push_back({ModelOrder{true, target->id, it.model, it.version}, target->checksFence});
            }
        }
    }
    for (const auto &demand : situation.demand) {
        const auto slots = slotsFor(situation, demand.model);
        for (const auto &it : situation.upstreams) {
            const auto remaining = slots - slotsFor(it, demand.model);
            const bool spare = remaining > 0 && remaining >= demand.totalSlots * surplusFactor;
            if (!it.leaving && it.models.size() > 1 && serves(it, demand.model) && spare && !busy.contains(it.id)) {
                busy[it.id] = true;
                orders.push_back({ModelOrder{false, it.id, demand.model, demand.version}, it.checksFence});
                break;
            }
        }
    }
}

} // namespace internal

std::vector<Order> planOrders(const OrderPlannerInput &situation)
{
    std::vector<Order> orders;
    internal::planCounts(situation, orders);
    internal::planModels(situation, orders);
    for (const auto &it : situation.upstreams) {
        if (!it.leaving && !it.desiredRole.empty() && it.role != it.desiredRole) {
            orders.push_back({RoleOrder{it.id, it.desiredRole}, it.checksFence});
        }
    }
    return orders;
}

} // namespace guavafield
