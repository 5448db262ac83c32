// Tests of upstreams that answer a long request before they have received it, and of what callers get of such answers.
#include "support/http/forward_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>

namespace guavafield::test {

namespace {

constexpr std::size_t receivedBytes = 20'000;
constexpr std::string_view lastChunk = "0\r\n\r\n";

std::string unframedHead(const FakeCall &call, unsigned status)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: text/event-stream\r\n" + echo(call) + "\r\n";
}

// Answers before the end of the request and resets the connection.
void answerAndReset(FakeCall &call, std::string_view answer)
{
    call.receive(receivedBytes);
    call.send(answer);
    call.reset();
}

// Answers before the end of the request, ends the answer and takes the rest of the request.
void answerAndEnd(FakeCall &call, std::string_view answer)
{
    call.receive(receivedBytes);
    call.send(answer);
    call.endSending();
    call.receive(longBodyBytes);
}

std::unique_ptr<PathFixture> makeUploadFixture(const std::vector<FakeUpstream *> &upstreams)
{
    auto fixture = makeForwardFixture(upstreams);
    fixture->settings.limits.bodyBytes = 2 * longBodyBytes;
    fixture->start();
    return fixture;
}

std::string upload(std::string_view path)
{
    return forwardRequest(path, "abc123", {}, std::string(longBodyBytes, 'x'));
}

} // namespace

class EarlyAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EarlyAnswerTest);
    CPPUNIT_TEST(partOfAnAnswerIsNotDelivered);
    CPPUNIT_TEST(partOfAnErrorIsNotDelivered);
    CPPUNIT_TEST(partOfAStreamIsNotEnded);
    CPPUNIT_TEST(partOfAStreamIsResumed);
    CPPUNIT_TEST(wholeAnswerIsDelivered);
    CPPUNIT_TEST(wholeAnswerWithALengthIsDeliveredDespiteAReset);
    CPPUNIT_TEST(refusalIsPassedOnDespiteAReset);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the part of an answer before a reset that a caller gets as the whole.
    void partOfAnAnswerIsNotDelivered()
    {
        expectFailure(200);
    }

    // Guards against the same part of an upstream's own error.
    void partOfAnErrorIsNotDelivered()
    {
        expectFailure(404);
        expectFailure(500);
    }

    // Guards against a stream that ends regularly, as its last event before the reset was whole.
    void partOfAStreamIsNotEnded()
    {
        FakeUpstream upstream([](FakeCall &call) { answerAndReset(call, unframedHead(call, 200) + event(1) + event(2)); }, receiveHeaderOnly);
        const auto fixture = makeUploadFixture({&upstream});
        auto client = fixture->connect();
        client.send(upload("/stream/x"));
        const auto all = client.readAll();
        CPPUNIT_ASSERT_MESSAGE(all, !all.ends_with(lastChunk));
        CPPUNIT_ASSERT_MESSAGE(all, all.find("502") != std::string::npos || all.find("e2") != std::string::npos);
    }

    // Guards against a stream that is not taken up elsewhere, as its part looked whole.
    void partOfAStreamIsResumed()
    {
        std::atomic<int> calls{0};
        const auto handler = [&](FakeCall &call) {
            if (calls++ == 0) {
                answerAndReset(call, unframedHead(call, 200) + event(1) + event(2));
            } else {
                answerAndEnd(call, unframedHead(call, 200) + event(3));
            }
        };
        FakeUpstream first(handler, receiveHeaderOnly);
        FakeUpstream second(handler, receiveHeaderOnly);
        const auto fixture = makeUploadFixture({&first, &second});
        const auto answer = fixture->call(upload("/resume/x"));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), answer->body());
        CPPUNIT_ASSERT_EQUAL(2, calls.load());
    }

    // Guards against answers without a length that are lost since they came before the end of their request.
    void wholeAnswerIsDelivered()
    {
        FakeUpstream upstream([](FakeCall &call) { answerAndEnd(call, unframedHead(call, 200) + event(1) + event(2)); }, receiveHeaderOnly);
        const auto fixture = makeUploadFixture({&upstream});
        // Not /resume/, whose limit for a silence is too short for the rest of the request on a busy machine.
        for (const std::string path : {"/once/x", "/call/x", "/stream/x"}) {
            const auto answer = fixture->call(upload(path));
            CPPUNIT_ASSERT_MESSAGE(path, answer.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200U, answer->result_int());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, event(1) + event(2), answer->body());
        }
    }

    // Guards against a whole answer that is lost to the reset behind it.
    void wholeAnswerWithALengthIsDeliveredDespiteAReset()
    {
        for (const auto status : {200U, 413U}) {
            FakeUpstream upstream(
                [status](FakeCall &call) {
                    call.receive(receivedBytes);
                    call.reply(status, "whole", echo(call));
                    call.reset();
                },
                receiveHeaderOnly);
            const auto fixture = makeUploadFixture({&upstream});
            const auto answer = fixture->call(upload("/once/x"));
            CPPUNIT_ASSERT(answer.has_value());
            CPPUNIT_ASSERT_EQUAL(status, answer->result_int());
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer->body());
        }
    }

    // Guards against a refusal whose promise is lost with its body; the header alone says that the request did not run.
    void refusalIsPassedOnDespiteAReset()
    {
        FakeUpstream upstream(
            [](FakeCall &call) {
                const auto head = "HTTP/1.1 503 x\r\nX-Guavafield-Request-Id: " + idOf(call) + "\r\nX-Guavafield-Not-Executed: 1\r\n\r\n";
                answerAndReset(call, head + "fu");
            },
            receiveHeaderOnly);
        const auto fixture = makeUploadFixture({&upstream});
        const auto answer = fixture->call(upload("/once/x"));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
        CPPUNIT_ASSERT(notRun(answer->body()));
    }

private:
    static void expectFailure(unsigned status)
    {
        for (const std::string path : {"/once/x", "/call/x"}) {
            const auto handler = [status](FakeCall &call) { answerAndReset(call, unframedHead(call, status) + "part"); };
            FakeUpstream first(handler, receiveHeaderOnly);
            FakeUpstream second(handler, receiveHeaderOnly);
            const auto fixture = makeUploadFixture({&first, &second});
            const auto answer = fixture->call(upload(path));
            CPPUNIT_ASSERT_MESSAGE(path, answer.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 502U, answer->result_int());
            CPPUNIT_ASSERT_MESSAGE(path, answer->body().find("part") == std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyAnswerTest);

} // namespace guavafield::test
