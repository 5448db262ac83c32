// Tests of the store's answers: malformed ones name no rows and harm no call.
#include "platform/names.hpp"
#include "platform/store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>
#include <vector>

namespace guavafield::platform {

namespace {

// Answers requests of one connection with the given bytes in turn, and goes on with a piece until the other side closes.
class AnswerServer
{
public:
    AnswerServer(std::vector<std::string> answers, std::string endlessPiece)
        : m_acceptor(m_io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_thread([this, answers = std::move(answers), piece = std::move(endlessPiece)] { serve(answers, piece); })
    {
    }
    AnswerServer(std::string answer, std::string endlessPiece) : AnswerServer(std::vector{std::move(answer)}, std::move(endlessPiece)) { }
    ~AnswerServer()
    {
        m_thread.join();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }
    [[nodiscard]] std::size_t sent() const noexcept
    {
        return m_sent;
    }
    // Heads of the requests; complete once the answers have arrived.
    [[nodiscard]] const std::vector<std::string> &requests() const noexcept
    {
        return m_requests;
    }

private:
    void serve(const std::vector<std::string> &answers, const std::string &piece)
    {
        constexpr std::size_t most = std::size_t{200} << 20U;
        boost::system::error_code ec;
        auto socket = m_acceptor.accept(ec);
        for (const auto &answer : answers) {
            std::string head;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", ec);
            m_requests.push_back(std::move(head));
            boost::asio::write(socket, boost::asio::buffer(answer), ec);
        }
        while (!ec && !piece.empty() && m_sent < most) {
            m_sent += boost::asio::write(socket, boost::asio::buffer(piece), ec);
        }
    }

    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_sent{0};
    std::vector<std::string> m_requests;
    std::thread m_thread;
};

template <typename Function>
TableReply call(const AnswerServer &server, Function &&function)
{
    boost::asio::io_context io;
    Counters counters;
    PlatformClientSettings settings;
    settings.epochHeader = std::string(names::storeEra);
    PlatformClient client(io.get_executor(), "127.0.0.1", server.port(), counters, settings);
    const auto feed = storeFeed(client);
    auto reply = boost::asio::co_spawn(io, function(feed), boost::asio::use_future);
    io.run();
    return reply.get();
}

TableReply readFrom(const AnswerServer &server)
{
    return call(server, [](const TableFeed &feed) { return feed.readAll("servers"); });
}

std::string whole(const std::string &body, const std::string &headers = {})
{
    const auto length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + headers + length + "\r\n" + body;
}

} // namespace

class StoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreTest);
    CPPUNIT_TEST(malformedNumbersAreNoVersions);
    CPPUNIT_TEST(malformedRowIsPassedOver);
    CPPUNIT_TEST(tableWithReservedCharactersInAKeyIsReadOn);
    CPPUNIT_TEST(answerWithoutEndIsCut);
    CPPUNIT_TEST(versionsOfARestoredStoreAreNewerThanThoseItLost);
    CPPUNIT_TEST(changesOfARestoredStoreAreAGap);
    CPPUNIT_TEST_SUITE_END();

public:
    // A key cut at "&" asks for the same rows again and again; one with a space is no request.
    void tableWithReservedCharactersInAKeyIsReadOn()
    {
        const std::string first = R"({"ver":9,"hasMore":true,"rows":[{"key":"a&b c%d+e#f/g","ver":4,"value":"eA=="}]})";
        const std::string last = R"({"ver":9,"rows":[{"key":"h","ver":5,"value":"eA=="}]})";
        AnswerServer server(std::vector{whole(first), whole(last)}, {});
        const auto reply = readFrom(server);
        const auto *page = std::get_if<TablePage>(&reply);
        CPPUNIT_ASSERT(page != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page->rows.size());
        const auto &request = server.requests().back();
        CPPUNIT_ASSERT_MESSAGE(request, request.find("&from=a%26b%20c%25d%2Be%23f/g! HTTP/1.1\r\n") != std::string::npos);
    }

    // A version that fits no integer ended the process with an exception.
    void malformedNumbersAreNoVersions()
    {
        for (const auto *version : {"-1", "1e300", "1.5", "\"7\"", "null", "[]", "18446744073709551616"}) {
            AnswerServer server(whole(std::string(R"({"ver":)") + version + R"(,"rows":[]})"), {});
            const auto reply = readFrom(server);
            CPPUNIT_ASSERT_MESSAGE(version, std::holds_alternative<TableUnavailable>(reply));
        }
    }

    void malformedRowIsPassedOver()
    {
        AnswerServer server(whole(R"({"ver":9,"rows":[{"key":"a","ver":-4,"value":"eA=="},{"key":"b","ver":5,"value":"eA=="}]})"), {});
        const auto reply = readFrom(server);
        const auto *page = std::get_if<TablePage>(&reply);
        CPPUNIT_ASSERT(page != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page->rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), page->rows.front().key);
    }

    // A host that compares bare numbers ignores all that is written after a restoration.
    void versionsOfARestoredStoreAreNewerThanThoseItLost()
    {
        const std::string body = R"({"ver":100,"rows":[{"key":"a","ver":99,"value":"eA=="}]})";
        const std::string restoredBody = R"({"ver":40,"rows":[{"key":"a","ver":30,"value":"eA=="}]})";
        AnswerServer server(whole(body, "Store-Era: 1\r\n"), {});
        AnswerServer restored(whole(restoredBody, "Store-Era: 2\r\n"), {});
        const auto before = std::get<TablePage>(readFrom(server));
        const auto after = std::get<TablePage>(readFrom(restored));
        CPPUNIT_ASSERT(after.complete > before.complete);
        CPPUNIT_ASSERT(after.rows.front().version > before.rows.front().version);
        CPPUNIT_ASSERT(after.rows.front().version <= after.complete);
        CPPUNIT_ASSERT_EQUAL(RowVersion{40}, withoutEpoch(after.complete));
    }

    // The number of a version that was lost is given out again.
    void changesOfARestoredStoreAreAGap()
    {
        for (const std::string era : {"1", "2"}) {
            AnswerServer server(whole(R"({"ver":110,"rows":[]})", "Store-Era: " + era + "\r\n"), {});
            const auto reply = call(server, [](const TableFeed &feed) { return feed.follow("servers", versionInEpoch(1, 100), Milliseconds{0}); });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(era, era == "2", std::holds_alternative<TableGap>(reply));
            CPPUNIT_ASSERT(server.requests().front().find("after=100&") != std::string::npos);
        }
    }

    // A chunk's extension without end must not fill the memory until the call times out.
    void answerWithoutEndIsCut()
    {
        constexpr std::size_t socketBufferBytes = std::size_t{24} << 20U;
        AnswerServer server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", std::string(16'384, 'a'));
        const auto reply = readFrom(server);
        CPPUNIT_ASSERT(std::holds_alternative<TableUnavailable>(reply));
        CPPUNIT_ASSERT(server.sent() < socketBufferBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTest);

} // namespace guavafield::platform
