// One request to an upstream and its answer.
#pragma once

#include <guavafield/transport/http/headers.hpp>
#include <guavafield/transport/http/upstreams/connection_pool.hpp>
#include <guavafield/transport/http/upstreams/process_question.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace guavafield {

using UpstreamRequest = boost::beast::http::request<boost::beast::http::string_body>;
using AnswerHeader = boost::beast::http::response_header<>;

/*! @brief How a part of an exchange went. */
enum class ExchangeResult : std::uint8_t {
    Ok,
    // No connection; nothing was sent.
    ConnectFailed,
    TimedOut,
    // The time that readSome() was given is over; the connection is unharmed.
    Stalled,
    // The connection ended before the answer did.
    Broken,
    // The bytes are no answer, or exceed a limit.
    Malformed,
    // The status of the answer is none that ends one.
    InvalidStatus,
    // abort() was called.
    Aborted,
};

/*! @brief Where an exchange goes, and the id under which the upstream knows the request and repeats it in its answers. */
struct ExchangeTarget
{
    ConnectionTarget connection;
    RequestId request;
};

/*! @brief Times of an exchange. */
struct ExchangeTimes
{
    Milliseconds connect{1'000};
    // Longest time without a byte from the upstream once the request was sent.
    Milliseconds silence{60'000};
};

/*!
 * @brief Sends a request and reads the answer in pieces.
 *
 * Used from one strand, by one coroutine; abort() may be called from the strand in between. The executor of the strand has to be
 * that of the coroutine.
 */
class UpstreamExchange
{
public:
    UpstreamExchange(ConnectionPool &pool, const boost::asio::any_io_executor &strand, ExchangeTarget target, ExchangeTimes times);

    /*! @brief Connects; the request is then sent on this connection. Any earlier connection of the exchange is closed. */
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> connect(bool headOnly, bool freshConnection);
    /*! @brief Takes a connection that has just been opened. */
    void adopt(std::unique_ptr<UpstreamConnection> connection);
    /*! @brief Returns whether the header of an answer with a valid status was read, be it to the question of identify(). */
    [[nodiscard]] bool answered() const
    {
        return m_parser && m_parser->is_header_done() && isFinalStatus(header().result_int());
    }
    /*! @brief Asks the process at the other end which one it is, unless the connection knows; see process(). */
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> identify(const ProcessQuestion &question, Milliseconds limit);
    /*! @brief Returns what the process at the other end said; valid after identify() succeeded. */
    [[nodiscard]] const ProcessIdentity &process() const
    {
        return *m_state->connection->process;
    }
    /*! @brief Returns whether the connection's process has been asked, so that a copy of that answer may arrive. */
    [[nodiscard]] bool asked() const noexcept
    {
        return m_state->connection && m_state->connection->process;
    }

    /*!
     * @brief Connects, unless connect() has, and sends the request.
     * @param request Has its payload prepared.
     * @param freshConnection Takes no idle connection, since the upstream may just be closing it.
     */
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> send(const UpstreamRequest &request, bool freshConnection);
    /*!
     * @brief Connects, unless connect() has, and begins to send; a request that is not small goes on while the answer is read, which may come before its end.
     * @param owner Keeps the request and the exchange alive.
     */
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> sendConcurrently(const UpstreamRequest &request, std::shared_ptr<void> owner);
    /*! @brief Sets the longest time without a byte from the upstream. */
    void setSilence(Milliseconds time) noexcept
    {
        m_times.silence = time;
    }
    /*! @brief Sets how long the other side keeps an idle connection if its answer doesn't say so. */
    void setKeepAlive(Milliseconds time) noexcept
    {
        m_keepAlive = time;
    }
    /*! @brief Reads the header of the answer; interim answers before it are passed over. */
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> readHeader();
    /*!
     * @brief Reads a piece of the body, of any size and possibly empty, and appends it.
     *
     * The end of the connection ends an answer only if the request has been sent without an error; see awaitRequestSent().
     * @param until Ends the wait with Stalled, after which it may be called again.
     */
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> readSome(std::string &body, std::optional<SteadyTime> until = std::nullopt);

    /*! @brief Returns the header; valid after readHeader(). */
    [[nodiscard]] const AnswerHeader &header() const
    {
        return m_parser->get();
    }
    /*! @brief Returns whether the upstream marked the end of the answer and the end was read. */
    [[nodiscard]] bool complete() const
    {
        return m_parser->is_done() && m_endMarked;
    }
    /*! @brief Returns whether nothing more can be read, be the end marked or not. */
    [[nodiscard]] bool ended() const
    {
        return m_parser->is_done();
    }
    /*! @brief Returns whether bytes of the request may have reached the upstream. */
    [[nodiscard]] bool sent() const noexcept
    {
        return m_sent;
    }
    /*! @brief Returns whether the connection is an earlier one, be it that it has carried no request. */
    [[nodiscard]] bool kept() const noexcept
    {
        return m_kept;
    }
    /*! @brief Returns the number of requests that the connection has carried before. */
    [[nodiscard]] std::size_t earlierRequests() const noexcept
    {
        return m_earlierRequests;
    }

    /*! @brief Closes the connection, which cancels the request at the upstream. */
    void abort();
    /*! @brief Returns the connection to the pool if the answer is complete, else closes it. */
    void finish();

private:
    // Shared with the timer's handler, which may run after the exchange has ended.
    struct State
    {
        explicit State(const boost::asio::any_io_executor &strand) : sendingEnded(strand, SteadyTime::max()) { }

        std::unique_ptr<UpstreamConnection> connection;
        // Number of the operation under way; an expiry of an earlier one is ignored.
        std::uint64_t operation{0};
        bool timedOut{false};
        bool stalled{false};
        // The request is still being sent, beside the reading of its answer.
        bool sending{false};
        // Why the request was not sent as a whole; empty while the sending goes on.
        boost::system::error_code sendingError;
        // Cancelled when the sending ends.
        boost::asio::steady_timer sendingEnded;
        // Cancels the reading alone; the sending of the request goes on.
        boost::asio::cancellation_signal reading;

        void close();
        void interruptReading();
    };

    [[nodiscard]] boost::asio::awaitable<ExchangeResult> readAnyHeader();
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> connectFor(const UpstreamRequest &request, bool freshConnection);
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> readIdentity(const ProcessQuestion &question, SteadyTime until);
    // Waits for the end of the sending, with the limit of a silence; Broken if the request was not sent as a whole.
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> awaitRequestSent();
    // Closes the connection when the time is over.
    void startTimer(Milliseconds time);
    // Ends the reading under way when the time is over.
    void startStallTimer(SteadyTime until);
    [[nodiscard]] ExchangeResult resultOf(const boost::system::error_code &ec, ExchangeResult failure);

    ConnectionPool *m_pool;
    ExchangeTarget m_target;
    ExchangeTimes m_times;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<State> m_state;
    std::array<char, std::size_t{16} * 1024> m_piece;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
    std::size_t m_earlierRequests{0};
    bool m_kept{false};
    std::optional<Milliseconds> m_keepAlive;
    bool m_aborted{false};
    bool m_sent{false};
    bool m_endMarked{false};
};

} // namespace guavafield
