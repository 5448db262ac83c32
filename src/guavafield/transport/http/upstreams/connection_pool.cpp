// Taking and returning of idle connections.
#include <guavafield/transport/http/upstreams/connection_pool.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <iterator>

namespace guavafield {

namespace internal {

// Without a sign of life a connection ends after this time, whatever the number of probes: a sound upstream may be silent for more than a second, and two
// probes have to be lost.
constexpr int silenceMilliseconds = 2'500;
constexpr int probeSeconds = 1;
// A connection is given up before the upstream closes it, so that no request crosses its close.
constexpr Milliseconds closingMargin{1'000};

std::uint64_t hashOf(std::string_view request) noexcept
{
    return XXH3_64bits(request.data(), request.size());
}

void setTcpOption(int socket, int option, int value) noexcept
{
    ::setsockopt(socket, IPPROTO_TCP, option, &value, sizeof(value));
}

} // namespace internal

void UpstreamConnection::detectDeadPeer()
{
    const auto handle = socket.native_handle();
    boost::system::error_code ec;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ec);
    internal::setTcpOption(handle, TCP_KEEPIDLE, internal::probeSeconds);
    internal::setTcpOption(handle, TCP_KEEPINTVL, internal::probeSeconds);
    internal::setTcpOption(handle, TCP_USER_TIMEOUT, internal::silenceMilliseconds);
    // Growing pauses between retransmissions would miss the end of a silence.
    internal::setTcpOption(handle, TCP_THIN_LINEAR_TIMEOUTS, 1);
}

void UpstreamConnection::keepFor(const boost::beast::http::fields &header)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view value = header[boost::beast::http::field::keep_alive];
    const auto at = value.find(parameter);
    long seconds = 0;
    if (at != std::string_view::npos && std::from_chars(value.data() + at + parameter.size(), value.data() + value.size(), seconds).ec == std::errc()) {
        keepAlive = std::chrono::seconds{seconds};
    }
}

bool UpstreamConnection::expires(SteadyTime now) const noexcept
{
    return keepAlive && now - idleSince + internal::closingMargin >= *keepAlive;
}

void UpstreamConnection::carry(std::string_view request)
{
    requests.push_back(internal::hashOf(request));
}

bool UpstreamConnection::hasCarried(std::string_view request) const noexcept
{
    return std::ranges::find(requests, internal::hashOf(request)) != requests.end();
}

bool ConnectionPool::isStale(const UpstreamConnection &connection, SteadyTime now) const noexcept
{
    return connection.idleSince < now - m_settings.idleTime || connection.expires(now);
}

std::unique_ptr<UpstreamConnection> ConnectionPool::takeIdle(const ConnectionTarget &target, std::string_view request)
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    const auto found = m_idle.find(target);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    for (auto n = connections.size(); n > 0; --n) {
        const auto it = connections.begin() + static_cast<std::ptrdiff_t>(n - 1);
        if ((*it)->hasCarried(request)) {
            continue;
        }
        auto connection = std::move(*it);
        connections.erase(it);
        // Bytes on an idle connection are an answer that nobody waits for, so the next answer could not be told from it.
        if (!isStale(*connection, now) && peek(connection->socket) == PeekResult::Nothing) {
            return connection;
        }
    }
    if (connections.empty()) {
        m_idle.erase(found);
    }
    return nullptr;
}

std::unique_ptr<UpstreamConnection> ConnectionPool::makeUnconnected() const
{
    return std::make_unique<UpstreamConnection>(m_executor);
}

void ConnectionPool::giveBack(const ConnectionTarget &target, std::unique_ptr<UpstreamConnection> connection)
{
    if (!connection->socket.is_open() || connection->buffer.size() > 0 || connection->requests.size() >= m_settings.requestsPerConnection) {
        return;
    }
    connection->idleSince = std::chrono::steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    auto &connections = m_idle[target];
    if (connections.size() < m_settings.idlePerUpstream) {
        connections.push_back(std::move(connection));
    }
}

void ConnectionPool::closeStale()
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second, [&](const auto &connection) { return isStale(*connection, now); });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

void ConnectionPool::clear()
{
    const std::scoped_lock lock(m_mutex);
    m_idle.clear();
}

PeekResult peek(boost::asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        return PeekResult::Bytes;
    }
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? PeekResult::Nothing : PeekResult::Closed;
}

} // namespace guavafield
