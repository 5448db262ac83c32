// How many upstreams of a pool each data centre should have.
#pragma once

#include <guavafield/coordination/request/placement.hpp>
#include <guavafield/state/configuration.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace guavafield {

/*! @brief An order for the number of upstreams of one kind. */
struct FleetSize
{
    PoolId pool;
    DataCentreId dataCentre;
    UpstreamKind kind{UpstreamKind::Durable};
    std::uint32_t count{0};

    friend auto operator<=>(const FleetSize &, const FleetSize &) = default;
};

/*! @brief Upstreams of a pool in one data centre that take work or will. */
struct FleetCounts
{
    std::uint32_t durable{0};
    std::uint32_t cheap{0};
};

/*! @brief Answer to an order. */
enum class FleetSizeOutcome : std::uint8_t {
    Accepted,
    // None of this kind is to be had at the moment.
    Unavailable,
    // Not accepted, or the answer was lost; the same order may be given again.
    Failed,
};

/*!
 * @brief Plans the fleet of all pools that can be ordered, and remembers what was ordered.
 *
 * Cheap upstreams do the work: when those of one data centre are reclaimed at once, others are asked for more. Durable ones stand in while
 * no cheap ones are to be had anywhere and prompts wait. Not safe for several threads.
 */
class FleetPlanner
{
public:
    /*! @brief Takes the present load of the pools; several times a second. */
    void onLoads(const Configuration &configuration, const StringMap<PoolLoad> &loads, SteadyTime now);
    /*! @brief Returns the next order; empty if the fleet is as planned. */
    [[nodiscard]] std::optional<FleetSize> nextOrder(const Configuration &configuration, SteadyTime now);
    void onOutcome(const FleetSize &order, FleetSizeOutcome outcome, SteadyTime now);

private:
    struct Ordered
    {
        std::optional<std::uint32_t> count;
        // Upstreams of this kind at the last look.
        std::uint32_t present{0};
        SteadyTime notBefore{};
        SteadyTime repeatAt{};
        // None were to be had until then, as far as known.
        SteadyTime unavailableUntil{};
    };

    // A data centre in the plan.
    struct Place
    {
        FleetCounts present;
        // No cheap upstreams are to be had.
        bool shortage{false};
        // Cheap upstreams that fit beside the durable ones, and those that are planned.
        std::uint32_t room{0};
        std::uint32_t cheap{0};
    };

    using Key = std::tuple<PoolId, DataCentreId, UpstreamKind>;

    [[nodiscard]] std::map<DataCentreId, Place> places(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now) const;
    [[nodiscard]] std::vector<FleetSize> plan(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now) const;
    [[nodiscard]] bool unavailable(const Key &key, SteadyTime now) const;

    // Pressure of a pool: the highest queue of the last seconds, which is held and then fades.
    struct Pressure
    {
        double queueSeconds{0};
        // The queue of the last looks.
        double present{0};
        // Requests that run at once, fading.
        double running{0};
        SteadyTime at{};
        SteadyTime peakAt{};
    };

    // The fleet that was there before the first requests or, if the plan began under load, at the first look.
    struct Start
    {
        // Most upstreams of a data centre.
        std::uint32_t perDataCentre{0};
        std::size_t dataCentres{1};
    };

    void startOfLoad(const StringMap<PoolLoad> &loads, SteadyTime now);
    [[nodiscard]] double pressureOf(const PoolId &pool) const;
    [[nodiscard]] std::uint32_t cheapWanted(const UpstreamPool &pool, std::size_t dataCentres) const;
    void noteStart(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now);

    std::map<Key, Ordered> m_ordered;
    StringMap<Pressure> m_pressures;
    StringMap<Start> m_starts;
    // Requests have run.
    bool m_loaded{false};
};

} // namespace guavafield
