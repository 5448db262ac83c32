// Single-threaded HTTP server for the stand-ins, with one coroutine per connection.
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

/*! @brief Clock in milliseconds that runs speed times as fast as real time. */
class SimulatedClock
{
public:
    explicit SimulatedClock(double speed) : m_speed(speed) { }

    /*! @brief Returns the simulated milliseconds since construction. */
    [[nodiscard]] double now() const;
    /*! @brief Converts a simulated duration in milliseconds to real time; negative durations become 0. */
    [[nodiscard]] std::chrono::nanoseconds toReal(double milliseconds) const;
    /*! @brief Returns the simulated time of day as an HTTP date. */
    [[nodiscard]] std::string httpDate() const;
    /*! @brief Suspends the coroutine for a simulated duration in milliseconds. */
    [[nodiscard]] asio::awaitable<void> sleep(double milliseconds) const;

private:
    double m_speed;
    std::chrono::steady_clock::time_point m_start{std::chrono::steady_clock::now()};
    std::chrono::system_clock::time_point m_wallStart{std::chrono::system_clock::now()};
};

/*! @brief An HTTP request and the means to respond to it. */
class Exchange
{
public:
    Exchange(beast::tcp_stream &stream, Request request, std::string date);

    [[nodiscard]] const Request &request() const noexcept
    {
        return m_request;
    }

    /*! @brief Returns the request target without the query string. */
    [[nodiscard]] std::string_view path() const;
    /*! @brief Returns the raw value of a query parameter, or an empty string. */
    [[nodiscard]] std::string_view query(std::string_view name) const;
    /*! @brief Returns the value of a header field, or an empty string. */
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /*! @brief Parses the body as a JSON object; returns an empty object if it is not one. */
    [[nodiscard]] json::object body() const;

    [[nodiscard]] asio::awaitable<void> reply(unsigned status, json::value value, std::vector<Header> headers = {});
    [[nodiscard]] asio::awaitable<void> replyText(unsigned status, std::string text, std::string type, std::vector<Header> headers = {});

    /*! @brief Sends the header of a chunked text/event-stream response. */
    [[nodiscard]] asio::awaitable<void> beginEventStream();
    /*! @brief Sends one server-sent event as a chunk. */
    [[nodiscard]] asio::awaitable<void> sendEvent(std::string data);
    /*! @brief Sends the final chunk, which completes the event stream. */
    [[nodiscard]] asio::awaitable<void> endEventStream();

    /*! @brief Closes the connection without a response or in the middle of one. */
    void drop();
    /*! @brief Returns whether the client has closed its side of the connection. */
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

/*! @brief Listening address, port (0 picks a free one) and clock speed of a stand-in. */
struct ServerOptions
{
    std::string listen{"127.0.0.1"};
    std::uint16_t port{0};
    double speed{1};
};

/*!
 * @brief Prints the bound port as the first line of standard output and serves requests until SIGTERM or SIGINT.
 * @param io Context that is run on the calling thread.
 */
void runServer(asio::io_context &io, const ServerOptions &options, const SimulatedClock &clock, const Handler &handler);

/*! @brief Token bucket that is refilled in simulated time; a rate of 0 disables the limit. */
class RateLimiter
{
public:
    explicit RateLimiter(double perSecond) : m_perSecond(perSecond), m_tokens(perSecond) { }

    void setRate(double perSecond) noexcept
    {
        m_perSecond = perSecond;
    }
    /*! @brief Takes a token if one is available at the given simulated time; returns false otherwise. */
    [[nodiscard]] bool tryAcquire(double now) noexcept;

private:
    double m_perSecond;
    double m_tokens;
    double m_last{0};
};

/*! @brief Returns a numeric member, or the fallback if it is missing or not a number. */
[[nodiscard]] double numberOr(const json::object &object, std::string_view name, double fallback);
/*! @brief Returns a string member, or an empty string if it is missing or not a string. */
[[nodiscard]] std::string stringOrEmpty(const json::object &object, std::string_view name);
/*! @brief Returns a boolean member, or the fallback if it is missing or not a boolean. */
[[nodiscard]] bool boolOr(const json::object &object, std::string_view name, bool fallback);

} // namespace guavafield::standin
