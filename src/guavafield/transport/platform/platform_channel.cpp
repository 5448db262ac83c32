// Turns, kept connections, and the platform's clock.
#include <guavafield/transport/platform/platform_channel.hpp>

#include <guavafield/transport/http/answer_header.hpp>
#include <guavafield/transport/http/headers.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <utility>

namespace guavafield::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Larger than any header; a chunk's extension or a trailer may have no end.
constexpr std::size_t maxUnparsedBytes = std::size_t{64} * 1024;

/*! @brief Returns whether a kept connection is still open and has nothing to read. */
bool isUsable(beast::tcp_stream &stream)
{
    beast::error_code ec;
    auto &socket = stream.socket();
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block || ec == asio::error::try_again;
}

std::optional<WallTime> parseHttpDate(const std::string &text)
{
    std::tm parts{};
    if (strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts) == nullptr) {
        return std::nullopt;
    }
    return std::chrono::system_clock::from_time_t(timegm(&parts));
}

// Returns 0 for a value that is no number.
std::uint64_t parseEpoch(std::string_view text) noexcept
{
    std::uint64_t epoch = 0;
    std::from_chars(text.data(), text.data() + text.size(), epoch);
    return epoch;
}

struct PlatformChannel::Connection
{
    explicit Connection(const asio::any_io_executor &executor) : stream(executor) { }

    beast::tcp_stream stream;
    SteadyTime usedAt{};
};

PlatformChannel::PlatformChannel(
    const asio::any_io_executor &executor, std::string address, std::uint16_t port, Counters &counters, PlatformClientSettings settings)
    : strand(asio::make_strand(executor))
    , m_address(std::move(address))
    , m_port(port)
    , m_counters(counters)
    , m_settings(std::move(settings))
    , m_limiter(m_settings.limits)
    , m_pumpTimer(strand)
{
}

PlatformChannel::~PlatformChannel() = default;

auto PlatformChannel::run(PlatformRequest request) -> Awaitable<PlatformAnswer>
{
    const auto self = shared_from_this();
    const auto deadline = std::chrono::steady_clock::now() + request.timeout.value_or(m_settings.timeout);
    PlatformAnswer answer;
    Turn turn(*this, ++m_lastCall);
    const bool started = co_await awaitTurn(turn, request.urgency, deadline);
    if (started) {
        answer = co_await exchange(request, deadline);
        turn.served = answer.served();
    }
    if (!answer.served()) {
        m_counters.add(CounterId::PlatformFailures);
    }
    co_return answer;
}

auto PlatformChannel::awaitTurn(Turn &turn, CallUrgency urgency, SteadyTime deadline) -> Awaitable<bool>
{
    if (m_limiter.allowedFrom(urgency) >= deadline) {
        co_return false;
    }
    asio::steady_timer timer(strand, deadline);
    m_limiter.submit(turn.id, urgency);
    m_waiting.emplace(turn.id, &timer);
    pump();
    if (m_waiting.contains(turn.id)) {
        beast::error_code ec;
        auto token = asio::redirect_error(asio::use_awaitable, ec);
        co_await timer.async_wait(token);
    }
    turn.started = m_waiting.erase(turn.id) == 0;
    if (!turn.started) {
        m_limiter.withdraw(turn.id);
    }
    co_return turn.started;
}

void PlatformChannel::endTurn(const Turn &turn)
{
    m_waiting.erase(turn.id);
    if (turn.started) {
        m_limiter.finish(turn.served, std::chrono::steady_clock::now());
        pump();
    }
}

void PlatformChannel::pump()
{
    const auto now = std::chrono::steady_clock::now();
    while (const auto id = m_limiter.start(now)) {
        const auto it = m_waiting.find(*id);
        it->second->cancel();
        m_waiting.erase(it);
    }
    if (const auto next = m_limiter.nextStart(now)) {
        m_pumpTimer.expires_at(*next);
        m_pumpTimer.async_wait([weak = weak_from_this()](beast::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->pump();
            }
        });
    }
}

