// Assembly and end of the request path.
#include <guavafield/transport/http/request_path.hpp>

#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// A configuration whose owner forgot to announce it is applied within this time.
constexpr Milliseconds maintenanceInterval{500};
// Requests that are ended by the limit of the shutdown get this long to tell their callers.
constexpr Milliseconds endingTime{1'000};
constexpr Milliseconds drainCheck{10};
// Requests that come in the rest of the listeners' time are refused, as they may not end within the shutdown.
constexpr double servedListenFraction = 0.75;

} // namespace internal

RequestPath::RequestPath(RequestPathDependencies dependencies)
    : m_context(std::make_shared<PathContext>(
        dependencies.executor, dependencies.settings, dependencies.clock, dependencies.counters, dependencies.configuration, std::move(dependencies.hooks)))
    , m_server(std::make_shared<CallerServer>(
          m_context, asio::ip::tcp::endpoint(asio::ip::make_address(dependencies.settings.listen.address), dependencies.settings.listen.callerPort)))
    , m_poller(std::make_shared<LoadPoller>(m_context))
    , m_prober(std::make_shared<ConnectionProber>(m_context))
{
}

void RequestPath::start()
{
    configurationChanged();
    m_server->start();
    m_prober->start();
    asio::co_spawn(
        asio::make_strand(m_context->executor), [self = shared_from_this()] { return self->runMaintenance(); }, asio::detached);
    const auto local = m_server->endpoint();
    logEvent(LogLevel::Info, "http:", {}, "listening for callers on " + local.address().to_string() + " port " + std::to_string(local.port()));
}

void RequestPath::configurationChanged()
{
    const std::scoped_lock lock(m_applyMutex);
    auto configuration = m_context->configuration->load();
    if (configuration == m_applied) {
        return;
    }
    m_context->keys.applyConfiguration(*configuration);
    m_context->driver->applyConfiguration(*configuration);
    m_poller->applyConfiguration(*configuration);
    m_applied = std::move(configuration);
}

void RequestPath::configurationConfirmed(SteadyTime at)
{
    m_context->age.confirm(at);
}

void RequestPath::upstreamsConfirmed(SteadyTime at)
{
    m_context->upstreamsAge.confirm(at);
}

void RequestPath::closeKey(std::string_view key)
{
    logEvent(LogLevel::Info, "http:", {}, "closing requests of withdrawn key " + std::string(key));
    m_context->keys.close(key);
}

std::string RequestPath::formatGauges()
{
    std::size_t queued = 0;
    m_context->driver->withScheduler([&](const RequestScheduler &scheduler, SteadyTime /*now*/) { queued = scheduler.queued(); });
    std::string text;
    const auto append = [&](std::string_view name, std::string_view help, std::size_t value) {
        text.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ").append(name).append(" gauge\n");
        text.append(name).append(" ").append(std::to_string(value)).append("\n");
    };
    append("guavafield_requests_in_flight", "Requests in flight", requestsInFlight());
    append("guavafield_requests_waiting", "Requests that wait for an upstream", queued);
    append("guavafield_connections_open", "Open connections of callers", m_server->connections());
    append("guavafield_request_bytes_held", "Memory of requests that are received or run", m_context->requests.held());
    append("guavafield_data_centres_evacuated", "Data centres whose upstreams get no requests", m_context->currentConfiguration()->evacuated.size());
    return text + m_context->latencies.format();
}

void RequestPath::beginDrain()
{
    m_context->draining.store(true, std::memory_order_release);
}

asio::awaitable<bool> RequestPath::stop()
{
    const auto self = shared_from_this();
    const auto &shutdown = m_context->settings.shutdown;
    const auto begin = std::chrono::steady_clock::now();
    beginDrain();
    const auto listenTime = std::min(shutdown.listenerCloseDelay, shutdown.shutdownTimeout);
    const auto serveTime = std::chrono::duration_cast<Milliseconds>(listenTime * internal::servedListenFraction);
    co_await sleepFor(serveTime);
    m_context->refusing.store(true, std::memory_order_release);
    co_await sleepFor(listenTime - serveTime);
    m_server->stopListening();
    const auto spent = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin);
    const auto noRequests = [this] { return requestsInFlight() == 0; };
    const bool drained = co_await waitUntil(noRequests, shutdown.shutdownTimeout - spent);
    if (!drained) {
        logEvent(LogLevel::Warning, "http:", {}, "the shutdown limit ends " + std::to_string(requestsInFlight()) + " requests");
        m_context->keys.notifyAll(HostEnding{});
        std::ignore = co_await waitUntil(noRequests, internal::endingTime);
    }
    m_stopped.store(true, std::memory_order_release);
    m_server->closeIdle();
    std::ignore = co_await waitUntil([this] { return m_server->connections() == 0; }, internal::endingTime);
    m_poller->stop();
    m_prober->stop();
    m_context->driver->stop();
    m_context->pool.clear();
    co_return drained;
}

asio::awaitable<bool> RequestPath::waitUntil(std::function<bool()> condition, Milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    asio::steady_timer timer(m_context->executor);
    boost::system::error_code ec;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            co_return false;
        }
        timer.expires_after(internal::drainCheck);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return true;
}

asio::awaitable<void> RequestPath::runMaintenance()
{
    const auto self = shared_from_this();
    asio::steady_timer timer(m_context->executor);
    boost::system::error_code ec;
    while (!m_stopped.load(std::memory_order_acquire)) {
        configurationChanged();
        m_context->pool.closeStale();
        timer.expires_after(internal::maintenanceInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

} // namespace guavafield
