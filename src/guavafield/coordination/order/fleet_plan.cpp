// The plan and its orders.
#include <guavafield/coordination/order/fleet_plan.hpp>

#include <guavafield/coordination/request/decaying_sum.hpp>

#include <algorithm>
#include <cmath>

namespace guavafield {

namespace internal {

constexpr std::uint32_t durablePerDataCentre = 0;
constexpr std::uint32_t leastCheapPerDataCentre = 4;
// Each further cheap upstream of a data centre stands for this much of a queue.
constexpr double queueSecondsPerCheap = 0.03;
// A pressure that has passed is kept for a while and then fades, so that the next burst finds its upstreams with warm caches.
constexpr Milliseconds pressureHeld{12'000};
constexpr double pressureHalfLifeSeconds = 4;
// Before the first requests, the load is not known, and a few more upstreams than for a calm time are kept.
constexpr double pressureAtStart = 0.07;
// Above this pressure, durable upstreams stand in for cheap ones that are not to be had.
constexpr double pressureForDurable = 0.25;
constexpr Milliseconds retryAfterFailure{1'000};
constexpr Milliseconds retryAfterShortage{2'000};
// An order whose upstreams have not come by then, boot time included, is given again.
constexpr Milliseconds repeatAfter{3'000};

} // namespace internal

void FleetPlan::onLoads(const StringMap<PoolLoad> &loads, SteadyTime now)
{
    for (const auto &[pool, load] : loads) {
        const auto [it, first] = m_pressures.try_emplace(pool, Pressure{internal::pressureAtStart, 0, now, now});
        auto &pressure = it->second;
        m_loaded = m_loaded || load.running > 0;
        if (!m_loaded) {
            pressure.at = now;
            pressure.peakAt = now;
            continue;
        }
        // Single long prompts are no burst, so each look counts in part.
        pressure.present += 0.25 * (load.queueSeconds - pressure.present);
        const bool held = now - pressure.peakAt < internal::pressureHeld;
        const double faded = held ? pressure.queueSeconds
                                  : pressure.queueSeconds * std::exp2(-secondsBetween(pressure.at, now) / internal::pressureHalfLifeSeconds);
        pressure.at = now;
        pressure.queueSeconds = std::max(faded, pressure.present);
        if (pressure.present >= faded) {
            pressure.peakAt = now;
        }
    }
}

std::uint32_t FleetPlan::cheapWanted(const UpstreamPool &pool) const
{
    return internal::leastCheapPerDataCentre + static_cast<std::uint32_t>(pressureOf(pool.id) / internal::queueSecondsPerCheap);
}

double FleetPlan::pressureOf(const PoolId &pool) const
{
    const auto it = m_pressures.find(pool);
    return it == m_pressures.end() ? internal::pressureAtStart : it->second.queueSeconds;
}

bool FleetPlan::unavailable(const Key &key, SteadyTime now) const
{
    const auto it = m_ordered.find(key);
    return it != m_ordered.end() && now < it->second.unavailableUntil;
}

std::vector<FleetSize> FleetPlan::plan(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now) const
{
    const auto &limits = *pool.scaling;
    std::map<DataCentreId, FleetCounts> present;
    for (const auto &[dataCentre, price] : limits.prices) {
        present[dataCentre];
    }
    for (const auto &[id, it] : configuration.upstreams) {
        if (it.pool == pool.id && !it.leaving) {
            auto &counts = present[it.dataCentre];
            ++(it.kind == UpstreamKind::Cheap ? counts.cheap : counts.durable);
        }
    }
    std::vector<FleetSize> result;
    for (const auto &[dataCentre, counts] : present) {
        const bool shortage = unavailable({pool.id, dataCentre, UpstreamKind::Cheap}, now);
        auto durable = std::min(internal::durablePerDataCentre, limits.most);
        if (shortage && pressureOf(pool.id) >= internal::pressureForDurable) {
            durable = std::min(durable + cheapWanted(pool) / 2, limits.most);
        }
        // Both kinds together have a limit, so that cheap ones can only come for as many as there is room now.
        const auto room = limits.most - std::min(limits.most, std::max(durable, counts.durable));
        const auto cheap = std::min(cheapWanted(pool), room);
        if (!shortage) {
            result.push_back({pool.id, dataCentre, UpstreamKind::Cheap, cheap});
        }
        // Durable upstreams go only when the cheap ones that take their place have come.
        const bool replaced = counts.cheap >= cheap || counts.durable <= durable;
        result.push_back({pool.id, dataCentre, UpstreamKind::Durable, replaced ? durable : counts.durable});
    }
    return result;
}

std::optional<FleetSize> FleetPlan::next(const Configuration &configuration, SteadyTime now)
{
    for (const auto &[id, pool] : configuration.pools) {
        if (!pool.scaling) {
            continue;
        }
        for (const auto &wanted : plan(pool, configuration, now)) {
            auto &ordered = m_ordered[{wanted.pool, wanted.dataCentre, wanted.kind}];
            if (now < ordered.notBefore) {
                continue;
            }
            const auto present = static_cast<std::uint32_t>(std::ranges::count_if(configuration.upstreams, [&](const auto &it) {
                return it.second.pool == wanted.pool && it.second.dataCentre == wanted.dataCentre && it.second.kind == wanted.kind && !it.second.leaving;
            }));
            const bool due = ordered.count != wanted.count || present < wanted.count;
            if (due && (ordered.count || present != wanted.count)) {
                return wanted;
            }
        }
    }
    return std::nullopt;
}

void FleetPlan::onOutcome(const FleetSize &order, OrderOutcome outcome, SteadyTime now)
{
    auto &ordered = m_ordered[{order.pool, order.dataCentre, order.kind}];
    switch (outcome) {
    case OrderOutcome::Accepted:
        ordered.count = order.count;
        // Long enough for the upstreams to boot and to write their entries.
        ordered.notBefore = now + 2 * internal::repeatAfter;
        break;
    case OrderOutcome::Unavailable:
        ordered.unavailableUntil = now + internal::retryAfterShortage;
        ordered.notBefore = now + internal::retryAfterShortage;
        break;
    case OrderOutcome::Failed:
        ordered.notBefore = now + internal::retryAfterFailure;
        break;
    }
}

} // namespace guavafield
