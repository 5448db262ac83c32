// Connection handling, HTTP responses, simulated clock and rate limiter of the stand-ins.
#include "standins/common/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <ctime>
#include <exception>
#include <iostream>
#include <utility>

#include <sys/socket.h>

namespace guavafield::standin {

using asio::ip::tcp;

namespace {

constexpr std::uint64_t bodyLimitBytes = 64ULL * 1024 * 1024;

asio::awaitable<void> serveConnection(tcp::socket socket, const SimulatedClock &clock, const Handler &handler)
{
    beast::tcp_stream stream(std::move(socket));
    stream.socket().set_option(tcp::no_delay(true));
    beast::flat_buffer buf;
    bool open = true;
    while (open) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyLimitBytes);
        beast::error_code ec;
        co_await http::async_read(stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            break;
        }
        open = parser.get().keep_alive();
        Exchange exchange(stream, parser.release(), clock.httpDate());
        // A write fails when the client has disconnected; this must end only the connection, not the stand-in.
        try {
            co_await handler(exchange);
        } catch (const std::exception &) {
            open = false;
        }
        open = open && !exchange.dropped();
    }
    beast::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_both, ec);
}

asio::awaitable<void> acceptConnections(tcp::acceptor &acceptor, const SimulatedClock &clock, const Handler &handler)
{
    for (;;) {
        beast::error_code ec;
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (!ec) {
            asio::co_spawn(acceptor.get_executor(), serveConnection(std::move(socket), clock, handler), asio::detached);
        }
    }
}

} // namespace

double SimulatedClock::now() const
{
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - m_start;
    return elapsed.count() * m_speed;
}

std::chrono::nanoseconds SimulatedClock::toReal(double milliseconds) const
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(std::max(0.0, milliseconds) * 1e6 / m_speed));
}

std::string SimulatedClock::httpDate() const
{
    const auto wall = m_wallStart + std::chrono::milliseconds(static_cast<std::int64_t>(now()));
    const auto seconds = std::chrono::system_clock::to_time_t(wall);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const auto size = std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
    return {text.data(), size};
}

asio::awaitable<void> SimulatedClock::sleep(double milliseconds) const
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(toReal(milliseconds));
    co_await timer.async_wait(asio::use_awaitable);
}

Exchange::Exchange(beast::tcp_stream &stream, Request request, std::string date) : m_stream(stream), m_request(std::move(request)), m_date(std::move(date)) { }

std::string_view Exchange::path() const
{
    const std::string_view target(m_request.target().data(), m_request.target().size());
    return target.substr(0, target.find('?'));
}

std::string_view Exchange::query(std::string_view name) const
{
    std::string_view rest(m_request.target().data(), m_request.target().size());
    auto start = rest.find('?');
    while (start != std::string_view::npos) {
        rest.remove_prefix(start + 1);
        const auto pair = rest.substr(0, rest.find('&'));
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=') {
            return pair.substr(name.size() + 1);
        }
        start = rest.find('&');
    }
    return {};
}

std::string_view Exchange::header(std::string_view name) const
{
    const auto value = m_request[beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

json::object Exchange::body() const
{
    json::error_code ec;
    auto value = json::parse(m_request.body(), ec);
    return !ec && value.is_object() ? std::move(value.as_object()) : json::object{};
}

asio::awaitable<void> Exchange::reply(unsigned status, json::value value, std::vector<Header> headers)
{
    auto text = json::serialize(value);
    std::string type = "application/json";
    co_await replyText(status, std::move(text), std::move(type), std::move(headers));
}

asio::awaitable<void> Exchange::replyText(unsigned status, std::string text, std::string type, std::vector<Header> headers)
{
    http::response<http::string_body> response(http::int_to_status(status), m_request.version());
    response.set(http::field::content_type, type);
    response.set(http::field::date, m_date);
    for (const auto &[name, value] : headers) {
        response.set(name, value);
    }
    response.keep_alive(m_request.keep_alive());
    response.body() = std::move(text);
    response.prepare_payload();
    m_bytesSent += co_await http::async_write(m_stream, response, asio::use_awaitable);
}

asio::awaitable<void> Exchange::beginEventStream()
{
    http::response<http::empty_body> response(http::status::ok, m_request.version());
    response.set(http::field::content_type, "text/event-stream");
    response.set(http::field::date, m_date);
    response.keep_alive(m_request.keep_alive());
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    m_bytesSent += co_await http::async_write_header(m_stream, serializer, asio::use_awaitable);
}

asio::awaitable<void> Exchange::sendEvent(std::string data)
{
    const auto line = "data: " + data + "\n\n";
    const auto chunk = http::make_chunk(asio::buffer(line));
    m_bytesSent += co_await asio::async_write(m_stream, chunk, asio::use_awaitable);
}

asio::awaitable<void> Exchange::endEventStream()
{
    const auto last = http::make_chunk_last();
    m_bytesSent += co_await asio::async_write(m_stream, last, asio::use_awaitable);
}

void Exchange::drop()
{
    m_dropped = true;
    beast::error_code ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ec);
}

bool Exchange::clientDisconnected()
{
    char byte = 0;
    return ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void runServer(asio::io_context &io, const ServerOptions &options, const SimulatedClock &clock, const Handler &handler)
{
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address(options.listen), options.port));
    std::cout << acceptor.local_endpoint().port() << std::endl;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](beast::error_code, int) { io.stop(); });
    asio::co_spawn(io, acceptConnections(acceptor, clock, handler), asio::detached);
    io.run();
}

bool RateLimiter::tryAcquire(double now) noexcept
{
    if (m_perSecond <= 0) {
        return true;
    }
    // The capacity is one second of tokens, but at least one, since rates below 1/s could never be served otherwise.
    m_tokens = std::min(std::max(1.0, m_perSecond), m_tokens + (now - m_last) * m_perSecond / 1000.0);
    m_last = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

double numberOr(const json::object &object, std::string_view name, double fallback)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<double>() : fallback;
}

std::string stringOrEmpty(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

bool boolOr(const json::object &object, std::string_view name, bool fallback)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_bool() ? value->as_bool() : fallback;
}

} // namespace guavafield::standin
