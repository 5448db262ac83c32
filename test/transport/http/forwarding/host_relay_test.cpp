// Tests of requests that a host without a reachable upstream relays to another host.
#include "support/http/forward_fixture.hpp"

#include <guavafield/transport/http/forwarding/relay_headers.hpp>
#include <guavafield/transport/peer/endpoints.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield::test {

namespace {

// The one report of a host that a test makes counts to the end of the test: under a sanitizer a long upload alone takes seconds.
constexpr Milliseconds reportTtl = std::chrono::minutes{10};

// Reports another host that can serve all requests.
void reportHost(PathFixture &fixture, const std::string &host, const FakeUpstream &other)
{
    RelayCandidate candidate;
    candidate.dataCentre = "dc";
    candidate.callers = toPeerAddress(boost::asio::ip::make_address("127.0.0.1"), other.port());
    fixture.path().driver().withScheduler([&](RequestScheduler &scheduler, SteadyTime now) {
        scheduler.relayTargets().setReportTtl(reportTtl);
        scheduler.relayTargets().onReport(host, std::move(candidate), now);
    });
}

// A host whose only upstream refuses connections, and other hosts that say that they reach theirs.
class CutHost
{
public:
    explicit CutHost(const std::vector<FakeUpstream *> &others) : m_upstream([](FakeCall &call) { call.drop(); }), m_fixture(makeForwardFixture({&m_upstream}))
    {
        m_upstream.crash();
        m_fixture->settings.limits.bodyBytes = 2 * longBodyBytes;
        m_fixture->start();
        for (std::size_t n = 0; n < others.size(); ++n) {
            reportHost(*m_fixture, "h" + std::to_string(n + 2), *others[n]);
        }
    }

    [[nodiscard]] PathFixture &operator*()
    {
        return *m_fixture;
    }
    [[nodiscard]] PathFixture *operator->()
    {
        return m_fixture.get();
    }

private:
    FakeUpstream m_upstream;
    std::unique_ptr<PathFixture> m_fixture;
};

// What becomes of a connection to a proxy that has lost the upstream behind it.
enum class LostUpstream : std::uint8_t {
    Breaks,
    StaysSilent,
    // Requests break, questions get an answer without a valid status.
    AnswersInvalidStatus,
};

// A host whose only upstream is behind such a proxy.
class ProxiedHost
{
public:
    ProxiedHost(FakeUpstream &other, LostUpstream kind) : m_upstream([kind](FakeCall &call) { lose(call, kind); }), m_fixture(makeForwardFixture({&m_upstream}))
    {
        switch (kind) {
        case LostUpstream::Breaks:
            m_upstream.closeOnReport();
            break;
        case LostUpstream::StaysSilent:
            m_upstream.stallOnReport();
            break;
        case LostUpstream::AnswersInvalidStatus:
            m_upstream.answerReport("HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n");
            break;
        }
        m_fixture->start();
        reportHost(*m_fixture, "h2", other);
    }

    [[nodiscard]] PathFixture *operator->()
    {
        return m_fixture.get();
    }
    [[nodiscard]] bool reachesItsPool()
    {
        return m_fixture->path().driver().withScheduler([](RequestScheduler &scheduler, SteadyTime now) { return scheduler.unreachablePools(now).empty(); });
    }

private:
    static void lose(FakeCall &call, LostUpstream kind)
    {
        if (kind == LostUpstream::StaysSilent) {
            call.waitForClose();
        } else {
            call.drop();
        }
    }

    FakeUpstream m_upstream;
    std::unique_ptr<PathFixture> m_fixture;
};

void refuse(FakeCall &call)
{
    call.reply(503, "{}", "X-Guavafield-Request-Id: " + idOf(call) + "\r\nRetry-After: 0.7\r\n");
}

} // namespace

class HostRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostRelayTest);
    CPPUNIT_TEST(requestsAreServedByAnotherHostWhenNoUpstreamIsReached);
    CPPUNIT_TEST(requestThatMayNotBeRepeatedIsNotCalledNotRunWhenItsRelayBreaks);
    CPPUNIT_TEST(requestWhoseRelayBrokeRunsNowhereElse);
    CPPUNIT_TEST(partOfARelayedAnswerIsNotDelivered);
    CPPUNIT_TEST(refusalOfTheOtherHostReachesTheCaller);
    CPPUNIT_TEST(requestThatOneHostRefusesIsServedByAnother);
    CPPUNIT_TEST(requestWhoseHostCannotBeReachedIsServedByAnother);
    CPPUNIT_TEST(relayedRequestIsNotRelayedAgain);
    CPPUNIT_TEST(requestIsNotHandledByAnOlderConfigurationThanThatOfTheRelayingHost);
    CPPUNIT_TEST(streamIsRelayedEventByEventAndCancelled);
    CPPUNIT_TEST(answerToARelayedRequestNamesItsUpstream);
    CPPUNIT_TEST(upstreamThatAnnouncedItsEndThroughAnotherHostGetsNoRequests);
    CPPUNIT_TEST(relayedRequestHasNoMoreAttemptsThanTheRelayingHostLeaves);
    CPPUNIT_TEST(connectionsThatOpenAndBreakAreNoReach);
    CPPUNIT_TEST(connectionsThatOpenAndStaySilentAreNoReach);
    CPPUNIT_TEST(answersWithAnInvalidStatusAreNoReach);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsAreServedByAnotherHostWhenNoUpstreamIsReached()
    {
        FakeUpstream other([](FakeCall &call) { call.reply(200, "served", echo(call) + "Guavafield-Relay-Upstream: u7\r\n"); });
        CutHost host({&other});
        for (const auto *path : {"/call/x", "/once/x", "/open/x"}) {
            const auto reply = host->call(forwardRequest(path, "abc123", "X-Guavafield-Deadline-Ms: 5000\r\n"));
            CPPUNIT_ASSERT(reply.has_value());
            CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
            CPPUNIT_ASSERT_EQUAL(std::string("served"), reply->body());
            CPPUNIT_ASSERT(reply->count("X-Guavafield-Response-Seal") == 1);
            CPPUNIT_ASSERT(reply->count(std::string(relayUpstreamHeader)) == 0);
        }
        const auto received = other.received();
        CPPUNIT_ASSERT(received.find("Authorization: Token " + std::string(testKey)) != std::string::npos);
        CPPUNIT_ASSERT(received.find(std::string(relayedHeader) + ": 1") != std::string::npos);
        CPPUNIT_ASSERT(received.find("X-Guavafield-Expect-Instance") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, host->counters().value(CounterId::RequestsRelayed));
    }

    // The other host may have sent the request to an upstream before the connection broke.
    void requestThatMayNotBeRepeatedIsNotCalledNotRunWhenItsRelayBreaks()
    {
        FakeUpstream other([](FakeCall &call) { call.drop(); });
        CutHost host({&other});
        const auto reply = host->call(forwardRequest("/once/x"));
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(502U, reply->result_int());
        CPPUNIT_ASSERT(!notRun(reply->body()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.calls());
    }

    // The host that broke off may have made all attempts that the route allows.
    void requestWhoseRelayBrokeRunsNowhereElse()
    {
        FakeUpstream first([](FakeCall &call) { call.drop(); });
        FakeUpstream second([](FakeCall &call) { call.drop(); });
        CutHost host({&first, &second});
        const auto reply = host->call(forwardRequest("/call/x"));
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(502U, reply->result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.calls() + second.calls());
    }

    // Guards against the part of an answer before a reset that a caller gets as the whole, as the request was still being sent.
    void partOfARelayedAnswerIsNotDelivered()
    {
        FakeUpstream other(
            [](FakeCall &call) {
                call.send("HTTP/1.1 200 OK\r\n" + echo(call) + "\r\npart");
                call.reset();
            },
            receiveHeaderOnly);
        CutHost host({&other});
        const auto reply = host->call(forwardRequest("/once/x", "abc123", {}, std::string(longBodyBytes, 'x')));
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(502U, reply->result_int());
    }

    void refusalOfTheOtherHostReachesTheCaller()
    {
        FakeUpstream other(refuse);
        CutHost host({&other});
        for (const auto *path : {"/call/x", "/once/x", "/resume/x"}) {
            const auto reply = host->call(forwardRequest(path, std::string("id") + path[1]));
            CPPUNIT_ASSERT(reply.has_value());
            CPPUNIT_ASSERT_EQUAL(503U, reply->result_int());
            CPPUNIT_ASSERT_EQUAL(std::string("0.7"), std::string((*reply)["Retry-After"]));
        }
    }

    void requestThatOneHostRefusesIsServedByAnother()
    {
        FakeUpstream first(refuse);
        FakeUpstream second([](FakeCall &call) { call.reply(200, "served", echo(call)); });
        CutHost host({&first, &second});
        for (int n = 0; n < 20; ++n) {
            const auto reply = host->call(forwardRequest("/once/x", "id" + std::to_string(n)));
            CPPUNIT_ASSERT(reply.has_value());
            CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, second.calls());
    }

    void requestWhoseHostCannotBeReachedIsServedByAnother()
    {
        FakeUpstream gone([](FakeCall &call) { call.drop(); });
        FakeUpstream second([](FakeCall &call) { call.reply(200, "served", echo(call)); });
        CutHost host({&gone, &second});
        gone.crash();
        for (int n = 0; n < 20; ++n) {
            const auto reply = host->call(forwardRequest("/once/x", "id" + std::to_string(n)));
            CPPUNIT_ASSERT(reply.has_value());
            CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
        }
    }

    void relayedRequestIsNotRelayedAgain()
    {
        FakeUpstream other([](FakeCall &call) { call.reply(200, "served", echo(call)); });
        CutHost host({&other});
        const auto reply = host->call(forwardRequest("/call/x", "abc123", std::string(relayedHeader) + ": 1\r\n"));
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(503U, reply->result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, other.calls());
    }

    void requestIsNotHandledByAnOlderConfigurationThanThatOfTheRelayingHost()
    {
        FakeUpstream upstream([](FakeCall &call) { call.reply(200, "served", echo(call)); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const auto newer = fixture->call(forwardRequest("/call/x", "id1", std::string(relayedHeader) + ": 99\r\n"));
        CPPUNIT_ASSERT(newer.has_value());
        CPPUNIT_ASSERT_EQUAL(503U, newer->result_int());
        CPPUNIT_ASSERT_EQUAL(static_cast<unsigned>(ResultCode::ConfigurationUnconfirmed), codeOf(newer->body()));
        const auto same = fixture->call(forwardRequest("/call/x", "id2", std::string(relayedHeader) + ": 1\r\n"));
        CPPUNIT_ASSERT(same.has_value());
        CPPUNIT_ASSERT_EQUAL(200U, same->result_int());
    }

    void streamIsRelayedEventByEventAndCancelled()
    {
        Signal cancelled;
        FakeUpstream other([&](FakeCall &call) {
            beginEvents(call);
            call.send(chunk(event(1)));
            if (call.waitForClose()) {
                cancelled.set();
            }
        });
        CutHost host({&other});
        auto client = host->connect();
        client.send(forwardRequest("/resume/x"));
        CPPUNIT_ASSERT(client.readUntil("data: e1"));
        client.close();
        CPPUNIT_ASSERT(cancelled.wait());
    }

    void answerToARelayedRequestNamesItsUpstream()
    {
        FakeUpstream upstream([](FakeCall &call) { call.reply(200, "served", echo(call)); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const auto relayed = fixture->call(forwardRequest("/call/x", "id1", std::string(relayedHeader) + ": 1\r\n"));
        CPPUNIT_ASSERT(relayed.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("u1"), std::string((*relayed)[std::string(relayUpstreamHeader)]));
        const auto plain = fixture->call(forwardRequest("/call/x", "id2"));
        CPPUNIT_ASSERT(plain.has_value());
        CPPUNIT_ASSERT(plain->count(std::string(relayUpstreamHeader)) == 0);
        CPPUNIT_ASSERT(upstream.received().find(std::string(relayedHeader)) == std::string::npos);
    }

    // A host that has passed such an answer on is bound by it like one that got it from the upstream.
    void upstreamThatAnnouncedItsEndThroughAnotherHostGetsNoRequests()
    {
        FakeUpstream other([](FakeCall &call) { call.reply(200, "served", echo(call) + "Server-Leaving: 1\r\nGuavafield-Relay-Upstream: u1\r\n"); });
        CutHost host({&other});
        CPPUNIT_ASSERT(host->call(forwardRequest("/call/x", "id1")).has_value());
        const bool isNew = host->path().driver().onDrainAnnounced("u1");
        CPPUNIT_ASSERT(!isNew);
    }

    void relayedRequestHasNoMoreAttemptsThanTheRelayingHostLeaves()
    {
        for (const auto &[attempts, expected] : {std::pair{1, 1U}, std::pair{2, 2U}, std::pair{9, 2U}}) {
            FakeUpstream first([](FakeCall &call) { call.drop(); });
            FakeUpstream second([](FakeCall &call) { call.drop(); });
            FakeUpstream third([](FakeCall &call) { call.drop(); });
            auto fixture = makeForwardFixture({&first, &second, &third});
            fixture->start();
            const auto marks = std::string(relayedHeader) + ": 1\r\n" + std::string(relayAttemptsHeader) + ": " + std::to_string(attempts) + "\r\n";
            CPPUNIT_ASSERT(fixture->call(forwardRequest("/call/x", "abc123", marks)).has_value());
            CPPUNIT_ASSERT_EQUAL(std::size_t{expected}, first.calls() + second.calls() + third.calls());
        }
    }

    // Guards against a host that serves nobody, as each connection that opens counts as an upstream that is reached.
    void connectionsThatOpenAndBreakAreNoReach()
    {
        expectRelayed(LostUpstream::Breaks);
    }

    void connectionsThatOpenAndStaySilentAreNoReach()
    {
        expectRelayed(LostUpstream::StaysSilent);
    }

    // Guards against an upstream that counts as reached by answers which are none.
    void answersWithAnInvalidStatusAreNoReach()
    {
        expectRelayed(LostUpstream::AnswersInvalidStatus);
    }

private:
    static void expectRelayed(LostUpstream kind)
    {
        FakeUpstream other([](FakeCall &call) { call.reply(200, "served", echo(call) + "Guavafield-Relay-Upstream: u7\r\n"); });
        ProxiedHost host(other, kind);
        // What finds the cut is lost.
        (void)host->call(forwardRequest("/call/x", "first", "X-Guavafield-Deadline-Ms: 1000\r\n"));
        CPPUNIT_ASSERT(waitUntil([&] { return !host.reachesItsPool(); }));
        for (int n = 0; n < 20; ++n) {
            const auto reply = host->call(forwardRequest("/call/x", "a" + std::to_string(n), "X-Guavafield-Deadline-Ms: 1000\r\n"));
            CPPUNIT_ASSERT(reply.has_value());
            CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
        }
        CPPUNIT_ASSERT(!host.reachesItsPool());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostRelayTest);

} // namespace guavafield::test
