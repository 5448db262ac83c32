// The operators' port: metrics, health, readiness and administration.
#pragma once

#include <guavafield/protocol/settings/daemon_settings.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/state/key_hasher.hpp>
#include <guavafield/transport/http/operators/operator_router.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace guavafield {

/*! @brief What the operators' server is created with; everything referred to outlives the io_context's work. */
struct OperatorServerDependencies
{
    boost::asio::any_io_executor executor;
    const DaemonSettings &settings;
    Counters &counters;
    // Returns why the host is not ready; empty if it is.
    std::function<std::vector<std::string>()> unreadyReasons;
    // Further metrics in the text format; may be empty.
    std::function<std::string()> extraMetrics;
};

/*! @brief Serves operators. */
class OperatorServer : public std::enable_shared_from_this<OperatorServer>
{
public:
    /*! @brief Opens the listener; throws boost::system::system_error if the address cannot be used. */
    explicit OperatorServer(OperatorServerDependencies dependencies);

    /*! @brief Handlers of "/admin/..."; to be filled before start(). */
    [[nodiscard]] OperatorRouter &router() noexcept
    {
        return m_router;
    }
    void start();
    /*! @brief Closes the listener; from any thread. */
    void stop();

    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const noexcept
    {
        return m_endpoint;
    }

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    [[nodiscard]] boost::asio::awaitable<void> accept();
    [[nodiscard]] boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    [[nodiscard]] boost::asio::awaitable<OperatorAnswer> answer(const Request &request);
    [[nodiscard]] boost::asio::awaitable<OperatorAnswer> administer(const Request &request);
    [[nodiscard]] OperatorAnswer readiness() const;
    [[nodiscard]] bool authorized(const Request &request) const;

    OperatorServerDependencies m_dependencies;
    KeyHasher m_hasher;
    OperatorRouter m_router;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::atomic<std::size_t> m_connections{0};
};

} // namespace guavafield
