// The calls that one host makes for the fleet: usage reports and orders of upstreams, under a lease.
#pragma once

#include <guavafield/coordination/fleet/fleet_clock.hpp>
#include <guavafield/coordination/order/fleet_planner.hpp>
#include <guavafield/coordination/request/placement/placement.hpp>
#include <guavafield/coordination/usage/seal_floor.hpp>
#include <guavafield/coordination/usage/window_reporter.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/transport/durable/lease_driver.hpp>
#include <guavafield/transport/platform/table_access.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>

namespace guavafield {

/*! @brief Who makes a call, for the receiver's own check. */
struct DutyHolder
{
    HostId host;
    Fence fence{0};
    // Whether the lease is still certain to be held; asked right before a call is sent, on any thread.
    std::function<bool()> stillHeld;
};

/*! @brief The platform's calls; each ends within the time given, and is then not executed later. */
struct DutyCalls
{
    // Whether the report was accepted.
    std::function<boost::asio::awaitable<bool>(DutyHolder, BillingWindow, TeamCounts, Milliseconds timeout)> reportUsage;
    std::function<boost::asio::awaitable<FleetSizeOutcome>(DutyHolder, FleetSize, Milliseconds timeout)> orderUpstreams;
};

struct DutySettings
{
    LeaseHolder self;
    // No two holders make calls closer to each other than this.
    Milliseconds holderGap{3'000};
    std::chrono::seconds windowLength{5};
    bool reportsUsage{true};
    bool ordersUpstreams{true};
};

struct DutyDependencies
{
    boost::asio::any_io_executor strand;
    // Counts the time of a suspension.
    const Clock &clock;
    Counters &counters;
    TableAccess table;
    DutyCalls calls;
    std::function<std::shared_ptr<const Configuration>()> configuration;
    std::function<StringMap<PoolLoad>()> loads;
    // Newest version of the platform's tables that this host knows; empty before the first.
    std::function<std::optional<RowVersion>()> tableVersion;
};

/*! @brief Runs on its strand; all members are to be used there. Create it with std::make_shared. */
class DutyService : public std::enable_shared_from_this<DutyService>
{
public:
    DutyService(DutyDependencies dependencies, DutySettings settings);

    void start();
    /*! @brief Makes no further calls and releases the lease; the next holder keeps its distance by itself. */
    [[nodiscard]] boost::asio::awaitable<void> stop(Milliseconds limit);

    /*! @brief Takes a host's report; its own reports give this host's time of day. */
    void onReport(std::string_view host, Incarnation incarnation, const HostReport &report);
    void onOwnTime(WallTime wall);
    /*! @brief Returns the time of day that the hosts agree on; empty before the first report. */
    [[nodiscard]] std::optional<WallTime> agreedTime() const
    {
        return m_time.now(m_dependencies.clock.now());
    }
    /*! @brief Counts a request that an upstream began to run. */
    void onStarted(const TeamId &team);
    [[nodiscard]] std::vector<WindowCounts> ownCounts();
    /*! @brief Returns the fence under which this host holds the lease; 0 if it does not. */
    [[nodiscard]] Fence fence() const noexcept
    {
        return m_lease->keeper().fence(m_dependencies.clock.now()).value_or(0);
    }
    /*! @brief Returns the window up to which all are reported, as far as known. */
    [[nodiscard]] BillingWindow reportedUpTo() const noexcept
    {
        return m_reporter.reportedUpTo();
    }
    /*! @brief Returns the window up to which reports were sent, as far as known. */
    [[nodiscard]] BillingWindow reportSentUpTo() const noexcept
    {
        return m_reporter.reportSentUpTo();
    }
    void setCandidates(std::span<const HostId> candidates);

private:
    [[nodiscard]] boost::asio::awaitable<void> run();
    // Returns the holder if a call that begins now ends while this host holds the lease.
    [[nodiscard]] std::optional<DutyHolder> holder();
    [[nodiscard]] boost::asio::awaitable<void> handleWindow(DueWindow due);
    // Determines which windows this tenure may seal.
    [[nodiscard]] boost::asio::awaitable<void> claimSealFloor(BillingWindow dueWindow);
    [[nodiscard]] boost::asio::awaitable<void> seal(BillingWindow window);
    // Reads the seal of a window that another holder has reported or may have reported.
    [[nodiscard]] boost::asio::awaitable<void> readSeal(BillingWindow window);
    void onWindowFailed(BillingWindow window);
    [[nodiscard]] WallTime timeOfDay() const;
    [[nodiscard]] boost::asio::awaitable<void> order(FleetSize size);

    DutyDependencies m_dependencies;
    DutySettings m_settings;
    std::shared_ptr<LeaseDriver> m_lease;
    FleetClock m_time;
    WindowAggregator m_ledger;
    WindowReporter m_reporter;
    SealFloor m_floor;
    FleetPlanner m_plan;
    // Fence of the present tenure and when it was first seen.
    Fence m_fence{0};
    SteadyTime m_heldSince{};
    std::uint64_t m_turn{0};
    bool m_stopped{false};
};

} // namespace guavafield
