// Plans and sends the orders of one data centre while this host holds its lease.
#pragma once

#include <guavafield/coordination/order/order_executor.hpp>
#include <guavafield/coordination/order/order_planner.hpp>
#include <guavafield/transport/durable/lease_driver.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace guavafield {

/*! @brief Posts the body of an order to an upstream's /control/order. */
using UpstreamOrderSender = std::function<boost::asio::awaitable<OrderOutcome>(UpstreamId upstream, std::string body)>;
/*! @brief Returns the actual state and the demand; called on the service's strand. Availability and orders on the way are filled in by it. */
using SituationSource = std::function<OrderPlannerInput()>;

/*! @brief What the service is created with. */
struct OrderServiceSettings
{
    DataCentreId dataCentre;
    LeaseHolder self;
    WeightLimit weights;
    Milliseconds planEvery{10'000};
    // A new holder does not know what was ordered and is not visible yet.
    Milliseconds planAfterTakeOver{60'000};
    // An ordered upstream that is not visible by then is ordered again.
    Milliseconds startLimit{600'000};
    // A load that is not visible by then is ordered again.
    Milliseconds loadLimit{300'000};
    // How long cheap upstreams count as unavailable after the platform said so.
    Milliseconds unavailableFor{120'000};
};

/*! @brief Runs a planner and an executor on a strand of its own. Safe to call from any thread. Create it with std::make_shared. */
class OrderService : public std::enable_shared_from_this<OrderService>
{
public:
    /*! @param client Outlives the service's coroutines, as do clock and counters. */
    OrderService(const boost::asio::any_io_executor &executor,
                 PlatformClient &client,
                 const Clock &clock,
                 Counters &counters,
                 OrderServiceSettings settings,
                 UpstreamOrderSender sender,
                 SituationSource situation);

    void start();
    /*! @brief Ends sending and releases the lease; returns when that is done, or at the limit. */
    [[nodiscard]] boost::asio::awaitable<void> stop(Milliseconds limit);
    /*! @brief Takes the hosts that may hold the lease. */
    void setCandidates(std::vector<HostId> candidates);
    /*! @brief An operator confirms that a life of a host will never send again. */
    void confirmGone(LeaseHolder holder);

private:
    // Upstreams that were ordered and are not visible yet.
    struct Expected
    {
        UpstreamKind kind{UpstreamKind::Durable};
        std::uint32_t count{0};
        // All have arrived when so many of the kind are visible.
        std::size_t visible{0};
        SteadyTime until{};
    };

    [[nodiscard]] boost::asio::awaitable<void> run();
    [[nodiscard]] boost::asio::awaitable<void> perform(OrderAction action);
    [[nodiscard]] boost::asio::awaitable<OrderOutcome> send(SendOrderAction action);
    [[nodiscard]] boost::asio::awaitable<OrderOutcome> sendToPlatform(std::string id, FleetOrder order, Fence fence);
    void plan(SteadyTime now);
    void expect(const FleetOrder &order);
    // Removes loads that were ordered lately and may still be running.
    void removeRunningLoads(std::vector<Order> &orders, SteadyTime now);

    boost::asio::any_io_executor m_strand;
    PlatformClient &m_client;
    const Clock &m_clock;
    Counters &m_counters;
    OrderServiceSettings m_settings;
    UpstreamOrderSender m_sender;
    SituationSource m_situation;
    std::shared_ptr<LeaseDriver> m_lease;
    OrderExecutor m_executor;
    std::vector<Expected> m_expected;
    // Upstream and model of loads that were ordered, and until when they may be running.
    std::map<std::pair<UpstreamId, ModelId>, SteadyTime> m_loads;
    std::optional<Fence> m_fence;
    SteadyTime m_nextPlan{};
    SteadyTime m_cheapFrom{};
    bool m_ended{false};
};

} // namespace guavafield
