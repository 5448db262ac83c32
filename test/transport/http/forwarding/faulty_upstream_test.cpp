// Tests of upstreams that repeat refusals, break off in a header or a stream, or end their answers with the connection.
#include "support/http/forward_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace guavafield::test {

namespace {

constexpr std::string_view lastChunk = "0\r\n\r\n";

std::string refusal(unsigned status, const std::string &idHeader)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + idHeader + "X-Guavafield-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
}

std::string idHeader(const FakeCall &call)
{
    return "X-Guavafield-Request-Id: " + idOf(call) + "\r\n";
}

bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// Header of a stream without a length that ends with the connection.
std::string unframedStream(const FakeCall &call)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" + echo(call) + "\r\n";
}

} // namespace

class FaultyUpstreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultyUpstreamTest);
    CPPUNIT_TEST(repeatedRefusalIsNotTakenForTheAnswer);
    CPPUNIT_TEST(errorOfTheNextUpstreamIsNotPutIntoAStream);
    CPPUNIT_TEST(answerThatEndsInItsHeaderIsNoAnswer);
    CPPUNIT_TEST(unframedStreamEndsWithItsConnection);
    CPPUNIT_TEST(unframedAnswerThatIsResetIsNotWhole);
    CPPUNIT_TEST(unframedStreamWithoutAnEventIsNotWhole);
    CPPUNIT_TEST(statusThatEndsNoAnswerIsAFaultOfTheUpstream);
    CPPUNIT_TEST(invalidStatusIsRetriedOnlyWhereTheRequestMayBeRepeated);
    CPPUNIT_TEST_SUITE_END();

