// Tests of upstreams that stall, feed bytes without end or repeat answers, and of stops under load.
#include "support/http/forward_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <optional>

namespace guavafield::test {

namespace {

// What the buffers of both systems may hold besides what the host has read.
constexpr std::size_t socketBufferBytes = std::size_t{24} << 20U;
constexpr std::size_t endlessBytes = std::size_t{200} << 20U;

// Sends bytes at full speed until the other side closes, and returns how many it took.
std::size_t sendWithoutEnd(FakeCall &call, std::string_view start, const std::string &piece)
{
    std::size_t sent = 0;
    bool open = call.send(start);
    while (open && sent < endlessBytes) {
        open = call.send(piece);
        sent += open ? piece.size() : 0;
    }
    return sent;
}

} // namespace

class HazardsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HazardsTest);
    CPPUNIT_TEST(secondCopyOfAnAnswerReachesNobody);
    CPPUNIT_TEST(stalledStreamThatSendsBytesGoesOnElsewhere);
    CPPUNIT_TEST(slowStreamIsKeptWhereItCannotGoOn);
    CPPUNIT_TEST(requestThatCrashesUpstreamsAfterTheHeaderIsStopped);
    CPPUNIT_TEST(requestsThatCrashUpstreamsInTheirAnswerAreStopped);
    CPPUNIT_TEST(bytesWithoutEndAreBounded);
    CPPUNIT_TEST(bodiesWithoutEndShareOneBound);
    CPPUNIT_TEST(bytesThatDripWithoutEndEndWithTheDeadline);
    CPPUNIT_TEST(acceptedRequestsAreAnsweredOnStop);
    CPPUNIT_TEST(lateRequestsAreRefusedBeforeTheListenerCloses);
    CPPUNIT_TEST(requestsWhoseBodyEndsLateInAStopAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // A second copy of an answer that comes while the next request is sent on the same connection must not be taken for the answer to that one.
    void secondCopyOfAnAnswerReachesNobody()
    {
        std::string copy;
        std::atomic<int> connections{0};
        FakeUpstream upstream([&](FakeCall &call) {
            const auto own = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n" + echo(call) + "\r\n" + idOf(call).substr(0, 6);
            // The copy comes in two reads.
            if (!copy.empty()) {
                call.send(std::string_view(copy).substr(0, 20));
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                call.send(std::string_view(copy).substr(20));
            }
            call.send(own);
            copy = own;
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        for (const auto *id : {"first1", "second", "third3", "fourth"}) {
            const auto answer = fixture->call(forwardRequest("/once/x", id));
            CPPUNIT_ASSERT(answer.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string(id), answer->body());
        }
    }

    // Comments keep a connection busy but are no progress; the stream must go on elsewhere in the time in which a silent one does.
    void stalledStreamThatSendsBytesGoesOnElsewhere()
    {
        std::atomic<int> calls{0};
        const auto handler = [&](FakeCall &call) {
            beginEvents(call);
            if (calls++ == 0) {
                call.send(chunk(event(1)));
                while (call.send(chunk(": still here\n\n"))) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
                return;
            }
            call.send(chunk(event(2) + event(3)));
            call.send("0\r\n\r\n");
        };
        FakeUpstream first(handler);
        FakeUpstream second(handler);
        auto fixture = makeForwardFixture({&first, &second});
        fixture->start();
        const auto begin = std::chrono::steady_clock::now();
        const auto answer = fixture->call(forwardRequest("/resume/x"));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT(answer->body().find("e1") != std::string::npos && answer->body().ends_with(event(2) + event(3)));
        // Well before the route's time of 20 s.
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < std::chrono::seconds(10));
    }

    // A sound stream may pause for longer than usual. Where no other upstream can continue it, cutting it would only lose the rest.
    void slowStreamIsKeptWhereItCannotGoOn()
    {
        FakeUpstream upstream([&](FakeCall &call) {
            beginEvents(call);
            call.send(chunk(event(1)));
            std::this_thread::sleep_for(std::chrono::milliseconds(3'500));
            call.send(chunk(event(2)));
            call.send("0\r\n\r\n");
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        const auto answer = fixture->call(forwardRequest("/resume/x"));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), answer->body());
    }

    // An upstream may send the header before it crashes on the first event; the request is stopped all the same.
    void requestThatCrashesUpstreamsAfterTheHeaderIsStopped()
    {
        std::vector<std::unique_ptr<FakeUpstream>> upstreams;
        std::vector<FakeUpstream *> pointers;
        constexpr std::size_t upstreamCount = 14;
        upstreams.reserve(upstreamCount);
        pointers.reserve(upstreamCount);
        for (std::size_t n = 0; n < upstreamCount; ++n) {
            const auto handler = [&upstreams, n](FakeCall &call) {
                beginEvents(call);
                upstreams[n]->crash();
            };
            pointers.push_back(upstreams.emplace_back(std::make_unique<FakeUpstream>(handler)).get());
        }
        auto fixture = makeForwardFixture(pointers);
        fixture->start();
        std::size_t calls = 0;
        for (int n = 0; n < 6; ++n) {
            std::ignore = fixture->call(forwardRequest("/resume/x", "again" + std::to_string(n)));
            // Until new connections have shown that the processes have ended.
            std::this_thread::sleep_for(std::chrono::milliseconds(600));
        }
        for (const auto &it : upstreams) {
            calls += it->calls();
        }
        // Three crashes, and as many repeats until all hosts know.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls <= 6);
    }

    // An upstream may crash after the first events, or in the body of a plain answer; requests that do this are stopped all the same.
    void requestsThatCrashUpstreamsInTheirAnswerAreStopped()
    {
        for (const auto *path : {"/resume/x", "/stream/x", "/call/x"}) {
            std::vector<std::unique_ptr<FakeUpstream>> upstreams;
            std::vector<FakeUpstream *> pointers;
            constexpr std::size_t upstreamCount = 14;
            upstreams.reserve(upstreamCount);
            pointers.reserve(upstreamCount);
            for (std::size_t n = 0; n < upstreamCount; ++n) {
                const auto handler = [&upstreams, n](FakeCall &call) {
                    if (!call.path().starts_with("/call/")) {
                        beginEvents(call);
                        const auto last = call.request()["Last-Event-ID"];
                        call.send(chunk(event(last.empty() ? 1 : std::stoi(std::string(last)) + 1)));
                    } else {
                        call.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + echo(call) + "\r\nhalf");
                    }
                    upstreams[n]->crash();
                };
                pointers.push_back(upstreams.emplace_back(std::make_unique<FakeUpstream>(handler)).get());
            }
            auto fixture = makeForwardFixture(pointers);
            fixture->start();
            const auto calls = [&] {
                std::size_t sum = 0;
                for (const auto &it : upstreams) {
                    sum += it->calls();
                }
                return sum;
            };
            // The same request comes again, spread over more than the time in which crashes count as one.
            for (int n = 0; n < 4; ++n) {
                auto client = fixture->connect();
                client.send(forwardRequest(path, "again" + std::to_string(n)));
                std::ignore = client.readAll();
                std::this_thread::sleep_for(std::chrono::milliseconds(600));
            }
            const auto before = calls();
            for (int n = 0; n < 4; ++n) {
                const auto reply = fixture->call(forwardRequest(path, "refused" + std::to_string(n)));
                CPPUNIT_ASSERT(reply.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path, static_cast<unsigned>(ResultCode::CrashSuspectNotRun), codeOf(reply->body()));
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, before, calls());
        }
    }

    // Bytes that never become an answer must neither fill the memory nor keep the caller waiting.
    void bytesWithoutEndAreBounded()
    {
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
        const std::string filler(16'384, 'a');
        struct Case
        {
            std::string name;
            std::string start;
            std::string piece;
        };
        const std::vector<Case> cases{
            {"header line", "HTTP/1.1 200 OK\r\nX-Long: ", filler},
            {"header lines", "HTTP/1.1 200 OK\r\n", "X-Line: " + filler.substr(0, 200) + "\r\n"},
            {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"no answer", "", filler},
            {"chunk extension", chunked + "ECHO\r\n5;x=", filler},
            {"trailer", chunked + "ECHO\r\n0\r\nX-Trailer: ", filler},
        };
        for (const auto &it : cases) {
            std::atomic<std::size_t> sent{0};
            FakeUpstream upstream([&](FakeCall &call) {
                auto start = it.start;
                if (const auto at = start.find("ECHO"); at != std::string::npos) {
                    start.replace(at, 4, echo(call));
                }
                sent = sendWithoutEnd(call, start, it.piece);
            });
            auto fixture = makeForwardFixture({&upstream});
            fixture->start();
            const auto answer = fixture->call(forwardRequest("/once/x"));
            CPPUNIT_ASSERT_MESSAGE(it.name, answer.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, 502U, answer->result_int());
            upstream.crash();
            CPPUNIT_ASSERT_MESSAGE(it.name + ", bytes taken: " + std::to_string(sent), sent < socketBufferBytes);
        }
    }

    // Each answer may be as large as the limit allows, but many at once must not exceed what the host has.
    void bodiesWithoutEndShareOneBound()
    {
        constexpr std::size_t callers = 8;
        std::atomic<std::size_t> sent{0};
        FakeUpstream upstream(
            [&](FakeCall &call) { sent += sendWithoutEnd(call, "HTTP/1.1 200 OK\r\n" + echo(call) + "Connection: close\r\n\r\n", std::string(16'384, 'a')); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->settings.limits.responseBytes = std::uint64_t{64} << 20U;
        fixture->settings.limits.heldAnswerBytes = std::uint64_t{32} << 20U;
        fixture->start();
        std::deque<Client> clients;
        for (std::size_t n = 0; n < callers; ++n) {
            clients.emplace_back(fixture->path().endpoint());
            clients.back().send(forwardRequest("/once/x", "caller" + std::to_string(n)));
        }
        for (auto &it : clients) {
            const auto answer = it.read();
            CPPUNIT_ASSERT(answer.has_value());
            CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
        }
        upstream.crash();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent < (std::size_t{32} << 20U) + callers * socketBufferBytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture->path().heldAnswerBytes());
    }

    // An upstream that sends a byte now and then keeps the connection busy, whatever part of an answer the bytes seem to be.
    void bytesThatDripWithoutEndEndWithTheDeadline()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nECHO";
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        const std::string stream = head + "Content-Type: text/event-stream\r\n\r\n";
        struct Case
        {
            std::string name;
            std::string start;
            std::string piece;
        };
        const std::vector<Case> cases{
            {"header line", "HTTP/1.1 200 OK\r\nX-Long: ", "a"},
            {"header lines", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
            {"chunk extension", chunked + "5;x=", "a"},
            {"trailer", chunked + "0\r\nX-Trailer: ", "a"},
            {"body", head + "Connection: close\r\n\r\n", "a"},
            {"event", stream + "id: 1\ndata: ", "a"},
            {"comments", stream, ": a\n\n"},
            {"empty events", stream, "\n\n"},
        };
        for (const auto &it : cases) {
            for (const auto *path : {"/once/x", "/stream/x", "/resume/x"}) {
                Signal closed;
                FakeUpstream upstream([&](FakeCall &call) {
                    auto start = it.start;
                    if (const auto at = start.find("ECHO"); at != std::string::npos) {
                        start.replace(at, 4, echo(call));
                    }
                    for (bool open = call.send(start); open; open = call.send(it.piece)) {
                        std::this_thread::sleep_for(std::chrono::milliseconds(20));
                    }
                    closed.set();
                });
                auto fixture = makeForwardFixture({&upstream});
                fixture->start();
                const auto answer = fixture->call(forwardRequest(path, "abc123", "X-Guavafield-Deadline-Ms: 300\r\n"));
                const auto text = it.name + " " + path;
                const bool failed = !answer.has_value() || answer->result_int() >= 500;
                CPPUNIT_ASSERT_MESSAGE(text, failed);
                CPPUNIT_ASSERT_MESSAGE(text, closed.wait());
            }
        }
    }

    // Connections that the system has established before the listener closes, and requests that arrive at the very end, get an answer.
    void acceptedRequestsAreAnsweredOnStop()
    {
        constexpr std::size_t callers = 60;
        FakeUpstream upstream([&](FakeCall &call) { call.reply(200, "x", echo(call)); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->settings.shutdown.listenerCloseDelay = Milliseconds{0};
        fixture->start();
        // While the host's threads are busy, connections with requests gather in front of it.
        Signal release;
        std::atomic<int> held{0};
        for (std::size_t n = 0; n < fixture->threads(); ++n) {
            boost::asio::post(fixture->io(), [&] {
                ++held;
                (void)release.wait();
            });
        }
        CPPUNIT_ASSERT(waitUntil([&] { return held == static_cast<int>(fixture->threads()); }));
        std::deque<Client> clients;
        for (std::size_t n = 0; n < callers; ++n) {
            clients.emplace_back(fixture->path().endpoint());
            clients.back().send(forwardRequest("/call/x", "caller" + std::to_string(n)));
        }
        Signal stopped;
        boost::asio::co_spawn(fixture->io(), fixture->path().stop(), [&](const std::exception_ptr &, bool) { stopped.set(); });
        release.set();
        for (auto &it : clients) {
            const auto answer = it.read();
            CPPUNIT_ASSERT(answer.has_value());
            CPPUNIT_ASSERT(answer->result_int() == 200U || answer->result_int() == 503U);
        }
        CPPUNIT_ASSERT(stopped.wait());
    }

    // A request that began before the stop but was complete only late in it was passed on, and cut when the process ended.
    void requestsWhoseBodyEndsLateInAStopAreRefused()
    {
        for (const auto *path : {"/once/x", "/call/x", "/stream/x"}) {
            FakeUpstream upstream([&](FakeCall &call) { call.reply(200, "x", echo(call)); });
            auto fixture = makeForwardFixture({&upstream});
            fixture->settings.shutdown.listenerCloseDelay = Milliseconds{0};
            fixture->start();
            Client caller(fixture->path().endpoint());
            const auto request = forwardRequest(path);
            caller.send(request.substr(0, request.size() - 1));
            // Only a connection that waits for its body counts as a request in flight.
            CPPUNIT_ASSERT(waitUntil([&] { return fixture->path().requestsInFlight() == 1; }));
            Signal stopped;
            boost::asio::co_spawn(fixture->io(), fixture->path().stop(), [&](const std::exception_ptr &, bool) { stopped.set(); });
            CPPUNIT_ASSERT(waitUntil([&] { return fixture->path().refusing(); }));
            caller.send(request.substr(request.size() - 1));
            const auto answer = caller.read();
            CPPUNIT_ASSERT(answer.has_value());
            CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
            CPPUNIT_ASSERT(notRun(answer->body()));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::size_t{0}, upstream.calls());
            CPPUNIT_ASSERT(stopped.wait());
        }
    }

    // A request that is taken late in a stop may still run when the process has to end, and would be cut. Its caller is told to go elsewhere instead.
    void lateRequestsAreRefusedBeforeTheListenerCloses()
    {
        FakeUpstream upstream([&](FakeCall &call) { call.reply(200, "x", echo(call)); });
        auto fixture = makeForwardFixture({&upstream});
        fixture->settings.shutdown.listenerCloseDelay = Milliseconds{2'000};
        fixture->start();
        Signal stopped;
        boost::asio::co_spawn(fixture->io(), fixture->path().stop(), [&](const std::exception_ptr &, bool) { stopped.set(); });
        std::optional<std::chrono::steady_clock::time_point> firstRefusal;
        auto lastRefusal = std::chrono::steady_clock::now();
        try {
            while (true) {
                const auto answer = fixture->call(forwardRequest("/call/x"));
                if (!answer) {
                    // The request crossed the end of the stop.
                    break;
                }
                if (answer->result_int() == 503) {
                    CPPUNIT_ASSERT(notRun(answer->body()));
                    lastRefusal = std::chrono::steady_clock::now();
                    firstRefusal = firstRefusal.value_or(lastRefusal);
                }
            }
        } catch (const boost::system::system_error &) {
            // The listener has closed.
        }
        CPPUNIT_ASSERT(firstRefusal.has_value());
        // A quarter of the listener's time, less what a busy machine takes from it.
        CPPUNIT_ASSERT(lastRefusal - *firstRefusal > std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(stopped.wait());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HazardsTest);

} // namespace guavafield::test
