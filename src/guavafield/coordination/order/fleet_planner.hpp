// Plans how many upstreams of each kind every data centre should run for a pool.
#pragma once

#include <guavafield/coordination/request/placement/placement.hpp>
#include <guavafield/state/configuration.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace guavafield {

/*! @brief Order to the platform: the number of upstreams of one kind that a data centre should have for a pool. */
struct FleetSize
{
    PoolId pool;
    DataCentreId dataCentre;
    UpstreamKind kind{UpstreamKind::Durable};
    std::uint32_t count{0};

    friend auto operator<=>(const FleetSize &, const FleetSize &) = default;
};

/*! @brief Number of upstreams of a pool in one data centre that are not leaving, by kind. */
struct FleetCounts
{
    std::uint32_t durable{0};
    std::uint32_t cheap{0};
};

/*! @brief Result of ordering a fleet size. */
enum class FleetSizeOutcome : std::uint8_t {
    Accepted,
    // The platform has no upstream of this kind at the moment.
    Unavailable,
    // Rejected, or the reply was lost; repeating the same order is safe.
    Failed,
};

/*!
 * @brief Plans the fleet size of every pool with scaling limits and keeps track of the orders.
 *
 * Cheap upstreams carry the load. If one data centre loses its cheap upstreams at once, the others are asked for more. Durable upstreams
 * replace them only while cheap ones are unavailable and requests queue. Not thread-safe.
 */
class FleetPlanner
{
public:
    /*! @brief Updates the load of the pools; call several times a second. */
    void onLoads(const Configuration &configuration, const StringMap<PoolLoad> &loads, SteadyTime now);
    /*! @brief Returns the next order, or nothing if the fleet matches the plan or no order is due yet. */
    [[nodiscard]] std::optional<FleetSize> nextOrder(const Configuration &configuration, SteadyTime now);
    void onOutcome(const FleetSize &order, FleetSizeOutcome outcome, SteadyTime now);

private:
    struct LastOrder
    {
        std::optional<std::uint32_t> count;
        // Upstreams of this kind when the plan was last compared with the fleet.
        std::uint32_t lastPresent{0};
        SteadyTime notBefore{};
        SteadyTime repeatAt{};
        // The kind counts as unavailable until then.
        SteadyTime unavailableUntil{};
    };

    // State and targets of one data centre.
    struct DataCentrePlan
    {
        FleetCounts present;
        // Its upstreams get no requests.
        bool evacuated{false};
        // The platform lately had no cheap upstreams here.
        bool shortage{false};
        // Cheap upstreams that the pool's limit allows beside the durable ones.
        std::uint32_t cheapCapacity{0};
        std::uint32_t cheapTarget{0};
    };

    using Key = std::tuple<PoolId, DataCentreId, UpstreamKind>;

    [[nodiscard]] std::map<DataCentreId, DataCentrePlan> dataCentrePlans(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now) const;
    [[nodiscard]] std::vector<FleetSize> plan(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now) const;
    [[nodiscard]] bool isUnavailable(const Key &key, SteadyTime now) const;

    // Load of a pool; the pressure is the peak queue time of the last seconds, held for a while and then decaying.
    struct Pressure
    {
        double peakQueueSeconds{0};
        // Moving average of the queue time.
        double averageQueueSeconds{0};
        // Decaying peak of concurrent requests.
        double running{0};
        SteadyTime updatedAt{};
        SteadyTime peakAt{};
    };

    // The fleet before the first requests or, if the planner started under load, at its first update.
    struct InitialFleet
    {
        // Largest number of upstreams in a data centre.
        std::uint32_t perDataCentre{0};
        std::size_t dataCentres{1};
    };

    void onFirstLoad(const StringMap<PoolLoad> &loads, SteadyTime now);
    [[nodiscard]] double pressureOf(const PoolId &pool) const;
    [[nodiscard]] std::uint32_t cheapTarget(const UpstreamPool &pool, std::size_t dataCentres) const;
    void recordInitialFleet(const UpstreamPool &pool, const Configuration &configuration, SteadyTime now);

    std::map<Key, LastOrder> m_lastOrders;
    StringMap<Pressure> m_pressures;
    StringMap<InitialFleet> m_initialFleets;
    // At least one request has run.
    bool m_loadSeen{false};
};

} // namespace guavafield
