// Counts usage for the request path, flushes it, and seals and reports windows while this host holds the lease "usage".
#pragma once

#include <guavafield/coordination/usage/usage_meter.hpp>
#include <guavafield/coordination/usage/usage_sealer.hpp>
#include <guavafield/transport/durable/lease_driver.hpp>
#include <guavafield/transport/http/path_hooks.hpp>

#include <memory>
#include <vector>

namespace guavafield {

/*! @brief Runs a usage ledger and a sealer on a strand of its own. Safe to call from any thread. Create it with std::make_shared. */
class UsageService : public std::enable_shared_from_this<UsageService>
{
public:
    /*!
     * @param executor Runs the service's strand.
     * @param client Outlives the service's coroutines, as do clock and counters.
     * @param self This life of this host.
     */
    UsageService(const boost::asio::any_io_executor &executor, PlatformClient &client, const Clock &clock, Counters &counters, const LeaseHolder &self);

    void start();
    /*! @brief Flushes all figures and releases the lease; returns when that is done, or at the limit. */
    [[nodiscard]] boost::asio::awaitable<void> stop(Milliseconds limit);
    /*! @brief Returns the function that the request path calls; it keeps the service alive. */
    [[nodiscard]] UsageSink sink();
    /*! @brief Takes the hosts that may hold the lease. */
    void setCandidates(std::vector<HostId> candidates);
    /*! @brief An operator confirms that a life of a host will never report again. */
    void confirmGone(LeaseHolder holder);

private:
    [[nodiscard]] boost::asio::awaitable<void> flushLoop();
    [[nodiscard]] boost::asio::awaitable<void> sealLoop();
    [[nodiscard]] boost::asio::awaitable<void> perform(UsageAction action);
    [[nodiscard]] boost::asio::awaitable<void> report(ReportUsageAction report);
    [[nodiscard]] boost::asio::awaitable<void> stopOnStrand(Milliseconds limit);

    boost::asio::any_io_executor m_strand;
    PlatformClient &m_client;
    const Clock &m_clock;
    Counters &m_counters;
    UsageMeter m_ledger;
    std::shared_ptr<LeaseDriver> m_lease;
    UsageSealer m_sealer;
    bool m_ended{false};
};

} // namespace guavafield
