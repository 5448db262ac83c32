// Reading of the headers of answers, whichever system sent them.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <string_view>

namespace guavafield {

namespace internal {

// Largest number of bytes that one read takes.
inline constexpr std::size_t headerPieceBytes = std::size_t{16} * 1024;

/*! @brief Returns whether a header, as far as it has been received, has a line that continues the one before it (obs-fold). */
[[nodiscard]] bool hasFoldedLine(std::string_view received) noexcept;

/*! @brief Receives more bytes into a buffer with a limit. */
template <typename Stream>
boost::asio::awaitable<boost::system::error_code> receiveSome(Stream &stream, boost::beast::flat_buffer &buf)
{
    const auto size = boost::beast::read_size(buf, headerPieceBytes);
    if (size == 0) {
        co_return boost::beast::http::error::buffer_overflow;
    }
    boost::system::error_code ec;
    const auto n = co_await stream.async_read_some(buf.prepare(size), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    buf.commit(n);
    co_return ec;
}

} // namespace internal

/*!
 * @brief Reads the header of an answer, as boost::beast::http::async_read_header() does, but takes folded lines for a fault.
 *
 * Beast appends such a line to the value before it, also where the sender meant a field of its own, e.g. the length of the body. A proxy may discard
 * the answer (RFC 9112, 5.2).
 * @return The error that ended the reading, if any; that of a connection which ended before the header is asio::error::eof.
 */
template <typename Stream, typename Body>
boost::asio::awaitable<boost::system::error_code>
readAnswerHeader(Stream &stream, boost::beast::flat_buffer &buf, boost::beast::http::response_parser<Body> &parser)
{
    namespace http = boost::beast::http;
    parser.eager(false);
    bool needMore = buf.size() == 0;
    while (!parser.is_header_done()) {
        boost::system::error_code ec;
        if (needMore) {
            ec = co_await internal::receiveSome(stream, buf);
        }
        if (ec) {
            co_return ec;
        }
        const auto bytes = buf.cdata();
        if (internal::hasFoldedLine({static_cast<const char *>(bytes.data()), bytes.size()})) {
            co_return http::error::bad_field;
        }
        buf.consume(parser.put(bytes, ec));
        needMore = ec == http::error::need_more;
        if (ec && !needMore) {
            co_return ec;
        }
    }
    co_return boost::system::error_code{};
}

} // namespace guavafield
