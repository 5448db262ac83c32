// Tests of HEAD requests and of statuses without a body: their answers end with the header.
#include "support/http/forward_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace guavafield::test {

namespace {

std::string headRequest(std::string_view path, std::string_view key = testKey)
{
    std::string text = "HEAD " + std::string(path) + " HTTP/1.1\r\nHost: app.example\r\nX-Guavafield-Request-Id: h1\r\n";
    return text + "Authorization: Token " + std::string(key) + "\r\n\r\n";
}

// Returns all that a caller gets for a request and for a following one, after which it closes the connection.
std::string answersTo(PathFixture &fixture, const std::string &first)
{
    auto client = fixture.connect();
    client.send(first);
    CPPUNIT_ASSERT(client.readUntil("\r\n\r\n"));
    client.send(forwardRequest("/call/following", "f1", "Connection: close\r\n"));
    return client.readAll();
}

// Checks that the second answer stands right behind the header of the first.
void assertHeaderAlone(const std::string &bytes, std::string_view status)
{
    CPPUNIT_ASSERT_MESSAGE(bytes, bytes.starts_with("HTTP/1.1 " + std::string(status)));
    CPPUNIT_ASSERT_MESSAGE(bytes, bytes.substr(bytes.find("\r\n\r\n") + 4).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_MESSAGE(bytes, bytes.ends_with("following"));
}

} // namespace

class HeadRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeadRequestTest);
    CPPUNIT_TEST(refusedHeadRequestGetsNoBody);
    CPPUNIT_TEST(answerOfAnUpstreamKeepsItsFraming);
    CPPUNIT_TEST_SUITE_END();

public:
    // The body of a refusal would stand where the next answer on the connection is due.
    void refusedHeadRequestGetsNoBody()
    {
        FakeUpstream upstream([](FakeCall &call) { answer(call); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const auto refused = answersTo(*fixture, headRequest("/call/x", "no key"));
        assertHeaderAlone(refused, "401");
        CPPUNIT_ASSERT_MESSAGE(refused, refused.find("Content-Length: 0") == std::string::npos);
        assertHeaderAlone(answersTo(*fixture, headRequest("/nowhere/x")), "404");
        assertHeaderAlone(answersTo(*fixture, headRequest("/call/refused")), "503");
    }

    // Guards against a length of zero for a body that has one, a last chunk, and a length where there is no body.
    void answerOfAnUpstreamKeepsItsFraming()
    {
        FakeUpstream upstream([](FakeCall &call) { answer(call); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const auto lengthOf = [](const std::string &bytes) {
            const auto header = bytes.substr(0, bytes.find("\r\n\r\n") + 2);
            const auto at = header.find("Content-Length: ");
            return at == std::string::npos ? std::string() : header.substr(at, header.find("\r\n", at) - at);
        };
        const std::map<std::string, std::string> lengths{{"/call/length", "Content-Length: 700"}, {"/call/none", ""}, {"/call/chunked", ""}, {"/stream/x", ""}};
        for (int n = 0; n < 3; ++n) {
            for (const auto &[path, length] : lengths) {
                const auto bytes = answersTo(*fixture, headRequest(path));
                assertHeaderAlone(bytes, "200");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path, length, lengthOf(bytes));
            }
            for (const auto *status : {"204", "304"}) {
                const auto bytes = answersTo(*fixture, forwardRequest("/call/" + std::string(status)));
                assertHeaderAlone(bytes, status);
                CPPUNIT_ASSERT_EQUAL(std::string(), lengthOf(bytes));
            }
        }
    }

private:
    static void answer(FakeCall &call)
    {
        const std::map<std::string, std::string> heads{{"/call/length", "200 OK\r\nContent-Length: 700"},
                                                       {"/call/none", "200 OK"},
                                                       {"/call/chunked", "200 OK\r\nTransfer-Encoding: chunked"},
                                                       {"/stream/x", "200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"},
                                                       {"/call/204", "204 No Content"},
                                                       {"/call/304", "304 Not Modified"},
                                                       {"/call/refused", "503 Full\r\nX-Guavafield-Not-Executed: 1\r\nContent-Length: 4"}};
        const auto it = heads.find(call.path());
        if (it == heads.end()) {
            call.reply(200, "following", echo(call));
        } else {
            call.send("HTTP/1.1 " + it->second + "\r\n" + echo(call) + "\r\n");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadRequestTest);

} // namespace guavafield::test
