// The request path as one part: callers' listener, scheduler, engines' polling, and their orderly end.
#pragma once

#include <guavafield/transport/http/callers/caller_server.hpp>
#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/http/upstreams/connection_prober.hpp>
#include <guavafield/transport/http/upstreams/load_poller.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string_view>

namespace guavafield {

/*! @brief What the request path is created with; everything referred to outlives the io_context's work. */
struct RequestPathDependencies
{
    boost::asio::any_io_executor executor;
    const DaemonSettings &settings;
    const Clock &clock;
    Counters &counters;
    const SnapshotCell<Configuration> &configuration;
    PathHooks hooks;
};

/*! @brief Serves callers. Safe to use from several threads. */
class RequestPath : public std::enable_shared_from_this<RequestPath>
{
public:
    /*! @brief Opens the listener; throws boost::system::system_error if the address cannot be used. */
    explicit RequestPath(RequestPathDependencies dependencies);

    void start();

    /*! @brief Applies the configuration in the cell; to be called after each store. A periodic check makes up for a missed call. */
    void configurationChanged();
    /*! @brief Notes that the configuration in force was confirmed as the newest at this time. */
    void configurationConfirmed(SteadyTime at);
    /*! @brief Notes that the list of upstreams in force was confirmed as the newest at this time. */
    void upstreamsConfirmed(SteadyTime at);
    /*! @brief Withdraws a key ahead of the configuration. */
    void closeKey(std::string_view key);

    /*! @brief Makes answers end their connections; the first step of a graceful shutdown. */
    void beginDrain();
    /*!
     * @brief Ends the request path: waits for the load balancer, refuses new requests, lets those in flight end.
     *
     * After the limit of the settings the rest is ended with an error. Returns whether no request was interrupted.
     */
    [[nodiscard]] boost::asio::awaitable<bool> stop();

    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const noexcept
    {
        return m_server->endpoint();
    }
    [[nodiscard]] RequestDriver &driver() noexcept
    {
        return *m_context->driver;
    }
    /*! @brief Returns whether new requests are refused, since the host stops. */
    [[nodiscard]] bool refusing() const noexcept
    {
        return m_context->refusing.load(std::memory_order_acquire);
    }
    /*! @brief Returns the gauges of the request path in the metrics' text format. */
    [[nodiscard]] std::string formatGauges();
    [[nodiscard]] std::size_t requestsInFlight() const noexcept
    {
        return m_context->places.taken();
    }
    [[nodiscard]] bool configurationTooOld() const noexcept
    {
        return m_context->age.tooOld(m_context->clock->now());
    }

    /*! @brief Returns the bytes of answers that are being collected. */
    [[nodiscard]] std::uint64_t heldAnswerBytes() const noexcept
    {
        return m_context->answers.held();
    }

private:
    // Applies configurations that were not announced and closes stale connections, again and again.
    [[nodiscard]] boost::asio::awaitable<void> runMaintenance();
    // Waits until a condition holds; false if the time ended first.
    [[nodiscard]] boost::asio::awaitable<bool> waitUntil(std::function<bool()> condition, Milliseconds limit);

    std::shared_ptr<PathContext> m_context;
    std::shared_ptr<CallerServer> m_server;
    std::shared_ptr<LoadPoller> m_poller;
    std::shared_ptr<ConnectionProber> m_prober;
    std::mutex m_applyMutex;
    // Guarded by m_applyMutex.
    std::shared_ptr<const Configuration> m_applied;
    std::atomic<bool> m_stopped{false};
};

} // namespace guavafield
