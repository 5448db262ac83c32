// Load tracking, fleet targets and the orders that follow from them.
#include <guavafield/coordination/order/fleet_planner.hpp>

#include <guavafield/coordination/request/decaying_sum.hpp>

#include <algorithm>
#include <cmath>

namespace guavafield {

namespace internal {

constexpr std::uint32_t minCheapPerDataCentre = 4;
// Concurrent requests on an upstream at regular load.
constexpr double typicalRunningPerUpstream = 2.5;
// A past peak of running requests decays with this half-life.
constexpr double runningHalfLifeSeconds = 8;
// Queue time for which a data centre with minCheapPerDataCentre upstreams gets one more; larger fleets grow in proportion.
constexpr double queueSecondsPerExtraCheap = 0.03;
// A past peak is held for a while and then decays, so that the next burst still finds upstreams with warm caches.
constexpr Milliseconds pressureHoldTime{12'000};
constexpr double pressureHalfLifeSeconds = 4;
// The load is unknown before the first requests, so a few more upstreams are kept than an idle pool needs.
constexpr double initialPressure = 0.07;
// From this pressure on, durable upstreams replace cheap ones that are unavailable.
constexpr double durableFallbackPressure = 0.1;
constexpr double durablePerMissingCheap = 0.5;
constexpr Milliseconds retryAfterFailure{1'000};
constexpr Milliseconds retryAfterShortage{2'000};
// An order is repeated if its upstreams have not arrived after this time, which includes their boot time.
constexpr Milliseconds orderRepeatTime{7'000};
constexpr Milliseconds minOrderInterval{1'000};

} // namespace internal

void FleetPlanner::onLoads(const Configuration &configuration, const StringMap<PoolLoad> &loads, SteadyTime now)
{
    for (const auto &[id, pool] : configuration.pools) {
        if (pool.scaling) {
            recordInitialFleet(pool, configuration, now);
        }
    }
    if (!m_loadSeen && std::ranges::any_of(loads, [](const auto &it) { return it.second.running > 0; })) {
        onFirstLoad(loads, now);
    }
    for (const auto &[pool, load] : loads) {
        const auto [it, first] = m_pressures.try_emplace(pool, Pressure{internal::initialPressure, 0, 0, now, now});
        auto &pressure = it->second;
        if (!m_loadSeen) {
            pressure.updatedAt = now;
            pressure.peakAt = now;
            continue;
        }
        // Averages the samples, so that a single long prompt does not count as a burst.
        pressure.averageQueueSeconds += 0.25 * (load.queueSeconds - pressure.averageQueueSeconds);
        const bool held = now - pressure.peakAt < internal::pressureHoldTime;
        const double decayed = held ? pressure.peakQueueSeconds
                                    : pressure.peakQueueSeconds * std::exp2(-secondsBetween(pressure.updatedAt, now) / internal::pressureHalfLifeSeconds);
        const double decayedRunning = pressure.running * std::exp2(-secondsBetween(pressure.updatedAt, now) / internal::runningHalfLifeSeconds);
        pressure.running = std::max(decayedRunning, pressure.running + 0.1 * (load.running - pressure.running));
        pressure.updatedAt = now;
        pressure.peakQueueSeconds = std::max(decayed, pressure.averageQueueSeconds);
        if (pressure.averageQueueSeconds >= decayed) {
            pressure.peakAt = now;
        }
    }
}

void FleetPlanner::onFirstLoad(const StringMap<PoolLoad> &loads, SteadyTime now)
{
    m_loadSeen = true;
    // If the planner starts under load, the existing fleet was already sized for the earlier queues.
    const double queueSeconds = m_pressures.empty() ? 0 : internal::initialPressure;
    // The first few requests do not show the load to come, so the initial fleet counts as needed and decays like a past load.
    for (const auto &[pool, load] : loads) {
        auto &pressure = m_pressures.try_emplace(pool, Pressure{queueSeconds, 0, 0, now, now}).first->second;
        const auto initial = m_initialFleets.find(pool);
        if (initial != m_initialFleets.end()) {
            pressure.running = internal::typicalRunningPerUpstream * initial->second.perDataCentre * static_cast<double>(initial->second.dataCentres);
        }
    }
}

std::uint32_t FleetPlanner::cheapTarget(const UpstreamPool &pool, std::size_t dataCentres) const
{
    const auto it = m_pressures.find(pool.id);
    const double running = it == m_pressures.end() ? 0 : it->second.running;
    const double regularLoad = running / (internal::typicalRunningPerUpstream * static_cast<double>(std::max<std::size_t>(1, dataCentres)));
    double base = std::max<double>(internal::minCheapPerDataCentre, std::ceil(regularLoad));
    if (!m_loadSeen) {
        // Before the first requests, the initial fleet is the best estimate of the demand.
        const auto initial = m_initialFleets.find(pool.id);
        base = std::max<double>(base, initial == m_initialFleets.end() ? 0 : initial->second.perDataCentre);
    }
    const double extraCheap = pressureOf(pool.id) / internal::queueSecondsPerExtraCheap * base / internal::minCheapPerDataCentre;
    return static_cast<std::uint32_t>(base + std::floor(extraCheap));
}

double FleetPlanner::pressureOf(const PoolId &pool) const
{
    const auto it = m_pressures.find(pool);
    return it == m_pressures.end() ? internal::initialPressure : it->second.peakQueueSeconds;
}

bool FleetPlanner::isUnavailable(const Key &key, SteadyTime now) const
{
    const auto it = m_lastOrders.find(key);
    return it != m_lastOrders.end() && now < it->second.unavailableUntil;
}

std::map<DataCentreId, FleetPlanner::DataCentrePlan>
FleetPlanner::dataCentrePlans(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now) const
{
    std::map<DataCentreId, DataCentrePlan> result;
    for (const auto &[dataCentre, price] : pool.scaling->prices) {
        result[dataCentre];
    }
    for (const auto &[id, it] : configuration.upstreams) {
        if (it.pool == pool.id && !it.leaving) {
            auto &centre = result[it.dataCentre];
            ++(it.kind == UpstreamKind::Cheap ? centre.present.cheap : centre.present.durable);
        }
    }
    for (auto &[dataCentre, centre] : result) {
        centre.shortage = isUnavailable({pool.id, dataCentre, UpstreamKind::Cheap}, now);
        centre.evacuated = configuration.evacuated.contains(dataCentre);
    }
    return result;
}

void FleetPlanner::recordInitialFleet(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now)
{
    if (m_loadSeen) {
        return;
    }
    const auto plans = dataCentrePlans(pool, configuration, now);
    const auto [it, first] = m_initialFleets.try_emplace(pool.id);
    auto &initial = it->second;
    initial.dataCentres = plans.size();
    for (const auto &[dataCentre, centre] : plans) {
        // Cheap upstreams that arrive later are not counted: this planner ordered them to replace the durable ones.
        initial.perDataCentre = std::max(initial.perDataCentre, centre.present.durable + (first ? centre.present.cheap : 0));
    }
}

std::vector<FleetSize> FleetPlanner::plan(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now) const
{
    const auto &limits = *pool.scaling;
    auto plans = dataCentrePlans(pool, configuration, now);
    const auto target = cheapTarget(pool, plans.size());
    // Moves the shortfall of data centres with a shortage, and all work of evacuated ones, to the others.
    std::uint32_t missing = 0;
    for (auto &[dataCentre, centre] : plans) {
        // The limit applies to both kinds together, so present durable upstreams reduce the number of cheap ones that can be ordered.
        centre.cheapCapacity = limits.most - std::min(limits.most, centre.present.durable);
        centre.cheapTarget = std::min(target, centre.cheapCapacity);
        if (centre.evacuated) {
            missing += centre.cheapTarget;
        } else if (centre.shortage) {
            missing += centre.cheapTarget - std::min(centre.cheapTarget, centre.present.cheap);
        }
    }
    for (bool assigned = true; missing > 0 && assigned;) {
        assigned = false;
        for (auto &[dataCentre, centre] : plans) {
            if (missing > 0 && !centre.evacuated && !centre.shortage && centre.cheapTarget < centre.cheapCapacity) {
                ++centre.cheapTarget;
                --missing;
                assigned = true;
            }
        }
    }
    const bool useDurable = missing > 0 && pressureOf(pool.id) >= internal::durableFallbackPressure;
    const auto durable = useDurable ? static_cast<std::uint32_t>(std::ceil(missing * internal::durablePerMissingCheap / static_cast<double>(plans.size()))) : 0;
    std::vector<FleetSize> result;
    for (const auto &[dataCentre, centre] : plans) {
        if (centre.evacuated) {
            // Its upstreams are kept for its return.
            continue;
        }
        if (!centre.shortage) {
            result.push_back({pool.id, dataCentre, UpstreamKind::Cheap, centre.cheapTarget});
        } else if (centre.present.cheap < target) {
            // Keeps ordering from time to time to notice the end of the shortage.
            result.push_back({pool.id, dataCentre, UpstreamKind::Cheap, std::min(target, centre.cheapCapacity)});
        }
        // Durable upstreams are returned only after the cheap ones that replace them have arrived.
        const bool replaced = centre.present.cheap >= std::min(target, centre.cheapCapacity) || centre.present.durable <= durable;
        result.push_back({pool.id, dataCentre, UpstreamKind::Durable, replaced ? std::min(durable, limits.most) : centre.present.durable});
    }
    return result;
}

std::optional<FleetSize> FleetPlanner::nextOrder(const Configuration &configuration, SteadyTime now)
{
    for (const auto &[id, pool] : configuration.pools) {
        if (!pool.scaling) {
            continue;
        }
        recordInitialFleet(pool, configuration, now);
        for (const auto &target : plan(pool, configuration, now)) {
            auto &lastOrder = m_lastOrders[{target.pool, target.dataCentre, target.kind}];
            const auto present = static_cast<std::uint32_t>(std::ranges::count_if(configuration.upstreams, [&](const auto &it) {
                return it.second.pool == target.pool && it.second.dataCentre == target.dataCentre && it.second.kind == target.kind && !it.second.leaving;
            }));
            const bool decreased = present < lastOrder.lastPresent;
            lastOrder.lastPresent = present;
            // Repeats an accepted order if its upstreams do not arrive or some have disappeared.
            const bool repeatDue = present < target.count && (now >= lastOrder.repeatAt || decreased);
            const bool changed = lastOrder.count != target.count && (lastOrder.count || present != target.count);
            if (now >= lastOrder.notBefore && (changed || repeatDue)) {
                return target;
            }
        }
    }
    return std::nullopt;
}

void FleetPlanner::onOutcome(const FleetSize &order, FleetSizeOutcome outcome, SteadyTime now)
{
    auto &lastOrder = m_lastOrders[{order.pool, order.dataCentre, order.kind}];
    switch (outcome) {
    case FleetSizeOutcome::Accepted:
        lastOrder.count = order.count;
        lastOrder.notBefore = now + internal::minOrderInterval;
        lastOrder.repeatAt = now + internal::orderRepeatTime;
        lastOrder.unavailableUntil = {};
        break;
    case FleetSizeOutcome::Unavailable:
        // The shortage outlasts the retry delay, so that it does not end before the next attempt.
        lastOrder.unavailableUntil = now + internal::retryAfterShortage + internal::minOrderInterval;
        lastOrder.notBefore = now + internal::retryAfterShortage;
        break;
    case FleetSizeOutcome::Failed:
        lastOrder.notBefore = now + internal::retryAfterFailure;
        break;
    }
}

} // namespace guavafield
