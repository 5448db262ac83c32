// Carries out the actions of one lease keeper through the platform client.
#pragma once

#include <guavafield/coordination/lease/lease_client.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/transport/platform/table_access.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <span>
#include <vector>

namespace guavafield {

/*!
 * @brief Runs a lease keeper on a strand.
 *
 * All members but the constructor are to be used on that strand. Create it with std::make_shared.
 */
class LeaseDriver : public std::enable_shared_from_this<LeaseDriver>
{
public:
    /*!
     * @param strand Serializes all uses of the keeper.
     * @param table Where the lease's row is; what it refers to outlives the driver's coroutines, as do clock and counters.
     */
    LeaseDriver(boost::asio::any_io_executor strand, TableAccess table, const Clock &clock, Counters &counters, LeaseSettings settings);

    /*! @brief Takes part in the lease until stop() has returned. */
    void start();
    /*! @brief Releases the lease; returns when the row no longer names this host, or at the limit. */
    [[nodiscard]] boost::asio::awaitable<void> stop(Milliseconds limit);
    /*! @brief Takes the hosts that may hold the lease. */
    void setCandidates(std::span<const HostId> candidates);

    [[nodiscard]] LeaseClient &keeper() noexcept
    {
        return m_keeper;
    }

private:
    [[nodiscard]] boost::asio::awaitable<void> run();
    [[nodiscard]] boost::asio::awaitable<void> transact(Transaction transaction);
    [[nodiscard]] boost::asio::awaitable<void> read(std::vector<RowKey> keys);
    [[nodiscard]] boost::asio::awaitable<void> listHosts();
    void perform(std::vector<LeaseAction> actions);
    void report(const LeaseChanged &change);

    boost::asio::any_io_executor m_strand;
    TableAccess m_table;
    const Clock &m_clock;
    Counters &m_counters;
    LeaseSettings m_settings;
    LeaseClient m_keeper;
    bool m_stopping{false};
    bool m_ended{false};
};

} // namespace guavafield