public:
    // A caller must not get an answer whose status is none of HTTP, on no kind of route.
    void statusThatEndsNoAnswerIsAFaultOfTheUpstream()
    {
        for (const std::string status : {"000", "099", "600", "700", "999"}) {
            for (const std::string path : {"/once/x", "/stream/x", "/resume/x"}) {
                FakeUpstream upstream([&](FakeCall &call) { call.send("HTTP/1.1 " + status + " x\r\n" + echo(call) + "Content-Length: 4\r\n\r\nbody"); });
                const auto fixture = makeForwardFixture({&upstream});
                fixture->start();
                const auto answer = fixture->call(forwardRequest(path));
                auto message = status;
                message += " at " + path;
                CPPUNIT_ASSERT_MESSAGE(message, answer.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 502U, answer->result_int());
                CPPUNIT_ASSERT_MESSAGE(message, answer->count("X-Guavafield-Response-Seal") == 0);
            }
        }
    }

    // The upstream may have run the request, whatever its status says.
    void invalidStatusIsRetriedOnlyWhereTheRequestMayBeRepeated()
    {
        std::atomic<int> runs{0};
        const auto behave = [&](FakeCall &call) {
            if (++runs == 1) {
                call.send("HTTP/1.1 000 x\r\n" + echo(call) + "Content-Length: 0\r\n\r\n");
            } else {
                call.reply(200, "whole", echo(call));
            }
        };
        FakeUpstream first(behave);
        FakeUpstream second(behave);
        const auto fixture = makeForwardFixture({&first, &second});
        fixture->start();
        CPPUNIT_ASSERT_EQUAL(200U, fixture->call(forwardRequest("/call/x"))->result_int());
        CPPUNIT_ASSERT_EQUAL(2, runs.load());
        runs = 0;
        CPPUNIT_ASSERT_EQUAL(502U, fixture->call(forwardRequest("/once/x", "def456"))->result_int());
        CPPUNIT_ASSERT_EQUAL(1, runs.load());
    }

    // An upstream that writes an earlier refusal once more, with its id or without one, must not make a request look as if it had not run.
    void repeatedRefusalIsNotTakenForTheAnswer()
    {
        for (const unsigned status : {503U, 429U, 421U, 400U}) {
            for (const bool named : {true, false}) {
                const auto text = std::to_string(status) + (named ? " named" : " unnamed");
                std::mutex mutex;
                std::string earlier;
                std::atomic<int> faultyRuns{0};
                std::atomic<int> soundRuns{0};
                FakeUpstream faulty([&](FakeCall &call) {
                    ++faultyRuns;
                    const std::scoped_lock lock(mutex);
                    call.send(earlier);
                    call.reply(200, "done", echo(call));
                    earlier = refusal(status, named ? idHeader(call) : std::string());
                });
                FakeUpstream sound([&](FakeCall &call) {
                    ++soundRuns;
                    call.reply(200, "done", echo(call));
                });
                auto fixture = makeForwardFixture({&faulty, &sound});
                fixture->start();
                for (int n = 0; n < 20; ++n) {
                    const auto answer = fixture->call(forwardRequest("/once/x", "request" + std::to_string(n)));
                    CPPUNIT_ASSERT_MESSAGE(text, answer.has_value());
                    CPPUNIT_ASSERT_MESSAGE(text, !promisesNotRun(answer->result_int()));
                    CPPUNIT_ASSERT_MESSAGE(text, answer->body() != "full");
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, n + 1, faultyRuns + soundRuns);
                }
                CPPUNIT_ASSERT_MESSAGE(text, faultyRuns > 1);
            }
        }
    }

    // After a part of a stream callers get its continuation or see that it broke off, never the next upstream's error.
    void errorOfTheNextUpstreamIsNotPutIntoAStream()
    {
        const auto error = std::string("the engine failed");
        const std::vector<std::function<void(FakeCall &)>> errors{
            [&](FakeCall &call) { call.reply(500, error, echo(call)); },
            [&](FakeCall &call) { call.reply(400, error, echo(call)); },
            [&](FakeCall &call) { call.reply(404, error + "\n\n", echo(call)); },
            [&](FakeCall &call) { call.reply(200, error + "\n\n", echo(call)); },
            [&](FakeCall &call) { call.reply(204, "", echo(call)); },
            [&](FakeCall &call) { call.send("HTTP/1.1 500 x\r\nConnection: close\r\n" + echo(call) + "\r\n" + error), call.drop(); },
            [&](FakeCall &call) { call.send("HTTP/1.1 200 OK\r\nConnection: close\r\n" + echo(call) + "\r\n"), call.drop(); },
            [&](FakeCall &call) { call.send(error + "\r\n\r\n"), call.drop(); },
        };
        for (std::size_t n = 0; n < errors.size(); ++n) {
            std::atomic<int> calls{0};
            const auto handler = [&](FakeCall &call) {
                if (calls++ > 0) {
                    errors[n](call);
                    return;
                }
                beginEvents(call);
                call.send(chunk(event(1) + event(2)));
                call.drop();
            };
            FakeUpstream first(handler);
            FakeUpstream second(handler);
            auto fixture = makeForwardFixture({&first, &second});
            fixture->start();
            auto client = fixture->connect();
            client.send(forwardRequest("/resume/x"));
            const auto all = client.readAll();
            const auto text = std::to_string(n) + ": " + all;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 2, calls.load());
            CPPUNIT_ASSERT_MESSAGE(text, all.find("e2") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(text, all.find(error) == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(text, all.find("HTTP/1.1", 1) == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(text, !all.ends_with(lastChunk));
        }
    }

    // A header without its end, wherever it stops, says neither the status nor the length of an answer.
    void answerThatEndsInItsHeaderIsNoAnswer()
    {
        for (const auto *path : {"/once/x", "/call/x", "/stream/x", "/resume/x"}) {
            std::size_t length = 1;
            for (std::size_t cut = 1; cut < length; cut += 5) {
                const auto handler = [&](FakeCall &call) {
                    const auto header = "HTTP/1.1 200 OK\r\n" + echo(call) + "Content-Type: text/event-stream\r\nContent-Length: 10\r\n\r\n";
                    call.send(header.substr(0, cut));
                    call.drop();
                };
                FakeUpstream first(handler);
                FakeUpstream second(handler);
                length = std::string("HTTP/1.1 200 OK\r\nX-Guavafield-Request-Id: abc123\r\n" + std::string(seal)
                                     + "Content-Type: text/event-stream\r\nContent-Length: 10\r\n\r\n")
                             .size();
                auto fixture = makeForwardFixture({&first, &second});
                fixture->start();
                const auto answer = fixture->call(forwardRequest(path));
                CPPUNIT_ASSERT_MESSAGE(path, answer.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path + std::string(" ") + std::to_string(cut), 502U, answer->result_int());
            }
        }
    }

    void unframedStreamEndsWithItsConnection()
    {
        for (const auto *path : {"/stream/x", "/resume/x"}) {
            FakeUpstream upstream([&](FakeCall &call) {
                call.send(unframedStream(call) + event(1) + event(2));
                call.drop();
            });
            auto fixture = makeForwardFixture({&upstream});
            fixture->start();
            const auto answer = fixture->call(forwardRequest(path));
            CPPUNIT_ASSERT_MESSAGE(path, answer.has_value());
            CPPUNIT_ASSERT_EQUAL(event(1) + event(2), answer->body());
        }
    }

    // The end of the connection ends an answer without a length only if nothing is missing before it.
    void unframedAnswerThatIsResetIsNotWhole()
    {
        const std::vector<std::function<void(FakeCall &)>> ends{
            [](FakeCall &call) { call.send(unframedStream(call) + event(1) + "id: 2\nda"), call.drop(); },
            [](FakeCall &call) { call.send(unframedStream(call) + event(1)), std::ignore = call.writable(std::chrono::milliseconds(50)), call.reset(); },
        };
        for (const auto &end : ends) {
            FakeUpstream upstream(end);
            auto fixture = makeForwardFixture({&upstream});
            fixture->start();
            auto client = fixture->connect();
            client.send(forwardRequest("/stream/x"));
            const auto all = client.readAll();
            CPPUNIT_ASSERT_MESSAGE(all, !all.ends_with(lastChunk));
            CPPUNIT_ASSERT_MESSAGE(all, all.find("id: 2") == std::string::npos);
        }
        for (const auto *path : {"/once/x", "/call/x"}) {
            const auto handler = [](FakeCall &call) {
                call.send("HTTP/1.1 200 OK\r\nConnection: close\r\n" + echo(call) + "\r\nhalf");
                call.reset();
            };
            FakeUpstream first(handler);
            FakeUpstream second(handler);
            auto fixture = makeForwardFixture({&first, &second});
            fixture->start();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 502U, fixture->call(forwardRequest(path))->result_int());
        }
    }

    // An upstream that closes right after the header of a stream has stopped before its first event.
    void unframedStreamWithoutAnEventIsNotWhole()
    {
        for (const auto *path : {"/stream/x", "/resume/x"}) {
            const auto handler = [](FakeCall &call) {
                call.send(unframedStream(call));
                call.drop();
            };
            FakeUpstream first(handler);
            FakeUpstream second(handler);
            auto fixture = makeForwardFixture({&first, &second});
            fixture->start();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 502U, fixture->call(forwardRequest(path))->result_int());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultyUpstreamTest);

} // namespace guavafield::test
