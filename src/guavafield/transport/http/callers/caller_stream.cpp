// Timed writes and the watch for the end of the connection.
#include <guavafield/transport/http/callers/caller_stream.hpp>

#include <guavafield/transport/http/mailbox.hpp>
#include <guavafield/transport/http/upstreams/connection_pool.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// A piece small enough that a slow but live caller takes it within the write time.
constexpr std::size_t writePieceBytes = std::size_t{64} * 1024;
constexpr Milliseconds lingerTime{1'000};
constexpr std::size_t lingerBytes = std::size_t{1} << 20U;

} // namespace internal

CallerStream::CallerStream(asio::ip::tcp::socket socket, Milliseconds writeTime, std::size_t bufferBytes)
    : m_socket(std::move(socket)), m_buffer(bufferBytes), m_timer(m_socket.get_executor()), m_writeTime(writeTime)
{
    boost::system::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
}

template <typename Buffers>
asio::awaitable<bool> CallerStream::writeTimed(const Buffers &buffers)
{
    boost::system::error_code ec;
    startTimer(m_writeTime);
    m_writing = true;
    co_await asio::async_write(m_socket, buffers, asio::redirect_error(asio::use_awaitable, ec));
    m_writing = false;
    const bool late = clearTimer();
    if (late || ec) {
        close();
    }
    co_return !late && !ec;
}

asio::awaitable<bool> CallerStream::write(std::string_view bytes)
{
    bool written = true;
    while (written && !bytes.empty()) {
        const auto piece = asio::buffer(bytes.substr(0, internal::writePieceBytes));
        written = co_await writeTimed(piece);
        bytes.remove_prefix(piece.size());
    }
    co_return written;
}

asio::awaitable<bool> CallerStream::writeChunk(std::string_view bytes)
{
    if (bytes.empty()) {
        co_return true;
    }
    const auto chunk = boost::beast::http::make_chunk(asio::buffer(bytes));
    const bool written = co_await writeTimed(chunk);
    co_return written;
}

asio::awaitable<bool> CallerStream::writeLastChunk()
{
    const auto chunk = boost::beast::http::make_chunk_last();
    const bool written = co_await writeTimed(chunk);
    co_return written;
}

void CallerStream::hurryWrite()
{
    if (m_writing) {
        startTimer(internal::lingerTime);
    }
}

void CallerStream::watch(std::shared_ptr<Mailbox> mailbox)
{
    asio::co_spawn(
        m_socket.get_executor(),
        [self = shared_from_this(), mailbox = std::move(mailbox)]() mutable { return self->runWatch(std::move(mailbox)); },
        asio::detached);
}

asio::awaitable<void> CallerStream::runWatch(std::shared_ptr<Mailbox> mailbox)
{
    const auto self = shared_from_this();
    const auto number = ++m_watch;
    boost::system::error_code ec;
    co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, ec));
    if (ec || number != m_watch) {
        co_return;
    }
    // Bytes are the next request, sent ahead; they hide the end of the connection, which then shows in the next write.
    if (peek(m_socket) == PeekResult::Closed) {
        mailbox->deliver(CallerGone{});
    }
}

void CallerStream::endWatch()
{
    ++m_watch;
    boost::system::error_code ec;
    m_socket.cancel(ec);
}

void CallerStream::startTimer(Milliseconds time)
{
    const auto operation = ++m_operation;
    m_timer.expires_after(time);
    m_timer.async_wait([self = weak_from_this(), operation](const boost::system::error_code &ec) {
        const auto stream = self.lock();
        if (!ec && stream && stream->m_operation == operation) {
            stream->m_timedOut = true;
            boost::system::error_code ignored;
            stream->m_socket.cancel(ignored);
        }
    });
}

bool CallerStream::clearTimer()
{
    ++m_operation;
    m_timer.cancel();
    return std::exchange(m_timedOut, false);
}

asio::awaitable<void> CallerStream::closeGracefully()
{
    boost::system::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    startTimer(internal::lingerTime);
    std::array<char, 4096> scratch{};
    for (std::size_t taken = 0; !ec && taken < internal::lingerBytes;) {
        taken += co_await m_socket.async_read_some(asio::buffer(scratch), asio::redirect_error(asio::use_awaitable, ec));
    }
    clearTimer();
    close();
}

void CallerStream::cancel()
{
    boost::system::error_code ec;
    m_socket.cancel(ec);
}

void CallerStream::close()
{
    boost::system::error_code ec;
    m_socket.close(ec);
}

} // namespace guavafield
