// Tests of what upstreams say about themselves in the headers of their answers.
#include "support/http/forward_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

namespace guavafield::test {

class UpstreamNoticesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamNoticesTest);
    CPPUNIT_TEST(upstreamThatAnnouncedItsEndGetsNoRequests);
    CPPUNIT_TEST(announcementOfAnotherUpstreamAtTheAddressIsIgnored);
    CPPUNIT_TEST(loadOfAnotherUpstreamAtTheAddressIsNoSignOfLife);
    CPPUNIT_TEST(upstreamThatAskedForAPauseGetsNoRequests);
    CPPUNIT_TEST(refusalWithoutAReadableTimeIsNoPause);
    CPPUNIT_TEST(upstreamThatLimitsItsRateGetsNoMore);
    CPPUNIT_TEST(requestTakenFromALeavingUpstreamIsNotCalledNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // An upstream that leaves says so in its answers, perhaps before its entry does or without ever changing it.
    void upstreamThatAnnouncedItsEndGetsNoRequests()
    {
        for (const auto *path : {"/once/x", "/call/x", "/stream/x", "/resume/x"}) {
            std::atomic<bool> leaving{true};
            FakeUpstream first([&](FakeCall &call) { answer(call, leaving); });
            FakeUpstream second([&](FakeCall &call) { answer(call, false); });
            auto fixture = makeForwardFixture({&first, &second});
            fixture->start();
            int number = 0;
            const auto send = [&](int count) {
                for (int n = 0; n < count; ++n) {
                    const auto reply = fixture->call(forwardRequest(path, "n" + std::to_string(++number)));
                    CPPUNIT_ASSERT(reply.has_value());
                    CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
                }
            };
            send(30);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::size_t{1}, first.calls());
            // Neither the same entry again nor its removal and return is a new process.
            fixture->applyConfiguration();
            const auto entry = fixture->configuration.upstreams.at("u1");
            fixture->configuration.upstreams.erase("u1");
            fixture->applyConfiguration();
            fixture->configuration.upstreams["u1"] = entry;
            fixture->applyConfiguration();
            send(30);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::size_t{1}, first.calls());
            // The next process under the same id has not announced anything.
            leaving = false;
            fixture->configuration.upstreams["u1"].incarnation = entry.incarnation + 1;
            fixture->applyConfiguration();
            send(30);
            CPPUNIT_ASSERT_MESSAGE(path, first.calls() > 1);
        }
    }

    // The announcement of whoever has taken over an address says nothing about the upstream that had it.
    void announcementOfAnotherUpstreamAtTheAddressIsIgnored()
    {
        std::atomic<int> calls{0};
        FakeUpstream upstream([&](FakeCall &call) {
            if (++calls == 1) {
                call.reply(421, "another", "X-Guavafield-Request-Id: " + idOf(call) + "\r\nX-Guavafield-Not-Executed: 1\r\nServer-Leaving: 1\r\n");
            } else {
                answer(call, false);
            }
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        CPPUNIT_ASSERT_EQUAL(503U, fixture->call(forwardRequest("/once/x", "n1"))->result_int());
        CPPUNIT_ASSERT_EQUAL(200U, fixture->call(forwardRequest("/once/x", "n2"))->result_int());
    }

    // The upstream that leaves has been at work on the request, so that no status may promise the contrary.
    void requestTakenFromALeavingUpstreamIsNotCalledNotRun()
    {
        FakeUpstream upstream([](FakeCall &call) { call.waitForClose(); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        auto client = fixture->connect();
        client.send(forwardRequest("/call/x"));
        CPPUNIT_ASSERT(waitUntil([&] { return upstream.calls() == 1; }));
        fixture->configuration.upstreams["u1"].leavesAt = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        fixture->applyConfiguration();
        const auto answer = client.read();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
        CPPUNIT_ASSERT(!notRun(answer->body()));
    }

    // Whoever has taken over the address of a failed upstream says how busy it is itself.
    void loadOfAnotherUpstreamAtTheAddressIsNoSignOfLife()
    {
        constexpr std::size_t failures = 3;
        std::atomic<std::size_t> calls{0};
        FakeUpstream upstream([&](FakeCall &call) {
            if (++calls <= failures) {
                call.reply(200, "without a seal", "X-Guavafield-Request-Id: " + idOf(call) + "\r\n");
            } else {
                const auto load = "X-Guavafield-Not-Executed: 1\r\nX-Guavafield-Server-Load: 0,0,8\r\n";
                call.reply(421, "another", "X-Guavafield-Request-Id: " + idOf(call) + "\r\n" + load);
            }
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        int number = 0;
        const auto send = [&] { return fixture->call(forwardRequest("/call/x", "n" + std::to_string(++number))).has_value(); };
        // Until the upstream is tried again.
        CPPUNIT_ASSERT(waitUntil([&] { return send() && calls > failures; }));
        CPPUNIT_ASSERT(send());
        CPPUNIT_ASSERT_EQUAL(failures + 1, calls.load());
    }

    // A request that is sent before the pause is over finds the upstream as busy as before and costs its caller another attempt.
    void upstreamThatAskedForAPauseGetsNoRequests()
    {
        using Clock = std::chrono::steady_clock;
        constexpr std::chrono::milliseconds pause{1'500};
        for (const auto *path : {"/once/x", "/call/x", "/stream/x", "/resume/x"}) {
            std::atomic<bool> refused{false};
            std::atomic<Clock::time_point> refusedAt{};
            std::atomic<Clock::time_point> sentAgainAt{};
            FakeUpstream first([&](FakeCall &call) {
                if (!refused.exchange(true)) {
                    refusedAt = Clock::now();
                    call.reply(503, "busy", "X-Guavafield-Request-Id: " + idOf(call) + "\r\nX-Guavafield-Not-Executed: 1\r\nRetry-After: 1.5\r\n");
                    return;
                }
                sentAgainAt = sentAgainAt.load() == Clock::time_point() ? Clock::now() : sentAgainAt.load();
                answer(call, false);
            });
            FakeUpstream second([&](FakeCall &call) { answer(call, false); });
            auto fixture = makeForwardFixture({&first, &second});
            fixture->start();
            int number = 0;
            while (refusedAt.load() == Clock::time_point() || Clock::now() < refusedAt.load() + pause / 2) {
                const auto reply = fixture->call(forwardRequest(path, "n" + std::to_string(++number)));
                CPPUNIT_ASSERT(reply.has_value());
                CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::size_t{1}, first.calls());
            // Without another upstream callers are refused until the pause is over.
            fixture->configuration.upstreams.erase("u2");
            fixture->applyConfiguration();
            CPPUNIT_ASSERT_MESSAGE(path, waitUntil([&] {
                                       const auto reply = fixture->call(forwardRequest(path, "n" + std::to_string(++number)));
                                       return reply.has_value() && reply->result_int() == 200;
                                   }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::size_t{2}, first.calls());
            CPPUNIT_ASSERT_MESSAGE(path, sentAgainAt.load() - refusedAt.load() >= pause);
        }
    }

    // A value that cannot be read must not keep an upstream out of use.
    void refusalWithoutAReadableTimeIsNoPause()
    {
        for (const std::string value : {"", "soon", "-1", "nan", "1.5 s"}) {
            std::atomic<int> calls{0};
            FakeUpstream upstream([&](FakeCall &call) {
                if (++calls == 1) {
                    const std::string header = "Retry-After: " + value + "\r\n";
                    call.reply(503, "busy", "X-Guavafield-Request-Id: " + idOf(call) + "\r\nX-Guavafield-Not-Executed: 1\r\n" + header);
                } else {
                    answer(call, false);
                }
            });
            auto fixture = makeForwardFixture({&upstream});
            fixture->start();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, 503U, fixture->call(forwardRequest("/once/x", "n1"))->result_int());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, 200U, fixture->call(forwardRequest("/once/x", "n2"))->result_int());
        }
    }

    // An upstream in need names the requests a second that it takes; more of them make it fail.
    void upstreamThatLimitsItsRateGetsNoMore()
    {
        using Clock = std::chrono::steady_clock;
        constexpr double perSecond = 2;
        constexpr std::chrono::seconds window{2};
        // As many as the users' rule allows in the window.
        constexpr std::size_t mostCalls = 11;
        for (const auto *path : {"/once/x", "/call/x", "/stream/x", "/resume/x"}) {
            std::atomic<bool> limited{true};
            FakeUpstream first([&](FakeCall &call) { answerWith(call, limited ? "Server-Limit: " + std::to_string(perSecond) + "\r\n" : ""); });
            FakeUpstream second([&](FakeCall &call) { answer(call, false); });
            auto fixture = makeForwardFixture({&first, &second});
            fixture->start();
            int number = 0;
            const auto send = [&] {
                const auto reply = fixture->call(forwardRequest(path, "n" + std::to_string(++number)));
                CPPUNIT_ASSERT(reply.has_value());
                CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
            };
            const auto end = Clock::now() + window;
            while (Clock::now() < end) {
                send();
            }
            CPPUNIT_ASSERT_MESSAGE(path, number > 40);
            CPPUNIT_ASSERT_MESSAGE(path, first.calls() >= 1 && first.calls() <= mostCalls);
            // The limit ends with the first answer that does not name it.
            limited = false;
            CPPUNIT_ASSERT_MESSAGE(path, waitUntil([&] {
                                       send();
                                       return first.calls() > 2 * mostCalls;
                                   }));
        }
    }

private:
    static void answer(FakeCall &call, bool leaving)
    {
        answerWith(call, leaving ? "Server-Leaving: 1\r\n" : "");
    }

    static void answerWith(FakeCall &call, const std::string &notice)
    {
        if (call.path().starts_with("/once") || call.path().starts_with("/call")) {
            call.reply(200, "done", echo(call) + notice);
            return;
        }
        const auto body = event(1) + event(2);
        call.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + echo(call) + notice + "\r\n"
                  + body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamNoticesTest);

} // namespace guavafield::test
