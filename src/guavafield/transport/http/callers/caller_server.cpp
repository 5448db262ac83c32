// Accepting of connections and their limit.
#include <guavafield/transport/http/callers/caller_server.hpp>

#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// Refusals are connections too; above this number further ones are closed without an answer.
constexpr std::size_t maxRefusals = 64;
// After a failed accept, e.g. for lack of file descriptors, the next one would fail at once too.
constexpr Milliseconds acceptPause{100};

} // namespace internal

CallerServer::CallerServer(std::shared_ptr<PathContext> context, const asio::ip::tcp::endpoint &endpoint)
    : m_context(std::move(context)), m_acceptor(asio::make_strand(m_context->executor), endpoint), m_endpoint(m_acceptor.local_endpoint())
{
}

void CallerServer::start()
{
    asio::co_spawn(
        m_acceptor.get_executor(), [self = shared_from_this()] { return self->accept(); }, asio::detached);
}

void CallerServer::stopListening()
{
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        self->takeWaiting();
        boost::system::error_code ec;
        self->m_acceptor.close(ec);
    });
}

void CallerServer::takeWaiting()
{
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        asio::ip::tcp::socket socket(asio::make_strand(m_context->executor));
        m_acceptor.accept(socket, ec);
        if (!ec) {
            take(std::move(socket));
        }
    }
}

void CallerServer::closeIdle()
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &it : m_connections) {
        it->closeIfIdle();
    }
}

std::size_t CallerServer::connections() const
{
    const std::scoped_lock lock(m_mutex);
    return m_connections.size();
}

asio::awaitable<void> CallerServer::accept()
{
    const auto self = shared_from_this();
    asio::steady_timer pause(m_acceptor.get_executor());
    while (m_acceptor.is_open()) {
        asio::ip::tcp::socket socket(asio::make_strand(m_context->executor));
        boost::system::error_code ec;
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            take(std::move(socket));
        } else if (m_acceptor.is_open()) {
            logEvent(LogLevel::Warning, "http:", {}, "accept failed: " + ec.message());
            pause.expires_after(internal::acceptPause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
    }
}

void CallerServer::take(asio::ip::tcp::socket socket)
{
    m_context->counters->add(CounterId::ConnectionsAccepted);
    const auto strand = socket.get_executor();
    auto connection = std::make_shared<CallerConnection>(m_context, std::move(socket));
    const std::scoped_lock lock(m_mutex);
    if (m_connections.size() < m_context->connectionLimit() || evictSilent()) {
        m_connections.insert(connection);
        asio::co_spawn(
            strand, [self = shared_from_this(), connection] { return self->serve(connection); }, asio::detached);
    } else if (m_refusing.load(std::memory_order_relaxed) < internal::maxRefusals) {
        m_refusing.fetch_add(1, std::memory_order_relaxed);
        asio::co_spawn(
            strand, [self = shared_from_this(), connection] { return self->refuse(connection); }, asio::detached);
    }
}

bool CallerServer::evictSilent()
{
    std::shared_ptr<CallerConnection> oldest;
    std::optional<SteadyTime> oldestSince;
    for (const auto &it : m_connections) {
        const auto since = m_evicted.contains(it) ? std::nullopt : it->silentSince();
        if (since && (!oldestSince || *since < *oldestSince)) {
            oldest = it;
            oldestSince = since;
        }
    }
    if (!oldest || m_evicted.size() >= internal::maxRefusals) {
        return false;
    }
    m_evicted.insert(oldest);
    oldest->evict();
    return true;
}

asio::awaitable<void> CallerServer::serve(std::shared_ptr<CallerConnection> connection)
{
    const auto self = shared_from_this();
    co_await connection->run();
    const std::scoped_lock lock(m_mutex);
    m_connections.erase(connection);
    m_evicted.erase(connection);
}

asio::awaitable<void> CallerServer::refuse(std::shared_ptr<CallerConnection> connection)
{
    const auto self = shared_from_this();
    co_await connection->refuse(ResultCode::TooManyConnections);
    m_refusing.fetch_sub(1, std::memory_order_relaxed);
}

} // namespace guavafield
