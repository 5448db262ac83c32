// The socket of a caller: writes under a time limit, and the watch for the caller's going away.
#pragma once

#include <guavafield/state/types.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace guavafield {

class Mailbox;

/*! @brief A caller's connection; its socket is bound to the strand on which everything here runs. */
class CallerStream : public std::enable_shared_from_this<CallerStream>
{
public:
    /*!
     * @param writeTime Time in which the caller has to take a piece of the answer.
     * @param bufferBytes Bytes that may wait to be parsed; more than a header may have.
     */
    CallerStream(boost::asio::ip::tcp::socket socket, Milliseconds writeTime, std::size_t bufferBytes);

    /*! @brief Writes bytes; false if the caller is gone or took none for the write time, after which the connection is closed. */
    [[nodiscard]] boost::asio::awaitable<bool> write(std::string_view bytes);
    /*! @brief Writes bytes as one chunk of a chunked body. */
    [[nodiscard]] boost::asio::awaitable<bool> writeChunk(std::string_view bytes);
    /*! @brief Writes the end of a chunked body. */
    [[nodiscard]] boost::asio::awaitable<bool> writeLastChunk();

    /*! @brief Posts CallerGone when the caller closes its connection; ends by endWatch(). */
    void watch(std::shared_ptr<Mailbox> mailbox);
    void endWatch();

    /*! @brief Cancels the operations under way when this time is over, unless clearTimer() comes first. */
    void startTimer(Milliseconds time);
    /*! @brief Ends the timer and returns whether its time was over. */
    bool clearTimer();

    /*! @brief Leaves a write under way only a short time, since an event waits that ends the answer. */
    void hurryWrite();

    /*! @brief Closes gracefully: unread bytes are taken for a short while, since a reset would destroy the answer on its way. */
    [[nodiscard]] boost::asio::awaitable<void> closeGracefully();
    void close();
    /*! @brief Ends the operations under way. */
    void cancel();

    [[nodiscard]] boost::asio::ip::tcp::socket &socket() noexcept
    {
        return m_socket;
    }
    [[nodiscard]] boost::beast::flat_buffer &buffer() noexcept
    {
        return m_buffer;
    }

private:
    template <typename Buffers>
    [[nodiscard]] boost::asio::awaitable<bool> writeTimed(const Buffers &buffers);
    [[nodiscard]] boost::asio::awaitable<void> runWatch(std::shared_ptr<Mailbox> mailbox);

    boost::asio::ip::tcp::socket m_socket;
    // Bounded, since the end of a chunk's extension or a trailer may never come.
    boost::beast::flat_buffer m_buffer;
    boost::asio::steady_timer m_timer;
    Milliseconds m_writeTime;
    // Number of the timed operation; an expiry of an earlier one is ignored.
    std::uint64_t m_operation{0};
    std::uint64_t m_watch{0};
    bool m_timedOut{false};
    bool m_writing{false};
};

} // namespace guavafield
