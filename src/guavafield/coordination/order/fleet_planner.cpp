// The plan and its orders.
#include <guavafield/coordination/order/fleet_planner.hpp>

#include <guavafield/coordination/request/decaying_sum.hpp>

#include <algorithm>
#include <cmath>

namespace guavafield {

namespace internal {

constexpr std::uint32_t leastCheapPerDataCentre = 4;
// Requests that run at once on an upstream at an ordinary load.
constexpr double runningPerUpstream = 2.5;
// A number of running requests that has passed fades over this time.
constexpr double runningHalfLifeSeconds = 8;
// Each further cheap upstream of a data centre stands for this much of a queue.
constexpr double queueSecondsPerCheap = 0.03;
// A pressure that has passed is kept for a while and then fades, so that the next burst finds its upstreams with warm caches.
constexpr Milliseconds pressureHeld{12'000};
constexpr double pressureHalfLifeSeconds = 4;
// Before the first requests, the load is not known, and a few more upstreams than for a calm time are kept.
constexpr double pressureAtStart = 0.07;
// Above this pressure, durable upstreams stand in for cheap ones that are not to be had.
constexpr double pressureForDurable = 0.1;
constexpr double durablePerMissing = 0.5;
constexpr Milliseconds retryAfterFailure{1'000};
constexpr Milliseconds retryAfterShortage{2'000};
// An order whose upstreams have not come by then, boot time included, is given again.
constexpr Milliseconds repeatAfter{7'000};
constexpr Milliseconds orderInterval{1'000};

} // namespace internal

void FleetPlanner::onLoads(const Configuration &configuration, const StringMap<PoolLoad> &loads, SteadyTime now)
{
    for (const auto &[id, pool] : configuration.pools) {
        if (pool.scaling) {
            noteStart(pool, configuration, now);
        }
    }
    if (!m_loaded && std::ranges::any_of(loads, [](const auto &it) { return it.second.running > 0; })) {
        startOfLoad(loads, now);
    }
    for (const auto &[pool, load] : loads) {
        const auto [it, first] = m_pressures.try_emplace(pool, Pressure{internal::pressureAtStart, 0, 0, now, now});
        auto &pressure = it->second;
        if (!m_loaded) {
            pressure.at = now;
            pressure.peakAt = now;
            continue;
        }
        // Single long prompts are no burst, so each look counts in part.
        pressure.present += 0.25 * (load.queueSeconds - pressure.present);
        const bool held = now - pressure.peakAt < internal::pressureHeld;
        const double faded =
            held ? pressure.queueSeconds : pressure.queueSeconds * std::exp2(-secondsBetween(pressure.at, now) / internal::pressureHalfLifeSeconds);
        const double fadedRunning = pressure.running * std::exp2(-secondsBetween(pressure.at, now) / internal::runningHalfLifeSeconds);
        pressure.running = std::max(fadedRunning, pressure.running + 0.1 * (load.running - pressure.running));
        pressure.at = now;
        pressure.queueSeconds = std::max(faded, pressure.present);
        if (pressure.present >= faded) {
            pressure.peakAt = now;
        }
    }
}

void FleetPlanner::startOfLoad(const StringMap<PoolLoad> &loads, SteadyTime now)
{
    m_loaded = true;
    // A plan that begins under load finds a fleet whose size answers the queues of the time before.
    const double queueSeconds = m_pressures.empty() ? 0 : internal::pressureAtStart;
    // The first requests are few at any load, so the fleet that was there counts as needed and fades like a load that has passed.
    for (const auto &[pool, load] : loads) {
        auto &pressure = m_pressures.try_emplace(pool, Pressure{queueSeconds, 0, 0, now, now}).first->second;
        const auto start = m_starts.find(pool);
        if (start != m_starts.end()) {
            pressure.running = internal::runningPerUpstream * start->second.perDataCentre * static_cast<double>(start->second.dataCentres);
        }
    }
}

std::uint32_t FleetPlanner::cheapWanted(const UpstreamPool &pool, std::size_t dataCentres) const
{
    const auto it = m_pressures.find(pool.id);
    const double running = it == m_pressures.end() ? 0 : it->second.running;
    const double ordinary = running / (internal::runningPerUpstream * static_cast<double>(std::max<std::size_t>(1, dataCentres)));
    double base = std::max<double>(internal::leastCheapPerDataCentre, std::ceil(ordinary));
    if (!m_loaded) {
        // Before the first requests, the fleet that was there says best what will be needed.
        const auto start = m_starts.find(pool.id);
        base = std::max<double>(base, start == m_starts.end() ? 0 : start->second.perDataCentre);
    }
    const double further = pressureOf(pool.id) / internal::queueSecondsPerCheap * base / internal::leastCheapPerDataCentre;
    return static_cast<std::uint32_t>(base + std::floor(further));
}

double FleetPlanner::pressureOf(const PoolId &pool) const
{
    const auto it = m_pressures.find(pool);
    return it == m_pressures.end() ? internal::pressureAtStart : it->second.queueSeconds;
}

bool FleetPlanner::unavailable(const Key &key, SteadyTime now) const
{
    const auto it = m_ordered.find(key);
    return it != m_ordered.end() && now < it->second.unavailableUntil;
}

std::map<DataCentreId, FleetPlanner::Place> FleetPlanner::places(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now) const
{
    std::map<DataCentreId, Place> result;
    for (const auto &[dataCentre, price] : pool.scaling->prices) {
        result[dataCentre];
    }
    for (const auto &[id, it] : configuration.upstreams) {
        if (it.pool == pool.id && !it.leaving) {
            auto &place = result[it.dataCentre];
            ++(it.kind == UpstreamKind::Cheap ? place.present.cheap : place.present.durable);
        }
    }
    for (auto &[dataCentre, place] : result) {
        place.shortage = unavailable({pool.id, dataCentre, UpstreamKind::Cheap}, now);
    }
    return result;
}

void FleetPlanner::noteStart(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now)
{
    if (m_loaded) {
        return;
    }
    const auto all = places(pool, configuration, now);
    const auto [it, first] = m_starts.try_emplace(pool.id);
    auto &start = it->second;
    start.dataCentres = all.size();
    for (const auto &[dataCentre, place] : all) {
        // Cheap ones that come later were ordered by this plan beside the durable ones that they replace.
        start.perDataCentre = std::max(start.perDataCentre, place.present.durable + (first ? place.present.cheap : 0));
    }
}

std::vector<FleetSize> FleetPlanner::plan(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now) const
{
    const auto &limits = *pool.scaling;
    auto all = places(pool, configuration, now);
    const auto wanted = cheapWanted(pool, all.size());
    // What one data centre lacks, another one is asked for.
    std::uint32_t missing = 0;
    for (auto &[dataCentre, place] : all) {
        // Both kinds together have a limit, so that cheap ones can only come for as many as there is room now.
        place.room = limits.most - std::min(limits.most, place.present.durable);
        place.cheap = std::min(wanted, place.room);
        if (place.shortage) {
            missing += place.cheap - std::min(place.cheap, place.present.cheap);
        }
    }
    for (bool given = true; missing > 0 && given;) {
        given = false;
        for (auto &[dataCentre, place] : all) {
            if (missing > 0 && !place.shortage && place.cheap < place.room) {
                ++place.cheap;
                --missing;
                given = true;
            }
        }
    }
    const bool standIn = missing > 0 && pressureOf(pool.id) >= internal::pressureForDurable;
    const auto durable = standIn ? static_cast<std::uint32_t>(std::ceil(missing * internal::durablePerMissing / static_cast<double>(all.size()))) : 0;
    std::vector<FleetSize> result;
    for (const auto &[dataCentre, place] : all) {
        if (!place.shortage) {
            result.push_back({pool.id, dataCentre, UpstreamKind::Cheap, place.cheap});
        } else if (place.present.cheap < wanted) {
            // Asks again from time to time, whether the shortage is over.
            result.push_back({pool.id, dataCentre, UpstreamKind::Cheap, std::min(wanted, place.room)});
        }
        // Durable upstreams go only when the cheap ones that take their place have come.
        const bool replaced = place.present.cheap >= std::min(wanted, place.room) || place.present.durable <= durable;
        result.push_back({pool.id, dataCentre, UpstreamKind::Durable, replaced ? std::min(durable, limits.most) : place.present.durable});
    }
    return result;
}

std::optional<FleetSize> FleetPlanner::nextOrder(const Configuration &configuration, SteadyTime now)
{
    for (const auto &[id, pool] : configuration.pools) {
        if (!pool.scaling) {
            continue;
        }
        noteStart(pool, configuration, now);
        for (const auto &wanted : plan(pool, configuration, now)) {
            auto &ordered = m_ordered[{wanted.pool, wanted.dataCentre, wanted.kind}];
            const auto present = static_cast<std::uint32_t>(std::ranges::count_if(configuration.upstreams, [&](const auto &it) {
                return it.second.pool == wanted.pool && it.second.dataCentre == wanted.dataCentre && it.second.kind == wanted.kind && !it.second.leaving;
            }));
            const bool lost = present < ordered.present;
            ordered.present = present;
            // An order that was accepted is given again when its upstreams do not come, or when some have gone.
            const bool again = present < wanted.count && (now >= ordered.repeatAt || lost);
            const bool changed = ordered.count != wanted.count && (ordered.count || present != wanted.count);
            if (now >= ordered.notBefore && (changed || again)) {
                return wanted;
            }
        }
    }
    return std::nullopt;
}

void FleetPlanner::onOutcome(const FleetSize &order, FleetSizeOutcome outcome, SteadyTime now)
{
    auto &ordered = m_ordered[{order.pool, order.dataCentre, order.kind}];
    switch (outcome) {
    case FleetSizeOutcome::Accepted:
        ordered.count = order.count;
        ordered.notBefore = now + internal::orderInterval;
        ordered.repeatAt = now + internal::repeatAfter;
        ordered.unavailableUntil = {};
        break;
    case FleetSizeOutcome::Unavailable:
        // Counts as a shortage a little longer than it takes to ask again.
        ordered.unavailableUntil = now + internal::retryAfterShortage + internal::orderInterval;
        ordered.notBefore = now + internal::retryAfterShortage;
        break;
    case FleetSizeOutcome::Failed:
        ordered.notBefore = now + internal::retryAfterFailure;
        break;
    }
}

} // namespace guavafield
