// Connecting, sending and piecewise reading with Beast, under one watchdog timer.
#include <guavafield/transport/http/upstreams/upstream_exchange.hpp>

#include <guavafield/transport/http/answer_header.hpp>
#include <guavafield/transport/http/headers.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_type.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::uint32_t answerHeaderLimit = 32 * 1024;
constexpr std::size_t identityLimit = std::size_t{64} * 1024;
constexpr std::size_t minStrays = 1;
// Fits into the send buffer of the system, so that sending it cannot wait for the upstream.
constexpr std::size_t smallRequestBytes = std::size_t{8} * 1024;

// Interim answers announce the final one.
constexpr int maxInterimAnswers = 8;

bool isInterim(unsigned status) noexcept
{
    return status >= 100 && status < 200;
}

// Whether the status says nothing about whether the upstream knows the target.
bool isTransient(unsigned status) noexcept
{
    return status == 408 || status == 429 || status >= 500;
}

// Whether an error is due to the bytes received, not to the connection.
bool isMalformed(const boost::system::error_code &ec)
{
    return ec.category() == make_error_code(http::error::bad_version).category() && ec != http::error::end_of_stream && ec != http::error::partial_message;
}

} // namespace internal

using namespace internal;

UpstreamExchange::UpstreamExchange(ConnectionPool &pool, const asio::any_io_executor &strand, ExchangeTarget target, ExchangeTimes times)
    : m_pool(&pool), m_target(std::move(target)), m_times(times), m_timer(strand), m_state(std::make_shared<State>(strand))
{
}

asio::awaitable<ExchangeResult> UpstreamExchange::connectFor(const UpstreamRequest &request, bool freshConnection)
{
    if (m_state->connection) {
        co_return ExchangeResult::Ok;
    }
    auto connected = connect(request.method() == http::verb::head, freshConnection);
    co_return co_await std::move(connected);
}

asio::awaitable<ExchangeResult> UpstreamExchange::connect(bool headOnly, bool freshConnection)
{
    m_state->close();
    m_state->connection.reset();
    m_state->timedOut = false;
    m_earlierRequests = 0;
    m_target.connection.headOnly = headOnly;
    if (!freshConnection) {
        m_state->connection = m_pool->takeIdle(m_target.connection, m_target.request);
    }
    m_kept = m_state->connection != nullptr;
    if (m_kept) {
        m_earlierRequests = m_state->connection->requests.size();
        m_state->connection->carry(m_target.request);
        co_return ExchangeResult::Ok;
    }
    m_state->connection = m_pool->makeUnconnected();
    startTimer(m_times.connect);
    boost::system::error_code ec;
    co_await m_state->connection->socket.async_connect(m_target.connection.endpoint, asio::redirect_error(asio::use_awaitable, ec));
    const auto result = resultOf(ec, ExchangeResult::ConnectFailed);
    if (result == ExchangeResult::Ok) {
        m_state->connection->socket.set_option(asio::ip::tcp::no_delay(true), ec);
        m_state->connection->detectDeadPeer();
        m_state->connection->carry(m_target.request);
    }
    co_return result == ExchangeResult::TimedOut ? ExchangeResult::ConnectFailed : result;
}

void UpstreamExchange::adopt(std::unique_ptr<UpstreamConnection> connection)
{
    m_state->connection = std::move(connection);
    m_kept = false;
}

asio::awaitable<ExchangeResult> UpstreamExchange::identify(const ProcessQuestion &question, Milliseconds limit)
{
    if (m_state->connection->process) {
        co_return ExchangeResult::Ok;
    }
    const auto silence = m_times.silence;
    const auto result = co_await readIdentity(question, std::chrono::steady_clock::now() + limit);
    m_times.silence = silence;
    co_return result;
}

