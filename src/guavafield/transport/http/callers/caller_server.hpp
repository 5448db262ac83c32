// The listener for callers.
#pragma once

#include <guavafield/transport/http/callers/caller_connection.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>

namespace guavafield {

struct PathContext;

/*! @brief Accepts callers' connections up to the limit. */
class CallerServer : public std::enable_shared_from_this<CallerServer>
{
public:
    /*! @brief Opens the listener; throws boost::system::system_error if the address cannot be used. */
    CallerServer(std::shared_ptr<PathContext> context, const boost::asio::ip::tcp::endpoint &endpoint);

    void start();
    /*! @brief Closes the listener once the connections that wait for it are accepted; from any thread. */
    void stopListening();
    /*! @brief Closes the connections on which no request is in progress or has arrived. */
    void closeIdle();

    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const noexcept
    {
        return m_endpoint;
    }
    [[nodiscard]] std::size_t connections() const;

private:
    [[nodiscard]] boost::asio::awaitable<void> accept();
    [[nodiscard]] boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection> connection);
    [[nodiscard]] boost::asio::awaitable<void> refuse(std::shared_ptr<CallerConnection> connection);
    void take(boost::asio::ip::tcp::socket socket);
    // Has the connection closed that has been silent for longest without a whole request; returns whether there is one. Needs m_mutex.
    [[nodiscard]] bool evictSilent();
    // Accepts connections that the system has established already; closing the listener would reset them.
    void takeWaiting();

    std::shared_ptr<PathContext> m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    // Those of them that are being closed to make room.
    std::set<std::shared_ptr<CallerConnection>> m_evicted;
    // Connections that are being refused.
    std::atomic<std::size_t> m_refusing{0};
};

} // namespace guavafield
