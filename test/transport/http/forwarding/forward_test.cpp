// Tests of requests that are passed on unchanged, with upstreams that fail in every way that a socket shows.
#include "support/http/forward_fixture.hpp"

#include <guavafield/transport/http/forwarding/event_splitter.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield::test {

namespace {

std::string request(std::string_view path, std::string_view headers = {}, std::string_view body = "hello", std::string_view key = testKey)
{
    std::string text = "POST " + std::string(path) + " HTTP/1.1\r\nHost: app.example\r\nX-Guavafield-Request-Id: abc123\r\n";
    if (!key.empty()) {
        text += "Authorization: Token " + std::string(key) + "\r\n";
    }
    text.append(headers).append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return text;
}

} // namespace

class ForwardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardTest);
    CPPUNIT_TEST(relaysRequestAndAnswerUnchanged);
    CPPUNIT_TEST(hidesKeysAndReservedHeaders);
    CPPUNIT_TEST(unsealedSuccessIsNotPassedOn);
    CPPUNIT_TEST(encodedAnswerIsNotPassedOn);
    CPPUNIT_TEST(strayAnswerIsSkipped);
    CPPUNIT_TEST(refusalWithoutProofBecomesUnknown);
    CPPUNIT_TEST(unrepeatableCallIsSentOnce);
    CPPUNIT_TEST(callThatWasNotRunGoesElsewhere);
    CPPUNIT_TEST(idempotentCallSurvivesABrokenConnection);
    CPPUNIT_TEST(answerThatEndsWithItsConnectionIsWhole);
    CPPUNIT_TEST(brokenStreamGoesOnElsewhere);
    CPPUNIT_TEST(brokenStreamThatMayNotResumeLooksBroken);
    CPPUNIT_TEST(halfAnEventIsNeverPassedOn);
    CPPUNIT_TEST(missingEventIsNotPassedOver);
    CPPUNIT_TEST(twoRunsInOneAnswerAreNotJoined);
    CPPUNIT_TEST(eventWithoutANumberDoesNotComeTwiceWhenAStreamGoesOn);
    CPPUNIT_TEST(earlyAnswerToALongBody);
    CPPUNIT_TEST(callersCloseCancels);
    CPPUNIT_TEST(runThatEndsWithAnErrorIsCounted);
    CPPUNIT_TEST(refusalNamesATime);
    CPPUNIT_TEST(keysAndRoutesAreChecked);
    CPPUNIT_TEST(unsureHostRefusesNobodyForGood);
    CPPUNIT_TEST(ambiguousFramingIsRefused);
    CPPUNIT_TEST(eventsAreSplitWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a changed method, path, query, body or status, and a deadline that is not passed on.
    void relaysRequestAndAnswerUnchanged()
    {
        std::string seen;
        FakeUpstream upstream([&](FakeCall &call) {
            seen = std::string(call.request().method_string()) + " " + call.path() + " " + call.request().body();
            CPPUNIT_ASSERT_EQUAL(std::string("app.example"), std::string(call.request()["Host"]));
            const auto left = std::stoi(std::string(call.request()["X-Guavafield-Deadline-Ms"]));
            CPPUNIT_ASSERT(left > 0 && left <= 900);
            CPPUNIT_ASSERT_EQUAL(std::string("u1"), std::string(call.request()["X-Guavafield-Expect-Instance"]));
            CPPUNIT_ASSERT_EQUAL(std::string("acme"), std::string(call.request()["X-Guavafield-Tenant"]));
            CPPUNIT_ASSERT_EQUAL(std::string("kept"), std::string(call.request()["X-Other"]));
            call.reply(418, "short and stout", echo(call));
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const auto answer = fixture->call(request("/call/x?y=1", "X-Guavafield-Deadline-Ms: 900\r\nX-Other: kept\r\n"));
        CPPUNIT_ASSERT_EQUAL(418U, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("short and stout"), answer->body());
        CPPUNIT_ASSERT_EQUAL(std::string("s.1"), std::string((*answer)["X-Guavafield-Response-Seal"]));
        CPPUNIT_ASSERT_EQUAL(std::string("POST /call/x?y=1 hello"), seen);
    }

    // Guards against an upstream that sees a caller's key or takes orders that a caller wrote.
    void hidesKeysAndReservedHeaders()
    {
        FakeUpstream upstream([&](FakeCall &call) { call.reply(200, "x", echo(call)); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const auto answer = fixture->call(request("/call/x",
                                                  "X-Guavafield-Hold: h\r\nX-Guavafield-Pin-Ms: 9\r\nX-Guavafield-Kv-Backup: 1.2.3.4:5\r\n"
                                                  "Kv-From: 1.2.3.4:5/h\r\nKv-Fetch: 1.2.3.4:5\r\nX-Guavafield-Tenant: other\r\n"));
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        const auto received = upstream.received();
        for (const auto *forbidden : {"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Tenant: other", "Authorization", testKey.data()}) {
            CPPUNIT_ASSERT_MESSAGE(forbidden, received.find(forbidden) == std::string::npos);
        }
    }

    // Guards against a success that is not the upstream's own.
    void unsealedSuccessIsNotPassedOn()
    {
        FakeUpstream upstream([&](FakeCall &call) { call.reply(200, "x", "X-Guavafield-Request-Id: " + idOf(call) + "\r\n"); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        CPPUNIT_ASSERT_EQUAL(502U, fixture->call(request("/once/x"))->result_int());
    }

    void encodedAnswerIsNotPassedOn()
    {
        FakeUpstream upstream([&](FakeCall &call) { call.reply(200, "x", echo(call) + "Content-Encoding: gzip\r\n"); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        CPPUNIT_ASSERT_EQUAL(502U, fixture->call(request("/once/x"))->result_int());
    }

    // Guards against the answer to an earlier request that reaches another caller.
    void strayAnswerIsSkipped()
    {
        FakeUpstream upstream([&](FakeCall &call) {
            call.reply(200, "stray", "X-Guavafield-Request-Id: other\r\n" + std::string(seal));
            call.reply(200, "mine", echo(call));
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const auto answer = fixture->call(request("/once/x"));
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), answer->body());
    }

    // Guards against a promise that the request was not run where the upstream made none.
    void refusalWithoutProofBecomesUnknown()
    {
        FakeUpstream upstream([&](FakeCall &call) { call.reply(503, "busy", "X-Guavafield-Request-Id: " + idOf(call) + "\r\n"); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        CPPUNIT_ASSERT_EQUAL(502U, fixture->call(request("/once/x"))->result_int());
    }

    // Guards against a booking that is sent twice, and against a refusal which says that it was not run.
    void unrepeatableCallIsSentOnce()
    {
        FakeUpstream first([&](FakeCall &call) { call.drop(); });
        FakeUpstream second([&](FakeCall &call) { call.drop(); });
        auto fixture = makeForwardFixture({&first, &second});
        fixture->start();
        const auto answer = fixture->call(request("/once/x"));
        CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
        CPPUNIT_ASSERT(!notRun(answer->body()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.calls() + second.calls());
    }

    void callThatWasNotRunGoesElsewhere()
    {
        std::atomic<int> calls{0};
        const auto handler = [&](FakeCall &call) {
            if (calls++ == 0) {
                call.reply(503, "full", "X-Guavafield-Request-Id: " + idOf(call) + "\r\nX-Guavafield-Not-Executed: 1\r\n");
            } else {
                call.reply(200, "done", echo(call));
            }
        };
        FakeUpstream first(handler);
        FakeUpstream second(handler);
        auto fixture = makeForwardFixture({&first, &second});
        fixture->start();
        CPPUNIT_ASSERT_EQUAL(200U, fixture->call(request("/once/x"))->result_int());
        CPPUNIT_ASSERT_EQUAL(2, calls.load());
    }

    void idempotentCallSurvivesABrokenConnection()
    {
        std::atomic<int> calls{0};
        const auto handler = [&](FakeCall &call) {
            if (calls++ == 0) {
                call.drop();
            } else {
                call.reply(200, "done", echo(call));
            }
        };
        FakeUpstream first(handler);
        FakeUpstream second(handler);
        auto fixture = makeForwardFixture({&first, &second});
        fixture->start();
        CPPUNIT_ASSERT_EQUAL(200U, fixture->call(request("/call/x"))->result_int());
    }

    // Guards against an answer without a length that is taken for a broken one.
    void answerThatEndsWithItsConnectionIsWhole()
    {
        FakeUpstream upstream([&](FakeCall &call) {
            call.send("HTTP/1.1 200 OK\r\n" + echo(call) + "Connection: close\r\n\r\nwhole");
            call.drop();
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const auto answer = fixture->call(request("/once/x"));
        CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer->body());
    }

    // Guards against events that are missing, come twice or come under a second header when an engine dies.
    void brokenStreamGoesOnElsewhere()
    {
        std::atomic<int> calls{0};
        const auto handler = [&](FakeCall &call) {
            beginEvents(call);
            if (calls++ == 0) {
                CPPUNIT_ASSERT(call.request()["Last-Event-Id"].empty());
                call.send(chunk(event(1) + event(2) + "id: 3\nda"));
                call.drop();
                return;
            }
            CPPUNIT_ASSERT_EQUAL(std::string("2"), std::string(call.request()["Last-Event-Id"]));
            call.send(chunk(event(2) + event(3)));
            call.send(chunk(event(4)));
            call.send("0\r\n\r\n");
        };
        FakeUpstream first(handler);
        FakeUpstream second(handler);
        auto fixture = makeForwardFixture({&first, &second});
        fixture->start();
        const auto answer = fixture->call(request("/resume/x"));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4), answer->body());
    }

    void brokenStreamThatMayNotResumeLooksBroken()
    {
        FakeUpstream upstream([&](FakeCall &call) {
            beginEvents(call);
            call.send(chunk(event(1)));
            call.drop();
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        CPPUNIT_ASSERT(!fixture->call(request("/stream/x")).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.calls());
    }

    // Guards against the part of an event that an upstream sent before it stopped in an otherwise whole answer.
    void halfAnEventIsNeverPassedOn()
    {
        FakeUpstream upstream([&](FakeCall &call) {
            beginEvents(call);
            call.send(chunk(event(1) + "id: 2\ndata: ha"));
            call.send("0\r\n\r\n");
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        auto client = fixture->connect();
        client.send(request("/stream/x"));
        const auto all = client.readAll();
        CPPUNIT_ASSERT(all.find("e1") != std::string::npos);
        CPPUNIT_ASSERT(all.find("data: ha") == std::string::npos);
        CPPUNIT_ASSERT(all.find("\r\n0\r\n\r\n") == std::string::npos);
    }

    void missingEventIsNotPassedOver()
    {
        FakeUpstream upstream([&](FakeCall &call) {
            beginEvents(call);
            call.send(chunk(event(1)));
            call.send(chunk(event(3)));
            call.send("0\r\n\r\n");
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        auto client = fixture->connect();
        client.send(request("/stream/x"));
        const auto all = client.readAll();
        CPPUNIT_ASSERT(all.find("e1") != std::string::npos && all.find("e3") == std::string::npos);
    }

    // Guards against a second run within an answer, whose lower numbers were taken for repetitions.
    void twoRunsInOneAnswerAreNotJoined()
    {
        const auto answer = [](FakeCall &call) {
            beginEvents(call);
            if (call.request().count("Last-Event-Id") > 0) {
                call.send(chunk(event(3)));
            } else {
                call.send(chunk(event(1) + event(2) + "id: 2\ndata: other\n\nid: 3\ndata: other\n\n"));
            }
            call.send("0\r\n\r\n");
        };
        FakeUpstream first(answer);
        FakeUpstream second(answer);
        auto fixture = makeForwardFixture({&first, &second});
        fixture->start();
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), fixture->call(request("/resume/x"))->body());
    }

    void eventWithoutANumberDoesNotComeTwiceWhenAStreamGoesOn()
    {
        const std::string unnumbered = "data: note\n\n";
        const auto answer = [&](FakeCall &call) {
            beginEvents(call);
            if (call.request().count("Last-Event-Id") > 0) {
                call.send(chunk(unnumbered + event(2)) + "0\r\n\r\n");
            } else {
                call.send(chunk(event(1) + unnumbered));
                call.drop();
            }
        };
        FakeUpstream first(answer);
        FakeUpstream second(answer);
        auto fixture = makeForwardFixture({&first, &second});
        fixture->start();
        CPPUNIT_ASSERT_EQUAL(event(1) + unnumbered + event(2), fixture->call(request("/resume/x"))->body());
    }

    // Guards against a connection on which the rest of a body is due and that is used again.
    void earlyAnswerToALongBody()
    {
        FakeUpstream upstream([&](FakeCall &call) { call.reply(413, "too long", echo(call)); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const std::string body(200'000, 'x');
        CPPUNIT_ASSERT_EQUAL(413U, fixture->call(request("/call/x", {}, body))->result_int());
        CPPUNIT_ASSERT_EQUAL(413U, fixture->call(request("/call/x", {}, body))->result_int());
    }

    // Guards against work that goes on at an upstream after its caller has left.
    void callersCloseCancels()
    {
        Signal began;
        Signal closed;
        FakeUpstream upstream([&](FakeCall &call) {
            beginEvents(call);
            call.send(chunk(event(1)));
            began.set();
            if (call.waitForClose()) {
                closed.set();
            }
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        auto client = fixture->connect();
        client.send(request("/resume/x"));
        CPPUNIT_ASSERT(client.readUntil("e1"));
        CPPUNIT_ASSERT(began.wait());
        client.close();
        CPPUNIT_ASSERT(closed.wait());
    }

    // Guards against usage that is not billed: an engine's own error ends a run, a refusal without a run does not.
    void runThatEndsWithAnErrorIsCounted()
    {
        for (const bool ran : {true, false}) {
            FakeUpstream upstream([&](FakeCall &call) {
                if (ran) {
                    call.reply(500, "failed", echo(call));
                } else {
                    call.reply(503, "full", "X-Guavafield-Request-Id: " + idOf(call) + "\r\nX-Guavafield-Not-Executed: 1\r\n");
                }
            });
            std::atomic<int> counted{0};
            auto fixture = makeForwardFixture({&upstream});
            fixture->hooks.started = [&](const TeamId &) { ++counted; };
            fixture->start();
            CPPUNIT_ASSERT_EQUAL(ran ? 500U : 503U, fixture->call(request("/stream/x"))->result_int());
            CPPUNIT_ASSERT_EQUAL(ran ? 1 : 0, counted.load());
        }
    }

    // Guards against a refusal that is held back, or that does not say when to come back.
    void refusalNamesATime()
    {
        auto fixture = makeForwardFixture({});
        fixture->start();
        const auto answer = fixture->call(request("/call/x"));
        CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
        CPPUNIT_ASSERT(std::stod(std::string((*answer)["Retry-After"])) < 1.0);
        CPPUNIT_ASSERT(notRun(answer->body()));
    }

    void keysAndRoutesAreChecked()
    {
        FakeUpstream upstream([&](FakeCall &call) { call.reply(200, std::string(call.request()["X-Guavafield-Tenant"]), echo(call)); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        CPPUNIT_ASSERT_EQUAL(404U, fixture->call(request("/nowhere/x"))->result_int());
        CPPUNIT_ASSERT_EQUAL(401U, fixture->call(request("/call/x", {}, "b", "another"))->result_int());
        CPPUNIT_ASSERT_EQUAL(401U, fixture->call(request("/call/x", {}, "b", {}))->result_int());
        const auto open = fixture->call(request("/open/x", "X-Guavafield-Tenant: forged\r\n", "b", {}));
        CPPUNIT_ASSERT_EQUAL(200U, open->result_int());
        CPPUNIT_ASSERT_EQUAL(std::string(), open->body());
        fixture->configuration.keys.clear();
        fixture->applyConfiguration();
        CPPUNIT_ASSERT_EQUAL(401U, fixture->call(request("/call/x"))->result_int());
    }

    // Guards against a host that turns callers away for good while it cannot know the newest configuration.
    void unsureHostRefusesNobodyForGood()
    {
        auto fixture = makeForwardFixture({});
        fixture->confirmed = false;
        fixture->start();
        CPPUNIT_ASSERT_EQUAL(503U, fixture->call(request("/nowhere/x"))->result_int());
        CPPUNIT_ASSERT_EQUAL(503U, fixture->call(request("/call/x", {}, "b", "another"))->result_int());
        auto empty = makeForwardFixture({});
        empty->start(false);
        CPPUNIT_ASSERT_EQUAL(503U, empty->call(request("/call/x"))->result_int());
    }

    // Guards against smuggled requests and doubtful identities: each of these is refused, closes the connection and reaches no upstream.
    void ambiguousFramingIsRefused()
    {
        FakeUpstream upstream([&](FakeCall &call) { call.reply(200, "x", echo(call)); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const std::string line = "POST /call/x HTTP/1.1\r\n";
        const std::string host = "Host: app.example\r\n";
        const std::string key = "Authorization: Token " + std::string(testKey) + "\r\nX-Guavafield-Request-Id: abc\r\n";
        const std::string length = "Content-Length: 5\r\n";
        const std::string chunked = "Transfer-Encoding: chunked\r\n";
        const std::vector<std::string> bad{
            line + key + length + "\r\nhello",
            line + host + host + key + length + "\r\nhello",
            line + host + "Host: other.example\r\n" + key + length + "\r\nhello",
            line + host + key + key + length + "\r\nhello",
            line + host + key + length + "Content-Length: 6\r\n\r\nhello",
            line + host + key + length + chunked + "\r\n0\r\n\r\n",
            line + host + key + chunked + chunked + "\r\n0\r\n\r\n",
            line + host + key + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            line + host + key + "Transfer-Encoding: identity\r\n" + length + "\r\nhello",
            line + host + key + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            line + host + key + "Content-Length: 5x\r\n\r\nhello",
            line + host + key + "Content-Length: -5\r\n\r\nhello",
            "POST /call/x HTTP/1.0\r\n" + host + key + chunked + "\r\n0\r\n\r\n",
            "POST  /call/x HTTP/1.1\r\n" + host + key + length + "\r\nhello",
            line + "Host : app.example\r\n" + key + length + "\r\nhello",
        };
        for (const auto &text : bad) {
            auto client = fixture->connect();
            client.send(text);
            const auto all = client.readAll();
            CPPUNIT_ASSERT_MESSAGE(std::string{text}.append("\n->\n").append(all), all.starts_with("HTTP/1.1 4"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, upstream.calls());
    }

    // Guards against events that are cut or joined wherever the bytes happen to be split.
    void eventsAreSplitWhole()
    {
        const std::string stream = "x-version: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";
        for (std::size_t size = 1; size <= stream.size(); ++size) {
            EventSplitter splitter;
            std::vector<std::string> events;
            for (std::size_t n = 0; n < stream.size(); n += size) {
                CPPUNIT_ASSERT(splitter.feed(std::string_view(stream).substr(n, size), events));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, events.size());
            CPPUNIT_ASSERT_EQUAL(stream, events[0] + events[1] + events[2]);
            CPPUNIT_ASSERT(eventId(events[0]) == 1 && eventId(events[1]) == 2 && eventId(events[2]) == 3);
            CPPUNIT_ASSERT(!splitter.insideEvent());
        }
        EventSplitter bounded(16);
        std::vector<std::string> events;
        CPPUNIT_ASSERT(!bounded.feed("data: a line that does not end", events));
        CPPUNIT_ASSERT(!eventId("data: x\n\n").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTest);

} // namespace guavafield::test
