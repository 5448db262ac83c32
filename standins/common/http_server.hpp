// Small HTTP server of the stand-ins: one coroutine a connection, one thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

using Request = http::request<http::string_body>;
using Header = std::pair<std::string, std::string>;

/*! @brief Simulated time: milliseconds that pass speed times as fast as the machine's. */
class SimulatedClock
{
public:
    explicit SimulatedClock(double speed) : m_speed(speed) { }

    /*! @brief Returns milliseconds since the start. */
    [[nodiscard]] double now() const;
    /*! @brief Returns the real duration of a simulated one. */
    [[nodiscard]] std::chrono::nanoseconds toReal(double milliseconds) const;
    /*! @brief Returns the simulated time of day as an HTTP date. */
    [[nodiscard]] std::string httpDate() const;
    /*! @brief Waits for a simulated duration. */
    [[nodiscard]] asio::awaitable<void> sleep(double milliseconds) const;

private:
    double m_speed;
    std::chrono::steady_clock::time_point m_start{std::chrono::steady_clock::now()};
    std::chrono::system_clock::time_point m_wallStart{std::chrono::system_clock::now()};
};

/*! @brief One request and its answer. */
class Exchange
{
public:
    Exchange(beast::tcp_stream &stream, Request request, std::string date);

    [[nodiscard]] const Request &request() const noexcept
    {
        return m_request;
    }

    /*! @brief Returns the target without its query. */
    [[nodiscard]] std::string_view path() const;
    /*! @brief Returns the value of a query parameter, or an empty text. */
    [[nodiscard]] std::string_view query(std::string_view name) const;
    /*! @brief Returns a header field's value, or an empty text. */
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /*! @brief Returns the body as a JSON object; empty when it is none. */
    [[nodiscard]] json::object body() const;

    [[nodiscard]] asio::awaitable<void> reply(unsigned status, json::value value, std::vector<Header> headers = {});
    [[nodiscard]] asio::awaitable<void> replyText(unsigned status, std::string text, std::string type, std::vector<Header> headers = {});

    /*! @brief Starts a streamed answer. */
    [[nodiscard]] asio::awaitable<void> beginEventStream();
    /*! @brief Sends one server-sent event. */
    [[nodiscard]] asio::awaitable<void> sendEvent(std::string data);
    /*! @brief Ends a streamed answer in order. */
    [[nodiscard]] asio::awaitable<void> endEventStream();

    /*! @brief Closes the connection without an answer, or in the middle of one. */
    void drop();
    /*! @brief Says whether the caller has closed the connection. */
    [[nodiscard]] bool clientDisconnected();

    [[nodiscard]] bool dropped() const noexcept
    {
        return m_dropped;
    }

    [[nodiscard]] std::size_t bytesSent() const noexcept
    {
        return m_bytesSent;
    }

private:
    beast::tcp_stream &m_stream;
    Request m_request;
    std::string m_date;
    bool m_dropped{false};
    std::size_t m_bytesSent{0};
};

using Handler = std::function<asio::awaitable<void>(Exchange &)>;

/*! @brief Where a stand-in listens and how fast its time runs. */
struct ServerOptions
{
    std::string listen{"127.0.0.1"};
    std::uint16_t port{0};
    double speed{1};
};

/*!
 * @brief Prints the port on the first line of standard output and serves until SIGTERM or SIGINT.
 * @param io Runs on the calling thread.
 */
void runServer(asio::io_context &io, const ServerOptions &options, const SimulatedClock &clock, const Handler &handler);

/*! @brief Token bucket in simulated time; a rate of 0 means no limit. */
class RateLimiter
{
public:
    explicit RateLimiter(double perSecond) : m_perSecond(perSecond), m_tokens(perSecond) { }

    void setRate(double perSecond) noexcept
    {
        m_perSecond = perSecond;
    }
    /*! @brief Takes a token if there is one. */
    [[nodiscard]] bool tryAcquire(double now) noexcept;

private:
    double m_perSecond;
    double m_tokens;
    double m_last{0};
};

/*! @brief Returns a number of an object, or a fallback when it is absent or no number. */
[[nodiscard]] double numberOr(const json::object &object, std::string_view name, double fallback);
/*! @brief Returns a text of an object, or an empty one. */
[[nodiscard]] std::string stringOrEmpty(const json::object &object, std::string_view name);
/*! @brief Returns a truth value of an object, or a fallback. */
[[nodiscard]] bool boolOr(const json::object &object, std::string_view name, bool fallback);

} // namespace guavafield::standin
