// Tests of streams that callers take up again, against what is known of their beginning.
#include "support/http/forward_fixture.hpp"

#include <guavafield/transport/http/path_hooks.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace guavafield::test {

class TakeUpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TakeUpTest);
    CPPUNIT_TEST(streamOfUnknownOriginIsRefusedBeforeAnyUpstreamHasIt);
    CPPUNIT_TEST(streamOfKnownOriginGoesOn);
    CPPUNIT_TEST(streamThatBeganInAnotherPoolIsNotJoined);
    CPPUNIT_TEST(beginningIsToldOnceWithTheRunThatBroughtTheFirstEvent);
    CPPUNIT_TEST(beginningByAProcessThatWasReplacedSinceTheDispatchIsNotTold);
    CPPUNIT_TEST(takeUpIsNoBeginning);
    CPPUNIT_TEST(takeUpMeetsThePoolOfItsFirstAttempt);
    CPPUNIT_TEST(requestsThatAreNotResumedNeedNoOrigin);
    CPPUNIT_TEST_SUITE_END();

public:
    void streamOfUnknownOriginIsRefusedBeforeAnyUpstreamHasIt()
    {
        FakeUpstream upstream([](FakeCall &call) { sendEvents(call, 3); });
        auto fixture = makeFixture(upstream);
        fixture->start();
        const auto reply = fixture->call(takeUp("/resume/x"));
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(503U, reply->result_int());
        CPPUNIT_ASSERT(reply->body().find("StreamOriginUnknown") != std::string::npos || reply->body().find("3012") != std::string::npos);
        CPPUNIT_ASSERT(!(*reply)["Retry-After"].empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, upstream.calls());
    }

    void streamOfKnownOriginGoesOn()
    {
        m_origin = StreamOrigin{"p", ""};
        FakeUpstream upstream([](FakeCall &call) { sendEvents(call, 3); });
        auto fixture = makeFixture(upstream);
        fixture->start();
        const auto reply = fixture->call(takeUp("/resume/x"));
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(event(3) + event(4), reply->body());
        const std::scoped_lock lock(m_mutex);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_takeUps.size());
        CPPUNIT_ASSERT_EQUAL(RequestId("first"), m_takeUps.front().resumes);
        CPPUNIT_ASSERT_EQUAL(PoolId("p"), m_takeUps.front().pool);
        CPPUNIT_ASSERT(!m_takeUps.front().split);
    }

    void streamThatBeganInAnotherPoolIsNotJoined()
    {
        m_origin = StreamOrigin{"q", ""};
        FakeUpstream upstream([](FakeCall &call) { sendEvents(call, 3); });
        auto fixture = makeFixture(upstream);
        fixture->start();
        const auto reply = fixture->call(takeUp("/resume/x"));
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(503U, reply->result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, upstream.calls());
    }

    void beginningIsToldOnceWithTheRunThatBroughtTheFirstEvent()
    {
        FakeUpstream upstream([](FakeCall &call) { sendEvents(call, 1); });
        auto fixture = makeFixture(upstream);
        fixture->configuration.upstreams["u1"].softwareVersion = "7";
        fixture->configuration.upstreams["u1"].incarnation = 5;
        fixture->start();
        const auto reply = fixture->call(forwardRequest("/resume/x", "first"));
        CPPUNIT_ASSERT(reply.has_value());
        const std::scoped_lock lock(m_mutex);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_beginnings.size());
        CPPUNIT_ASSERT_EQUAL(RequestId("first"), m_beginnings.front().attempt);
        CPPUNIT_ASSERT(m_beginnings.front().origin == (StreamOrigin{"p", "7"}));
        CPPUNIT_ASSERT_EQUAL(UpstreamId("u1"), m_beginnings.front().upstream);
        CPPUNIT_ASSERT_EQUAL(Incarnation{5}, m_beginnings.front().incarnation);
        CPPUNIT_ASSERT(m_takeUps.empty());
    }

    void beginningByAProcessThatWasReplacedSinceTheDispatchIsNotTold()
    {
        Signal replaced;
        FakeUpstream upstream([&](FakeCall &call) {
            CPPUNIT_ASSERT(replaced.wait());
            sendEvents(call, 1);
        });
        auto fixture = makeFixture(upstream);
        auto &entry = fixture->configuration.upstreams["u1"];
        entry.softwareVersion = "7";
        entry.incarnation = 5;
        fixture->start();
        auto client = fixture->connect();
        client.send(forwardRequest("/resume/x", "first"));
        CPPUNIT_ASSERT(waitUntil([&] { return upstream.calls() == 1; }));
        entry.softwareVersion = "8";
        entry.incarnation = 6;
        fixture->applyConfiguration();
        replaced.set();
        CPPUNIT_ASSERT(client.read().has_value());
        const std::scoped_lock lock(m_mutex);
        CPPUNIT_ASSERT(m_beginnings.empty());
    }

    void takeUpIsNoBeginning()
    {
        m_origin = StreamOrigin{"p", ""};
        FakeUpstream upstream([](FakeCall &call) { sendEvents(call, 3); });
        auto fixture = makeFixture(upstream);
        fixture->start();
        CPPUNIT_ASSERT(fixture->call(takeUp("/resume/x")).has_value());
        const std::scoped_lock lock(m_mutex);
        CPPUNIT_ASSERT(m_beginnings.empty());
    }

    void takeUpMeetsThePoolOfItsFirstAttempt()
    {
        FakeUpstream upstream([](FakeCall &call) { sendEvents(call, 3); });
        auto fixture = makeFixture(upstream);
        fixture->configuration.pools["q"].id = "q";
        std::get<PoolTarget>(fixture->configuration.routes.at("/resume/").target).pools = {{"p", 1.0}, {"q", 1.0}};
        fixture->start();
        for (int n = 0; n < 20; ++n) {
            CPPUNIT_ASSERT(fixture->call(takeUp("/resume/x", "later" + std::to_string(n))).has_value());
        }
        const std::scoped_lock lock(m_mutex);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, m_takeUps.size());
        for (const auto &it : m_takeUps) {
            CPPUNIT_ASSERT(it.split);
            CPPUNIT_ASSERT_EQUAL(m_takeUps.front().pool, it.pool);
        }
    }

    void requestsThatAreNotResumedNeedNoOrigin()
    {
        FakeUpstream upstream([](FakeCall &call) { sendEvents(call, 3); });
        auto fixture = makeFixture(upstream);
        fixture->start();
        const auto reply = fixture->call(takeUp("/stream/x"));
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
        const std::scoped_lock lock(m_mutex);
        CPPUNIT_ASSERT(m_takeUps.empty());
        CPPUNIT_ASSERT(m_beginnings.empty());
    }

    void setUp() override
    {
        m_origin.reset();
        m_takeUps.clear();
        m_beginnings.clear();
    }