asio::awaitable<ExchangeResult> UpstreamExchange::readIdentity(const ProcessQuestion &question, SteadyTime until)
{
    const auto left = [until] { return std::max(std::chrono::duration_cast<Milliseconds>(until - std::chrono::steady_clock::now()), Milliseconds{1}); };
    UpstreamRequest request(http::verb::get, question.target, 11);
    request.set(http::field::host, m_target.connection.endpoint.address().to_string());
    startTimer(left());
    boost::system::error_code ec;
    co_await http::async_write(m_state->connection->socket, request, asio::redirect_error(asio::use_awaitable, ec));
    auto result = resultOf(ec, ExchangeResult::Broken);
    std::string body;
    bool stray = true;
    // A late copy of an answer to an earlier request may come first.
    for (std::size_t n = 0; result == ExchangeResult::Ok && stray && n <= std::max(minStrays, m_earlierRequests); ++n) {
        m_times.silence = left();
        result = co_await readHeader();
        stray = result == ExchangeResult::Ok && m_parser->get().count(question.requestIdHeader) > 0;
        body.clear();
        while (result == ExchangeResult::Ok && !ended()) {
            m_times.silence = left();
            result = co_await readSome(body);
            result = body.size() > identityLimit ? ExchangeResult::Malformed : result;
        }
    }
    if (result != ExchangeResult::Ok || stray) {
        co_return result == ExchangeResult::Ok ? ExchangeResult::Broken : result;
    }
    const auto status = m_parser->get().result_int();
    if (isTransient(status) || !complete() || !m_parser->keep_alive()) {
        co_return ExchangeResult::Broken;
    }
    m_state->connection->process = ProcessIdentity{status == 200 ? question.readIncarnation(body) : std::nullopt};
    co_return ExchangeResult::Ok;
}

asio::awaitable<ExchangeResult> UpstreamExchange::send(const UpstreamRequest &request, bool freshConnection)
{
    const auto connected = co_await connectFor(request, freshConnection);
    if (connected != ExchangeResult::Ok) {
        co_return connected;
    }
    if (m_aborted) {
        co_return ExchangeResult::Aborted;
    }
    m_sent = true;
    startTimer(m_times.silence);
    boost::system::error_code ec;
    co_await http::async_write(m_state->connection->socket, request, asio::redirect_error(asio::use_awaitable, ec));
    co_return resultOf(ec, ExchangeResult::Broken);
}

asio::awaitable<ExchangeResult> UpstreamExchange::sendConcurrently(const UpstreamRequest &request, std::shared_ptr<void> owner)
{
    if (request.body().size() <= smallRequestBytes) {
        co_return co_await send(request, false);
    }
    const auto connected = co_await connectFor(request, false);
    if (connected != ExchangeResult::Ok) {
        co_return connected;
    }
    if (m_aborted) {
        co_return ExchangeResult::Aborted;
    }
    m_sent = true;
    m_state->sending = true;
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(
        executor,
        [&request, owner = std::move(owner), state = m_state]() -> asio::awaitable<void> {
            // An error does not end the reading of the answer, which may have arrived as a whole.
            co_await http::async_write(state->connection->socket, request, asio::redirect_error(asio::use_awaitable, state->sendingError));
            state->sending = false;
            state->sendingEnded.cancel();
        },
        asio::detached);
    co_return ExchangeResult::Ok;
}

asio::awaitable<ExchangeResult> UpstreamExchange::readHeader()
{
    auto result = co_await readAnyHeader();
    for (int n = 0; n < maxInterimAnswers && result == ExchangeResult::Ok && isInterim(header().result_int()); ++n) {
        result = co_await readAnyHeader();
    }
    if (result == ExchangeResult::Ok && !isFinalStatus(header().result_int())) {
        abort();
        co_return ExchangeResult::InvalidStatus;
    }
    co_return result;
}

asio::awaitable<ExchangeResult> UpstreamExchange::readAnyHeader()
{
    m_parser.emplace();
    m_parser->header_limit(answerHeaderLimit);
    m_parser->body_limit(boost::none);
    m_parser->skip(m_target.connection.headOnly);
    startTimer(m_times.silence);
    const auto ec = co_await readAnswerHeader(m_state->connection->socket, m_state->connection->buffer, *m_parser);
    const auto result = resultOf(ec, ExchangeResult::Broken);
    m_endMarked = result == ExchangeResult::Ok && !m_parser->need_eof();
    co_return result;
}

