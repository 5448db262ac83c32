// Tests of whole and streamed answers on their way from an engine to a caller.
#include "support/http/path_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield::test {

class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(relaysPlainAnswer);
    CPPUNIT_TEST(relaysStreamTokenByToken);
    CPPUNIT_TEST(keepsConnections);
    CPPUNIT_TEST(hidesCredentialsFromUpstreams);
    CPPUNIT_TEST(passesEnginesRefusalOn);
    CPPUNIT_TEST(slowCallerSlowsTheEngine);
    CPPUNIT_TEST(callersCloseCancelsTheAttempt);
    CPPUNIT_TEST(listsModels);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a changed body, a lost request id and wrong usage.
    void relaysPlainAnswer()
    {
        const std::string body = R"({"usage":{"completion_tokens":7},"x":1})";
        FakeUpstream upstream([&](FakeCall &call) { call.reply(200, body); });
        PathFixture fixture;
        fixture.addUpstream("u1", upstream);
        fixture.start();
        const auto answer = fixture.call(chat(false, "X-Request-Id: mine\r\n"));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(body, answer->body());
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), std::string((*answer)["X-Request-Id"]));
        CPPUNIT_ASSERT(waitUntil([&] { return fixture.usage().size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(7U, fixture.usage().front().outputTokens);
        CPPUNIT_ASSERT_EQUAL(2U, fixture.usage().front().promptTokens);
    }

    // Guards against a stream that is held back: the second token is sent only after the caller has the first.
    void relaysStreamTokenByToken()
    {
        Signal firstArrived;
        FakeUpstream upstream([&](FakeCall &call) {
            call.beginStream();
            call.token(0);
            (void)firstArrived.wait();
            call.token(1);
            call.endStream();
        });
        PathFixture fixture;
        fixture.addUpstream("u1", upstream);
        fixture.start();
        auto client = fixture.connect();
        client.send(chat(true, "Connection: close\r\n"));
        CPPUNIT_ASSERT(client.readUntil("t0 "));
        firstArrived.set();
        const auto all = client.readAll();
        CPPUNIT_ASSERT(all.find("t1 ") != std::string::npos);
        CPPUNIT_ASSERT(all.ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"));
        CPPUNIT_ASSERT(waitUntil([&] { return fixture.usage().size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(2U, fixture.usage().front().outputTokens);
    }

    // Guards against connections that end after each answer, with two requests sent at once, whole and streamed.
    void keepsConnections()
    {
        FakeUpstream upstream([](FakeCall &call) {
            if (call.request().body().find("\"stream\":true") == std::string::npos) {
                call.reply(200, "{}");
                return;
            }
            call.beginStream();
            call.token(0);
            call.endStream();
        });
        PathFixture fixture;
        fixture.addUpstream("u1", upstream);
        fixture.start();
        auto client = fixture.connect();
        client.send(chat(true) + chat(false));
        const auto first = client.read();
        CPPUNIT_ASSERT(first && first->body().find("t0 ") != std::string::npos);
        const auto second = client.read();
        CPPUNIT_ASSERT(second && second->body() == "{}");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.counters().value(CounterId::ConnectionsAccepted));
    }

    // Guards P4: no byte that an upstream receives holds the key or a cookie, whatever header they came in.
    void hidesCredentialsFromUpstreams()
    {
        FakeUpstream upstream([](FakeCall &call) { call.reply(200, "{}"); });
        PathFixture fixture;
        fixture.addUpstream("u1", upstream);
        fixture.addUpstream("s1", upstream, false);
        fixture.addService("/search", {"s1"});
        fixture.start();
        const auto headers = "Cookie: crumb=1\r\nX-Guavafield-Class: batch\r\nX-Copy: a " + std::string(testKey)
            + "\r\nProxy-Authorization: pa55\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Kept: yes\r\n";
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call(chat(false, headers))->result_int());
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call(post("/search/x?q=1", "body", headers))->result_int());
        const auto received = upstream.received();
        for (const auto *secret : {"0123456789abcdef", "gf_k1", "crumb", "pa55", "X-Guavafield", "X-Hop", "Authorization"}) {
            CPPUNIT_ASSERT_MESSAGE(secret, received.find(secret) == std::string::npos);
        }
        for (const auto *kept : {"X-Kept: yes", "\"priority\":3", "X-Request-Id: h1-", "POST /search/x?q=1"}) {
            CPPUNIT_ASSERT_MESSAGE(kept, received.find(kept) != std::string::npos);
        }
    }

    // Guards against an engine's complaint about the request being repeated elsewhere or turned into a failure.
    void passesEnginesRefusalOn()
    {
        FakeUpstream upstream([](FakeCall &call) { call.reply(400, R"({"error":"bad seed"})"); });
        PathFixture fixture;
        fixture.addUpstream("u1", upstream);
        fixture.start();
        const auto answer = fixture.call(chat(true));
        CPPUNIT_ASSERT_EQUAL(400U, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"error":"bad seed"})"), answer->body());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.calls());
    }

    // Guards against a daemon that buffers for a caller that does not read: the engine must become unable to send.
    void slowCallerSlowsTheEngine()
    {
        constexpr std::size_t farBeyondSocketBuffers = std::size_t{256} << 20U;
        Signal stalled;
        std::atomic<std::size_t> sent{0};
        FakeUpstream upstream([&](FakeCall &call) {
            call.beginStream();
            const std::string padding(16384, 'p');
            for (unsigned n = 0; sent < farBeyondSocketBuffers; ++n) {
                if (!call.writable(std::chrono::seconds(1))) {
                    break;
                }
                auto chunk = tokenChunk(n);
                chunk.insert(1, R"("pad":")" + padding + R"(",)");
                call.event(chunk);
                sent += chunk.size();
            }
            stalled.set();
            call.waitForClose();
        });
        PathFixture fixture;
        fixture.addUpstream("u1", upstream);
        fixture.start();
        auto client = fixture.connect(4096);
        client.send(chat(true));
        CPPUNIT_ASSERT(stalled.wait());
        CPPUNIT_ASSERT_MESSAGE("bytes taken from the engine: " + std::to_string(sent.load()), sent < farBeyondSocketBuffers);
        client.close();
    }

    // Guards against engines that work on for callers that are gone.
    void callersCloseCancelsTheAttempt()
    {
        Signal closed;
        FakeUpstream upstream([&](FakeCall &call) {
            call.beginStream();
            call.token(0);
            call.waitForClose();
            closed.set();
        });
        PathFixture fixture;
        fixture.addUpstream("u1", upstream);
        fixture.start();
        auto client = fixture.connect();
        client.send(chat(true));
        CPPUNIT_ASSERT(client.readUntil("t0 "));
        client.close();
        CPPUNIT_ASSERT(closed.wait());
        CPPUNIT_ASSERT(waitUntil([&] { return fixture.path().requestsInFlight() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.counters().value(CounterId::RequestsAbandonedByCaller));
        CPPUNIT_ASSERT(waitUntil([&] { return fixture.usage().size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(1U, fixture.usage().front().outputTokens);
    }

    // Guards against a list of models that needs an engine.
    void listsModels()
    {
        PathFixture fixture;
        fixture.start();
        const auto answer = fixture.call("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + std::string(testKey) + "\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        CPPUNIT_ASSERT(answer->body().find(R"("id":"m")") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace guavafield::test
