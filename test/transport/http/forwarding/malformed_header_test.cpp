// Tests of answers whose header holds lines that are no fields.
#include "support/http/forward_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

namespace guavafield::test {

namespace {

using namespace std::string_literals;

const std::string body(1'000, 'b');

// Lines of a header without their ends; the body has 1,000 bytes.
const std::vector<std::string> malformedLines{
    "X First: 1",
    "X-First : 1",
    "X-First\t: 1",
    "X\tFirst: 1",
    "Content-Length : 400",
    "Content Length: 400",
    "Transfer-Encoding : chunked",
    "X-Fi\0rst: 1"s,
    "X-Fi\x01rst: 1",
    "X-Fi\x1frst: 1",
    "X-Fi\x7frst: 1",
    "X-Fi\x80rst: 1",
    "X-Fi\rrst: 1",
    "X-Fi\nrst: 1",
    ": 1",
    "X-First",
    "X-First: 1\r\n Content-Length: 400",
    "X-First: 1\r\n\tContent-Length: 400",
    "X-First: 1\r\n Transfer-Encoding: chunked",
    "X-First: 1\r\n ",
};

std::string answerWith(const FakeCall &call, const std::string &line)
{
    return "HTTP/1.1 200 OK\r\n" + echo(call) + line + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class MalformedHeaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MalformedHeaderTest);
    CPPUNIT_TEST(answerWithAMalformedFieldIsNotDelivered);
    CPPUNIT_TEST(interimAnswerWithAMalformedFieldEndsTheAnswer);
    CPPUNIT_TEST(valueWithUnusualBytesIsPassedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a line that is passed on as part of a field, or a body whose length the upstream meant otherwise.
    void answerWithAMalformedFieldIsNotDelivered()
    {
        for (const auto &line : malformedLines) {
            FakeUpstream upstream([&](FakeCall &call) { call.send(answerWith(call, line)); });
            const auto fixture = makeForwardFixture({&upstream});
            fixture->start();
            for (const std::string path : {"/once/x", "/stream/x"}) {
                const auto answer = fixture->call(forwardRequest(path));
                auto message = path;
                message.append(" ").append(line);
                CPPUNIT_ASSERT_MESSAGE(message, answer.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 502U, answer->result_int());
                CPPUNIT_ASSERT_MESSAGE(message, answer->count("X-First") == 0);
            }
        }
    }

    // Guards against an interim answer whose header is not checked, since it is not passed on.
    void interimAnswerWithAMalformedFieldEndsTheAnswer()
    {
        FakeUpstream upstream([&](FakeCall &call) {
            call.send("HTTP/1.1 103 x\r\nX-First: 1\r\n Content-Length: 400\r\n\r\n");
            call.reply(200, "body", echo(call));
        });
        const auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const auto answer = fixture->call(forwardRequest("/once/x"));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
    }

    // Guards against answers that are lost for bytes which a value may hold.
    void valueWithUnusualBytesIsPassedOn()
    {
        for (const std::string value : {"a b", "a\tb", "a: b", "\x80\xff", "caf\xc3\xa9", ""}) {
            FakeUpstream upstream([&](FakeCall &call) { call.reply(200, " body", echo(call) + "X-First: " + value + "\r\n"); });
            const auto fixture = makeForwardFixture({&upstream});
            fixture->start();
            const auto answer = fixture->call(forwardRequest("/once/x"));
            CPPUNIT_ASSERT_MESSAGE(value, answer.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, 200U, answer->result_int());
            CPPUNIT_ASSERT_EQUAL(value, std::string((*answer)["X-First"]));
            CPPUNIT_ASSERT_EQUAL(std::string(" body"), answer->body());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedHeaderTest);

} // namespace guavafield::test