asio::awaitable<ExchangeResult> UpstreamExchange::readSome(std::string &body, std::optional<SteadyTime> until)
{
    auto &target = m_parser->get().body();
    target.data = m_piece.data();
    target.size = m_piece.size();
    if (until) {
        startStallTimer(*until);
    } else {
        startTimer(m_times.silence);
    }
    boost::system::error_code ec;
    auto token = asio::bind_cancellation_slot(m_state->reading.slot(), asio::redirect_error(asio::use_awaitable, ec));
    co_await http::async_read_some(m_state->connection->socket, m_state->connection->buffer, *m_parser, std::move(token));
    if (ec == http::error::need_buffer) {
        ec = {};
    }
    const auto result = resultOf(ec, ExchangeResult::Broken);
    if (result == ExchangeResult::Ok || result == ExchangeResult::Broken || result == ExchangeResult::Malformed) {
        body.append(m_piece.data(), m_piece.size() - target.size);
    }
    target.data = nullptr;
    target.size = 0;
    const bool endsWithConnection = result == ExchangeResult::Ok && ended() && !m_endMarked;
    if (endsWithConnection) {
        co_return co_await awaitRequestSent();
    }
    co_return result;
}

// The system reports a reset to one operation only. Where that was the sending, the reading meets what looks like a regular end of the connection.
asio::awaitable<ExchangeResult> UpstreamExchange::awaitRequestSent()
{
    if (m_state->sending) {
        startTimer(m_times.silence);
        boost::system::error_code ignored;
        co_await m_state->sendingEnded.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return resultOf(m_state->sendingError, ExchangeResult::Broken);
}

void UpstreamExchange::abort()
{
    m_aborted = true;
    m_state->close();
}

void UpstreamExchange::finish()
{
    m_timer.cancel();
    const bool sent = !m_state->sending && !m_state->sendingError;
    const bool reusable = m_state->connection && sent && m_parser && complete() && m_parser->keep_alive() && !m_aborted;
    if (reusable) {
        m_state->connection->keepAlive = m_keepAlive ? m_keepAlive : m_state->connection->keepAlive;
        m_state->connection->keepFor(m_parser->get());
        m_pool->giveBack(m_target.connection, std::move(m_state->connection));
    }
    m_state->close();
}

void UpstreamExchange::startTimer(Milliseconds time)
{
    const auto operation = ++m_state->operation;
    m_timer.expires_after(time);
    m_timer.async_wait([state = m_state, operation](const boost::system::error_code &ec) {
        if (!ec && state->operation == operation) {
            state->timedOut = true;
            state->close();
        }
    });
}

void UpstreamExchange::startStallTimer(SteadyTime until)
{
    const auto operation = ++m_state->operation;
    m_timer.expires_at(until);
    m_timer.async_wait([state = m_state, operation](const boost::system::error_code &ec) {
        if (!ec && state->operation == operation) {
            state->interruptReading();
        }
    });
}

ExchangeResult UpstreamExchange::resultOf(const boost::system::error_code &ec, ExchangeResult failure)
{
    ++m_state->operation;
    m_timer.cancel();
    if (m_aborted) {
        return ExchangeResult::Aborted;
    }
    if (m_state->timedOut) {
        return ExchangeResult::TimedOut;
    }
    const bool stalled = std::exchange(m_state->stalled, false);
    if (stalled && ec == asio::error::operation_aborted) {
        return ExchangeResult::Stalled;
    }
    if (ec && isMalformed(ec)) {
        return ExchangeResult::Malformed;
    }
    return ec ? failure : ExchangeResult::Ok;
}

void UpstreamExchange::State::interruptReading()
{
    stalled = true;
    reading.emit(asio::cancellation_type::terminal);
}

void UpstreamExchange::State::close()
{
    if (connection) {
        boost::system::error_code ec;
        connection->socket.close(ec);
    }
}

} // namespace guavafield