auto PlatformChannel::exchange(const PlatformRequest &request, SteadyTime deadline) -> Awaitable<PlatformAnswer>
{
    auto idle = takeIdle();
    if (idle) {
        auto answer = co_await exchangeOn(std::move(idle), request, deadline);
        const bool repeat = request.repeatable && answer.end == ExchangeEnd::Lost && std::chrono::steady_clock::now() < deadline;
        if (!repeat) {
            co_return answer;
        }
    }
    auto fresh = co_await connect(deadline);
    if (!fresh) {
        co_return PlatformAnswer{};
    }
    auto answer = co_await exchangeOn(std::move(fresh), request, deadline);
    co_return answer;
}

auto PlatformChannel::connect(SteadyTime deadline) -> Awaitable<ConnectionPointer>
{
    auto connection = std::make_unique<Connection>(strand);
    beast::error_code ec;
    const auto address = asio::ip::make_address(m_address, ec);
    if (ec) {
        co_return nullptr;
    }
    const asio::ip::tcp::endpoint endpoint(address, m_port);
    connection->stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + m_settings.connectTimeout));
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    co_await connection->stream.async_connect(endpoint, token);
    if (ec) {
        co_return nullptr;
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    if (m_settings.resetOnClose) {
        connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
    }
    co_return connection;
}

auto PlatformChannel::exchangeOn(ConnectionPointer connection, const PlatformRequest &request, SteadyTime deadline) -> Awaitable<PlatformAnswer>
{
    http::request<http::string_body> message(request.method, request.target, 11, request.body);
    message.set(http::field::host, m_address);
    message.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.prepare_payload();

    if (request.stillAllowed && !request.stillAllowed()) {
        co_return PlatformAnswer{};
    }
    PlatformAnswer answer{ExchangeEnd::Lost, 0, {}, 0};
    beast::error_code ec;
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    connection->stream.expires_at(deadline);
    co_await http::async_write(connection->stream, message, token);
    if (ec) {
        m_idle.clear();
        co_return answer;
    }
    beast::flat_buffer buffer{maxUnparsedBytes};
    http::response_parser<http::string_body> parser;
    parser.body_limit(m_settings.maxAnswerBytes);
    ec = co_await readAnswerHeader(connection->stream, buffer, parser);
    if (!ec) {
        co_await http::async_read(connection->stream, buffer, parser, token);
    }
    if (ec) {
        // Others that were opened as early may have gone silent as well.
        m_idle.clear();
        co_return answer;
    }
    if (!isFinalStatus(parser.get().result_int())) {
        co_return answer;
    }
    auto response = parser.release();
    const auto epoch = m_settings.epochHeader.empty() ? 0 : parseEpoch(response[m_settings.epochHeader]);
    answer = {ExchangeEnd::Answered, response.result_int(), std::move(response.body()), epoch};
    noteDate(response[http::field::date]);
    if (response.keep_alive() && buffer.size() == 0) {
        connection->stream.expires_never();
        connection->usedAt = std::chrono::steady_clock::now();
        m_idle.push_back(std::move(connection));
    }
    co_return answer;
}

auto PlatformChannel::takeIdle() -> ConnectionPointer
{
    const auto now = std::chrono::steady_clock::now();
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (now - connection->usedAt < m_settings.idleTimeout && isUsable(connection->stream)) {
            return connection;
        }
    }
    return nullptr;
}

void PlatformChannel::noteDate(std::string_view date)
{
    const auto time = parseHttpDate(std::string(date));
    if (!time) {
        return;
    }
    const std::scoped_lock lock(m_timeMutex);
    const auto steady = std::chrono::duration_cast<WallTime::duration>(std::chrono::steady_clock::now().time_since_epoch());
    m_timeOffset = time->time_since_epoch() - steady;
}

std::optional<WallTime> PlatformChannel::platformTime() const
{
    const std::scoped_lock lock(m_timeMutex);
    if (!m_timeOffset) {
        return std::nullopt;
    }
    const auto steady = std::chrono::duration_cast<WallTime::duration>(std::chrono::steady_clock::now().time_since_epoch());
    return WallTime{steady + *m_timeOffset};
}

} // namespace guavafield::internal
