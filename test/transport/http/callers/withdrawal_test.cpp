// Tests of withdrawn keys, calls that may run only once, and graceful shutdown.
#include "support/http/path_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield::test {

class WithdrawalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WithdrawalTest);
    CPPUNIT_TEST(withdrawalClosesOpenStreams);
    CPPUNIT_TEST(closedKeyClosesOpenStreams);
    CPPUNIT_TEST(withdrawalRefusesWaitingRequests);
    CPPUNIT_TEST(withdrawalEndsABlockedWrite);
    CPPUNIT_TEST(onceCallsNeedKeyAndGate);
    CPPUNIT_TEST(onceCallsGoThroughTheGate);
    CPPUNIT_TEST(onceCallsAreSentOnce);
    CPPUNIT_TEST(servicesAreTriedInTurn);
    CPPUNIT_TEST(shutdownLetsStreamsEnd);
    CPPUNIT_TEST(shutdownLimitEndsStreams);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards P5 for streams: a new configuration without the key, or with it withdrawn, ends them.
    void withdrawalClosesOpenStreams()
    {
        for (const bool missing : {false, true}) {
            checkOpenStream([&](PathFixture &fixture) {
                if (missing) {
                    fixture.configuration.keys.clear();
                } else {
                    fixture.configuration.keys["k1"].withdrawn = true;
                }
                fixture.applyConfiguration();
            });
        }
    }

    // Guards P5 for a withdrawal that arrives ahead of its configuration.
    void closedKeyClosesOpenStreams()
    {
        checkOpenStream([](PathFixture &fixture) { fixture.path().closeKey("k1"); });
    }

    // Guards against a request in the queue that runs after its key was withdrawn.
    void withdrawalRefusesWaitingRequests()
    {
        FakeUpstream upstream([](FakeCall &call) { call.waitForClose(); });
        PathFixture fixture;
        fixture.addUpstream("u1", upstream);
        fixture.configuration.upstreams["u1"].slots = 1;
        fixture.start();
        auto running = fixture.connect();
        running.send(chat(true));
        CPPUNIT_ASSERT(waitUntil([&] { return upstream.calls() == 1; }));
        auto waiting = fixture.connect();
        waiting.send(chat(true));
        CPPUNIT_ASSERT(waitUntil([&] { return fixture.counters().value(CounterId::RequestsQueued) == 2; }));
        fixture.path().closeKey("k1");
        const auto answer = waiting.read();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(401U, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(2003U, codeOf(answer->body()));
        CPPUNIT_ASSERT(notRun(answer->body()));
        const auto interrupted = running.read();
        CPPUNIT_ASSERT_EQUAL(2003U, codeOf(interrupted->body()));
        CPPUNIT_ASSERT(!notRun(interrupted->body()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.calls());
    }

    // Guards P5 for a caller that does not read: its stream must not wait for the write's own, long limit.
    void withdrawalEndsABlockedWrite()
    {
        Signal closed;
        FakeUpstream upstream([&](FakeCall &call) {
            call.beginStream();
            const std::string padding(16384, 'p');
            bool alive = true;
            for (unsigned n = 0; alive; ++n) {
                auto chunk = tokenChunk(n);
                chunk.insert(1, R"("pad":")" + padding + R"(",)");
                alive = call.event(chunk);
            }
            closed.set();
        });
        PathFixture fixture;
        fixture.settings.limits.writeTimeout = Milliseconds{86'400'000};
        fixture.addUpstream("u1", upstream);
        fixture.start();
        auto client = fixture.connect(4096);
        client.send(chat(true));
        CPPUNIT_ASSERT(client.readUntil("t0 "));
        fixture.path().closeKey("k1");
        CPPUNIT_ASSERT(closed.wait());
        CPPUNIT_ASSERT(waitUntil([&] { return fixture.path().requestsInFlight() == 0; }));
    }

    // Guards P10: without an idempotency key, or without a place for its record, nothing is sent.
    void onceCallsNeedKeyAndGate()
    {
        FakeUpstream upstream([](FakeCall &call) { call.reply(200, "{}"); });
        PathFixture fixture;
        fixture.addUpstream("s1", upstream, false);
        fixture.addService("/orders", {"s1"}, false);
        fixture.start();
        const auto noKey = fixture.call(post("/orders", "x"));
        CPPUNIT_ASSERT_EQUAL(5004U, codeOf(noKey->body()));
        const auto noGate = fixture.call(post("/orders", "x", "Idempotency-Key: a\r\n"));
        CPPUNIT_ASSERT_EQUAL(5001U, codeOf(noGate->body()));
        CPPUNIT_ASSERT(notRun(noGate->body()));
        CPPUNIT_ASSERT(!(*noGate)["Retry-After"].empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, upstream.calls());
    }

    // Guards against a gate that is passed by, or that gets the wrong call.
    void onceCallsGoThroughTheGate()
    {
        FakeUpstream upstream([](FakeCall &call) { call.reply(201, "made"); });
        PathFixture fixture;
        fixture.addUpstream("s1", upstream, false);
        fixture.addService("/orders", {"s1"}, false);
        std::vector<std::string> seen;
        fixture.hooks.once = [&](OnceServiceCall call) -> boost::asio::awaitable<ServiceOutcome> {
            seen.push_back(call.team + "/" + call.idempotencyKey);
            if (seen.size() > 1) {
                co_return ServiceFailure{ResultCode::OnceKeyReused, true};
            }
            auto outcome = co_await call.run();
            co_return outcome;
        };
        fixture.start();
        const auto first = fixture.call(post("/orders", "x", "Idempotency-Key: a\r\n"));
        CPPUNIT_ASSERT_EQUAL(201U, first->result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("made"), first->body());
        const auto second = fixture.call(post("/orders", "y", "Idempotency-Key: a\r\n"));
        CPPUNIT_ASSERT_EQUAL(5002U, codeOf(second->body()));
        CPPUNIT_ASSERT((seen == std::vector<std::string>{"acme/a", "acme/a"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.calls());
    }

    // Guards P10: a call that may have run is not sent to the next upstream, and the caller is not told that it has not run.
    void onceCallsAreSentOnce()
    {
        FakeUpstream upstream([](FakeCall &call) { call.drop(); });
        PathFixture fixture;
        fixture.addUpstream("s1", upstream, false);
        fixture.addUpstream("s2", upstream, false);
        fixture.addService("/orders", {"s1", "s2"}, false);
        fixture.hooks.once = [](OnceServiceCall call) -> boost::asio::awaitable<ServiceOutcome> {
            auto outcome = co_await call.run();
            co_return outcome;
        };
        fixture.start();
        const auto answer = fixture.call(post("/orders", "x", "Idempotency-Key: a\r\n"));
        CPPUNIT_ASSERT_EQUAL(4003U, codeOf(answer->body()));
        CPPUNIT_ASSERT(!notRun(answer->body()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.calls());
    }

    // Guards against a repeatable call that ends with the first broken upstream.
    void servicesAreTriedInTurn()
    {
        FakeUpstream gone([](FakeCall &call) { call.drop(); });
        FakeUpstream breaking([](FakeCall &call) { call.drop(); });
        FakeUpstream good([](FakeCall &call) { call.reply(200, "fine"); });
        gone.crash();
        PathFixture fixture;
        fixture.addUpstream("s1", gone, false);
        fixture.addUpstream("s2", breaking, false);
        fixture.addUpstream("s3", good, false);
        fixture.addService("/search", {"s1", "s2", "s3"});
        fixture.start();
        const auto answer = fixture.call(post("/search", "q"));
        CPPUNIT_ASSERT_EQUAL(std::string("fine"), answer->body());
    }

    // Guards P12: a stream that runs at the signal ends whole; new requests are refused as not run.
    void shutdownLetsStreamsEnd()
    {
        Signal release;
        FakeUpstream upstream([&](FakeCall &call) {
            call.beginStream();
            call.token(0);
            (void)release.wait();
            call.token(1);
            call.endStream();
        });
        PathFixture fixture;
        fixture.addUpstream("u1", upstream);
        fixture.start();
        auto idle = fixture.connect();
        idle.send("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + std::string(testKey) + "\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(200U, idle.read()->result_int());
        auto client = fixture.connect();
        client.send(chat(true));
        CPPUNIT_ASSERT(client.readUntil("t0 "));
        auto stopped = boost::asio::co_spawn(fixture.io(), fixture.path().stop(), boost::asio::use_future);
        CPPUNIT_ASSERT(waitUntil([&] { return !reachable(fixture); }));
        idle.send(chat(false));
        const auto refused = idle.read();
        CPPUNIT_ASSERT(refused.has_value());
        CPPUNIT_ASSERT_EQUAL(3007U, codeOf(refused->body()));
        CPPUNIT_ASSERT(notRun(refused->body()));
        release.set();
        CPPUNIT_ASSERT(stopped.get());
        CPPUNIT_ASSERT(client.readAll().ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"));
    }

    // Guards against a shutdown without an end: after the limit, streams get an error and no final chunk.
    void shutdownLimitEndsStreams()
    {
        FakeUpstream upstream([](FakeCall &call) {
            call.beginStream();
            call.token(0);
            call.waitForClose();
        });
        PathFixture fixture;
        fixture.settings.shutdown.shutdownTimeout = Milliseconds{50};
        fixture.addUpstream("u1", upstream);
        fixture.start();
        auto client = fixture.connect();
        client.send(chat(true));
        CPPUNIT_ASSERT(client.readUntil("t0 "));
        auto stopped = boost::asio::co_spawn(fixture.io(), fixture.path().stop(), boost::asio::use_future);
        const auto all = client.readAll();
        CPPUNIT_ASSERT(!stopped.get());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(all, 3007U, codeOf(all));
        CPPUNIT_ASSERT(!all.ends_with("0\r\n\r\n"));
    }

private:
    template <typename Withdraw>
    static void checkOpenStream(Withdraw withdraw)
    {
        Signal upstreamClosed;
        FakeUpstream upstream([&](FakeCall &call) {
            call.beginStream();
            call.token(0);
            call.waitForClose();
            upstreamClosed.set();
        });
        PathFixture fixture;
        fixture.addUpstream("u1", upstream);
        fixture.start();
        auto client = fixture.connect();
        client.send(chat(true));
        CPPUNIT_ASSERT(client.readUntil("t0 "));
        withdraw(fixture);
        const auto all = client.readAll();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(all, 2003U, codeOf(all));
        CPPUNIT_ASSERT(all.find("event: error") != std::string::npos);
        CPPUNIT_ASSERT(!all.ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT(upstreamClosed.wait());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.counters().value(CounterId::StreamsClosedByWithdrawal));
        const auto later = fixture.call(chat(false));
        CPPUNIT_ASSERT_EQUAL(401U, later->result_int());
    }

    static bool reachable(PathFixture &fixture)
    {
        try {
            auto client = fixture.connect();
            return true;
        } catch (const boost::system::system_error &) {
            return false;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WithdrawalTest);

} // namespace guavafield::test
