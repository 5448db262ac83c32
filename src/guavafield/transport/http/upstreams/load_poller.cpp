// Polling loops.
#include <guavafield/transport/http/upstreams/load_poller.hpp>

#include <guavafield/protocol/chat/engine_report.hpp>
#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/http/upstreams/engine_probe.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <xxhash.h>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// Spreads the polls of all hosts and engines over the interval.
Milliseconds pollPhase(const HostId &host, const UpstreamId &upstream, Milliseconds interval)
{
    const auto text = host + "/" + upstream;
    return Milliseconds{static_cast<Milliseconds::rep>(XXH3_64bits(text.data(), text.size()) % static_cast<std::uint64_t>(interval.count()))};
}

} // namespace internal

LoadPoller::LoadPoller(std::shared_ptr<PathContext> context) : m_context(std::move(context)) { }

void LoadPoller::applyConfiguration(const Configuration &configuration)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &[id, upstream] : configuration.upstreams) {
        const bool engine = !upstream.models.empty() && upstream.dataCentre == m_context->settings.host.dataCentre;
        if (engine && !m_stopped && m_polled.insert(id).second) {
            const asio::any_io_executor strand = asio::make_strand(m_context->executor);
            asio::co_spawn(
                strand, [self = shared_from_this(), id = id, strand] { return self->poll(id, strand); }, asio::detached);
        }
    }
}

void LoadPoller::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_stopped = true;
}

bool LoadPoller::wanted(const UpstreamId &id)
{
    const auto configuration = m_context->configuration->load();
    const auto it = configuration->upstreams.find(id);
    const bool known = it != configuration->upstreams.end() && !it->second.models.empty();
    const std::scoped_lock lock(m_mutex);
    if (!m_stopped && known) {
        return true;
    }
    m_polled.erase(id);
    return false;
}

asio::awaitable<void> LoadPoller::poll(UpstreamId id, asio::any_io_executor strand)
{
    const auto self = shared_from_this();
    const auto interval = m_context->settings.upstream.loadPollInterval;
    asio::steady_timer timer(strand);
    timer.expires_after(internal::pollPhase(m_context->settings.host.id, id, interval));
    std::uint64_t after = 0;
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    while (wanted(id)) {
        timer.expires_after(interval);
        const auto configuration = m_context->currentConfiguration();
        if (const auto it = configuration->upstreams.find(id); it != configuration->upstreams.end()) {
            const auto upstream = it->second;
            co_await readLoad(upstream, strand);
            co_await readCacheEvents(upstream, strand, after);
        }
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<void> LoadPoller::readLoad(const Upstream &upstream, asio::any_io_executor strand)
{
    const auto endpoint = endpointOf(upstream.address, upstream.port);
    if (!endpoint) {
        co_return;
    }
    ConnectionTarget engine{upstream.id, *endpoint};
    const auto body = co_await getControl(m_context, strand, std::move(engine), "/control/load");
    if (!body) {
        logEvent(LogLevel::Debug, "http:", {}, "no load report from upstream " + upstream.id);
        co_return;
    }
    const auto report = capture([&] { return parseLoadReport(*body); });
    if (!report) {
        logEvent(LogLevel::Warning, "http:", {}, "malformed load report from upstream " + upstream.id + ", " + report.error.place);
        co_return;
    }
    m_context->engines.set(upstream.id, report.value->incarnation);
    m_context->driver->onLoadReport(upstream.id, *report.value);
}

asio::awaitable<void> LoadPoller::readCacheEvents(const Upstream &upstream, asio::any_io_executor strand, std::uint64_t &after)
{
    const auto endpoint = endpointOf(upstream.address, upstream.port);
    if (!endpoint) {
        co_return;
    }
    auto target = "/control/cache-events?after=" + std::to_string(after);
    ConnectionTarget engine{upstream.id, *endpoint};
    const auto body = co_await getControl(m_context, strand, std::move(engine), std::move(target));
    const auto page = body ? capture([&] { return parseCacheEvents(*body); }) : Outcome<CacheEventPage>{};
    if (page) {
        after = page.value->next;
        m_context->driver->onCacheEvents(upstream.id, page.value->events);
    }
}

} // namespace guavafield
