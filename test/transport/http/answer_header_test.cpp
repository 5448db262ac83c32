// Tests of the reading of answers' headers from a connection.
#include <guavafield/transport/http/answer_header.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/_experimental/test/stream.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t wholeText = 1'000;

struct HeaderReading
{
    boost::system::error_code ec;
    http::response_header<> header;
    // What was received beyond the header.
    std::string rest;
};

// Reads a header that arrives in pieces of this size.
HeaderReading read(std::string_view text, std::size_t pieceBytes)
{
    boost::asio::io_context io;
    boost::beast::test::stream stream(io, text);
    stream.read_size(pieceBytes);
    stream.close_remote();
    boost::beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    auto done = boost::asio::co_spawn(io, readAnswerHeader(stream, buf, parser), boost::asio::use_future);
    io.run();
    return {done.get(), parser.get().base(), boost::beast::buffers_to_string(buf.cdata())};
}

} // namespace

class AnswerHeaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerHeaderTest);
    CPPUNIT_TEST(headerIsReadInPiecesOfAnySize);
    CPPUNIT_TEST(foldedLineIsAFault);
    CPPUNIT_TEST(blankInTheBodyIsNoFoldedLine);
    CPPUNIT_TEST(endOfTheConnectionIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bytes that are lost or taken twice between two reads.
    void headerIsReadInPiecesOfAnySize()
    {
        const std::string text = "HTTP/1.1 201 Made\r\nX-First: a b\tc \r\nX-Second:\xe9\r\nContent-Length: 4\r\n\r\n";
        for (std::size_t n = 1; n <= text.size(); ++n) {
            const auto reading = read(text, n);
            const auto message = std::to_string(n);
            CPPUNIT_ASSERT_MESSAGE(message, !reading.ec);
            const auto &header = reading.header;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 201U, header.result_int());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string("a b\tc"), std::string(header["X-First"]));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string("\xe9"), std::string(header["X-Second"]));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string("4"), std::string(header[http::field::content_length]));
        }
    }

    // Guards against a line that the sender meant as a field and that is appended to the value of the one before it.
    void foldedLineIsAFault()
    {
        const std::vector<std::string> headers{
            "X-First: 1\r\n Content-Length: 4\r\n\r\n",
            "X-First: 1\r\n\tContent-Length: 4\r\n\r\n",
            "X-First:\r\n Transfer-Encoding: chunked\r\nX-Second: 2\r\n\r\n",
            "Content-Length: 4\r\n \r\n\r\n",
            " X-First: 1\r\n\r\n",
        };
        for (const auto &it : headers) {
            const auto text = "HTTP/1.1 200 OK\r\n" + it;
            for (std::size_t n = 1; n <= text.size(); ++n) {
                CPPUNIT_ASSERT_MESSAGE(it + std::to_string(n), read(text, n).ec == http::error::bad_field);
            }
        }
    }

    // Guards against a search that goes on behind the end of the header.
    void blankInTheBodyIsNoFoldedLine()
    {
        for (const std::string body : {" x\r\n x", "\tx", "\r\n x"}) {
            const auto text = "HTTP/1.1 200 OK\r\nX-First: 1\r\n\r\n" + body;
            for (std::size_t n = 1; n <= text.size(); ++n) {
                CPPUNIT_ASSERT_MESSAGE(body + std::to_string(n), !read(text, n).ec);
            }
            CPPUNIT_ASSERT_EQUAL(body, read(text, wholeText).rest);
        }
    }

    // Guards against a header that is taken for whole where its connection ends.
    void endOfTheConnectionIsReported()
    {
        const std::string text = "HTTP/1.1 200 OK\r\nX-First: 1\r\n\r\n";
        for (std::size_t n = 0; n < text.size(); ++n) {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(n), read(text.substr(0, n), wholeText).ec == boost::asio::error::eof);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerHeaderTest);

} // namespace guavafield