private:
    static void sendEvents(FakeCall &call, int first)
    {
        beginEvents(call);
        call.send(chunk(event(first) + event(first + 1)));
        call.send("0\r\n\r\n");
    }
    static std::string takeUp(std::string_view path, std::string_view id = "later")
    {
        return forwardRequest(path, id, "Last-Event-Id: 2\r\nResumes: first\r\n");
    }
    std::unique_ptr<PathFixture> makeFixture(FakeUpstream &upstream)
    {
        auto fixture = makeForwardFixture({&upstream});
        fixture->hooks.streams.began = [this](StreamBeginning beginning) {
            const std::scoped_lock lock(m_mutex);
            m_beginnings.push_back(std::move(beginning));
        };
        fixture->hooks.streams.find = [this](StreamTakeUp takeUp) { return find(std::move(takeUp)); };
        return fixture;
    }
    boost::asio::awaitable<std::optional<StreamOrigin>> find(StreamTakeUp takeUp)
    {
        const std::scoped_lock lock(m_mutex);
        m_takeUps.push_back(std::move(takeUp));
        co_return m_origin;
    }

    std::mutex m_mutex;
    std::optional<StreamOrigin> m_origin;
    std::vector<StreamTakeUp> m_takeUps;
    std::vector<StreamBeginning> m_beginnings;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeUpTest);

} // namespace guavafield::test
