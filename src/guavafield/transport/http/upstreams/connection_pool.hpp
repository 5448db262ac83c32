// Idle connections to upstreams.
#pragma once

#include <guavafield/state/types.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace guavafield {

using UpstreamEndpoint = boost::asio::ip::tcp::endpoint;

/*! @brief Bytes that one connection may hold unparsed; larger than any header. */
inline constexpr std::size_t maxUnparsedBytes = std::size_t{64} * 1024;

/*! @brief An upstream and where it listens; an address may pass from one upstream to another while both are listed. */
struct ConnectionTarget
{
    UpstreamId upstream;
    UpstreamEndpoint endpoint;
    // For HEAD requests. Whether a late copy of an answer has a body depends on its request, so that one connection carries only one sort.
    bool headOnly{false};

    friend bool operator<(const ConnectionTarget &left, const ConnectionTarget &right)
    {
        return std::tie(left.endpoint, left.upstream, left.headOnly) < std::tie(right.endpoint, right.upstream, right.headOnly);
    }
};

/*! @brief What the process at the other end of a connection says of itself; a connection belongs to one process for as long as it lives. */
struct ProcessIdentity
{
    // Empty if the process does not name it.
    std::optional<Incarnation> incarnation;
};

/*! @brief A connection to an upstream; used by one exchange at a time. */
struct UpstreamConnection
{
    explicit UpstreamConnection(const boost::asio::any_io_executor &executor) : socket(executor) { }

    boost::asio::ip::tcp::socket socket;
    // Bytes received but not yet parsed; empty while the connection is idle. Bounded, since the end of a header, a chunk's extension or a trailer may
    // never come.
    boost::beast::flat_buffer buffer{maxUnparsedBytes};
    SteadyTime idleSince{};
    // The upstream closes the connection when it was idle for this long; empty if it did not say.
    std::optional<Milliseconds> keepAlive;
    // Empty until the process at the other end was asked which one it is.
    std::optional<ProcessIdentity> process;
    // Hashes of the ids of all requests sent on it. A late copy of an answer is told by its id, so that no id may be sent a second time.
    std::vector<std::uint64_t> requests;

    /*! @brief Notes that a request is sent on the connection. */
    void carry(std::string_view request);
    [[nodiscard]] bool hasCarried(std::string_view request) const noexcept;
    /*! @brief Makes the system end the connection when the other side no longer acknowledges anything. */
    void detectDeadPeer();
    /*! @brief Takes the keep-alive time from an answer's header. */
    void keepFor(const boost::beast::http::fields &header);
    /*! @brief Returns whether the upstream may close the connection at any moment. */
    [[nodiscard]] bool expires(SteadyTime now) const noexcept;
};

/*! @brief Limits of the pool. */
struct PoolSettings
{
    std::size_t idlePerUpstream{64};
    // Shorter than the usual keep-alive time of servers, so that a connection is seldom closed by the other side while it is taken.
    Milliseconds idleTime{15'000};
    // Bounds what is remembered of the requests that a connection has carried.
    std::size_t requestsPerConnection{1'000};
};

/*! @brief Keeps idle connections by upstream. Safe to use from several threads. */
class ConnectionPool
{
public:
    ConnectionPool(boost::asio::any_io_executor executor, PoolSettings settings) : m_executor(std::move(executor)), m_settings(settings) { }

    /*! @brief Returns an idle connection that has not carried the request and on which nothing has arrived, or null. */
    [[nodiscard]] std::unique_ptr<UpstreamConnection> takeIdle(const ConnectionTarget &target, std::string_view request);
    /*! @brief Returns an unconnected connection. */
    [[nodiscard]] std::unique_ptr<UpstreamConnection> makeUnconnected() const;
    /*! @brief Takes back a connection whose last answer was read as a whole. */
    void giveBack(const ConnectionTarget &target, std::unique_ptr<UpstreamConnection> connection);
    /*! @brief Closes connections that have been idle for too long. */
    void closeStale();
    /*! @brief Closes all idle connections. */
    void clear();

private:
    [[nodiscard]] bool isStale(const UpstreamConnection &connection, SteadyTime now) const noexcept;

    boost::asio::any_io_executor m_executor;
    PoolSettings m_settings;
    std::mutex m_mutex;
    // Guarded by m_mutex; the connection used last is at the back.
    std::map<ConnectionTarget, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
};

/*! @brief What a look at a socket finds without taking bytes from it. */
enum class PeekResult : std::uint8_t {
    Nothing,
    Bytes,
    Closed,
};

[[nodiscard]] PeekResult peek(boost::asio::ip::tcp::socket &socket);

} // namespace guavafield
