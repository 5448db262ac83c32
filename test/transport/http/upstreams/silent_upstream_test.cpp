// Tests of upstreams whose packets are lost for a while, or for good.
#include "support/http/forward_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace guavafield::test {

namespace {

using std::chrono::milliseconds;

void answer(FakeCall &call)
{
    call.reply(200, "late", echo(call));
}

} // namespace

class SilentUpstreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilentUpstreamTest);
    CPPUNIT_TEST(answerIsNotLostWhenTheUpstreamMissesAProbe);
    CPPUNIT_TEST(requestIsNotLostWhenTheUpstreamIsSilentAsItIsSent);
    CPPUNIT_TEST(requestGoesOnElsewhereWhenTheUpstreamStaysSilent);
    CPPUNIT_TEST_SUITE_END();

public:
    // The answer comes well after the silence, so that the connection has to outlast the lost probe.
    void answerIsNotLostWhenTheUpstreamMissesAProbe()
    {
        FakeUpstream upstream([](FakeCall &call) {
            std::this_thread::sleep_for(milliseconds(300));
            call.losePackets(true);
            std::this_thread::sleep_for(milliseconds(1'300));
            call.losePackets(false);
            std::this_thread::sleep_for(milliseconds(1'000));
            answer(call);
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const auto reply = fixture->call(forwardRequest("/once/x"));
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
    }

    void requestIsNotLostWhenTheUpstreamIsSilentAsItIsSent()
    {
        std::atomic<bool> first{true};
        FakeUpstream upstream([&](FakeCall &call) {
            if (!first.exchange(false)) {
                answer(call);
                return;
            }
            call.losePackets(true);
            answer(call);
            std::this_thread::sleep_for(milliseconds(1'500));
            call.losePackets(false);
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        auto client = fixture->connect();
        client.send(forwardRequest("/once/x", "id1"));
        CPPUNIT_ASSERT(client.read().has_value());
        client.send(forwardRequest("/once/x", "id2"));
        const auto reply = client.read();
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
    }

    void requestGoesOnElsewhereWhenTheUpstreamStaysSilent()
    {
        std::atomic<bool> first{true};
        Signal served;
        const auto handler = [&](FakeCall &call) {
            if (first.exchange(false)) {
                call.losePackets(true);
                // Far longer than the time after which the connection is given up.
                CPPUNIT_ASSERT(served.wait());
                return;
            }
            answer(call);
            served.set();
        };
        FakeUpstream one(handler);
        FakeUpstream two(handler);
        auto fixture = makeForwardFixture({&one, &two});
        // The target alone would have another upstream tried.
        std::get<PoolTarget>(fixture->configuration.routes["/call/"].target).target = milliseconds(19'000);
        fixture->configuration.routes["/call/"].timeout = milliseconds(60'000);
        fixture->start();
        const auto reply = fixture->call(forwardRequest("/call/x"));
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, one.calls() + two.calls());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentUpstreamTest);

} // namespace guavafield::test
