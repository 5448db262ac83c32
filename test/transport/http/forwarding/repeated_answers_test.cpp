// Tests of answers that an upstream sends a second time, late and under the id of the request that it has answered before.
#include "support/http/forward_fixture.hpp"

#include <guavafield/transport/http/upstreams/connection_pool.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace guavafield::test {

namespace {

std::string refusal(unsigned status, std::string_view id, std::string_view headers = {}, std::size_t length = 0)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Refused\r\nX-Guavafield-Request-Id: " + std::string(id);
    text += "\r\nX-Guavafield-Not-Executed: 1\r\nContent-Length: " + std::to_string(length) + "\r\n";
    return text + std::string(headers) + "\r\n";
}

// Sends each refusal a second time, right before what comes next on its connection. Each connection has a thread of its own.
class RefusalRepeater
{
public:
    // Sends what is due on the connection; to be called at the begin of each call.
    void sendDue(FakeCall &call)
    {
        std::string due;
        {
            const std::scoped_lock lock(m_mutex);
            due = std::exchange(m_due[std::this_thread::get_id()], {});
        }
        call.send(due);
    }
    void refuse(FakeCall &call, unsigned status, std::string_view headers = {})
    {
        repeat(call, refusal(status, idOf(call), headers));
    }
    /*! @param length The length that the refusal states, whatever its body is. */
    void refuse(FakeCall &call, unsigned status, std::size_t length, std::string_view body)
    {
        repeat(call, refusal(status, idOf(call), {}, length) + std::string(body));
    }
    [[nodiscard]] std::size_t connections()
    {
        const std::scoped_lock lock(m_mutex);
        return m_due.size();
    }

private:
    void repeat(FakeCall &call, const std::string &text)
    {
        const std::scoped_lock lock(m_mutex);
        m_due[std::this_thread::get_id()] = text;
        call.send(text);
    }

    std::mutex m_mutex;
    // Guarded by m_mutex.
    std::map<std::thread::id, std::string> m_due;
};

// Counts the runs of each request.
class Runs
{
public:
    // Returns whether the upstream has seen the request before.
    bool seen(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        return !m_seen.insert(id).second;
    }
    void run(FakeCall &call)
    {
        {
            const std::scoped_lock lock(m_mutex);
            ++m_runs[idOf(call)];
        }
        if (call.path().starts_with("/stream/")) {
            beginEvents(call);
            call.send(chunk(event(1)) + "0\r\n\r\n");
        } else {
            call.reply(200, "done", echo(call));
        }
    }
    [[nodiscard]] int of(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        return m_runs[id];
    }

private:
    std::mutex m_mutex;
    // Guarded by m_mutex.
    std::set<std::string> m_seen;
    std::map<std::string, int> m_runs;
};

} // namespace

class RepeatedAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RepeatedAnswersTest);
    CPPUNIT_TEST(requestSentAgainIsNotAnsweredByTheCopyOfItsRefusal);
    CPPUNIT_TEST(requestSentAgainAtAnAddressUnderTwoIdsIsNotAnsweredByTheCopyOfItsRefusal);
    CPPUNIT_TEST(copyOfARefusalSaysNothingOfAnotherUpstreamAtTheAddress);
    CPPUNIT_TEST(refusalsOfDifferentRequestsCostNoConnections);
    CPPUNIT_TEST(requestGetsItsAnswerBehindCopiesOfManyRefusals);
    CPPUNIT_TEST(copyOfAnAnswerToHeadTakesNoBytesOfTheNextAnswer);
    CPPUNIT_TEST(connectionIsGivenUpWhenItHasCarriedTooManyRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestSentAgainIsNotAnsweredByTheCopyOfItsRefusal()
    {
        for (const auto *path : {"/once/x", "/call/x", "/stream/x"}) {
            for (const unsigned status : {503U, 429U, 421U}) {
                RefusalRepeater repeater;
                Runs runs;
                FakeUpstream upstream([&](FakeCall &call) {
                    repeater.sendDue(call);
                    if (runs.seen(idOf(call))) {
                        runs.run(call);
                    } else {
                        repeater.refuse(call, status);
                    }
                });
                auto fixture = makeForwardFixture({&upstream});
                fixture->start();
                for (int n = 0; n < 10; ++n) {
                    const auto id = "request" + std::to_string(n);
                    const auto first = fixture->call(forwardRequest(path, id));
                    CPPUNIT_ASSERT_MESSAGE(path, first && first->result_int() == 503);
                    const auto second = fixture->call(forwardRequest(path, id));
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200U, second->result_int());
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 1, runs.of(id));
                }
            }
        }
    }

    void requestSentAgainAtAnAddressUnderTwoIdsIsNotAnsweredByTheCopyOfItsRefusal()
    {
        RefusalRepeater repeater;
        Runs runs;
        FakeUpstream upstream([&](FakeCall &call) {
            repeater.sendDue(call);
            if (call.request()["X-Guavafield-Expect-Instance"] == "u2") {
                runs.run(call);
            } else {
                repeater.refuse(call, 421);
            }
        });
        auto fixture = makeForwardFixture({&upstream, &upstream});
        fixture->start();
        for (int n = 0; n < 40; ++n) {
            const auto id = "request" + std::to_string(n);
            const auto answer = fixture->call(forwardRequest("/once/x", id));
            CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
            CPPUNIT_ASSERT_EQUAL(1, runs.of(id));
        }
    }

    void copyOfARefusalSaysNothingOfAnotherUpstreamAtTheAddress()
    {
        RefusalRepeater repeater;
        Runs runs;
        FakeUpstream upstream([&](FakeCall &call) {
            repeater.sendDue(call);
            if (call.request()["X-Guavafield-Expect-Instance"] == "u2") {
                runs.run(call);
            } else {
                repeater.refuse(call, 503, "Server-Leaving: 1\r\nRetry-After: 30\r\nServer-Limit: 0.1\r\n");
            }
        });
        auto fixture = makeForwardFixture({&upstream, &upstream});
        fixture->start();
        for (int n = 0; n < 40; ++n) {
            const auto answer = fixture->call(forwardRequest("/once/x", "request" + std::to_string(n)));
            CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
        }
    }

    // Under overload many are refused, and a handshake for each would make it worse.
    void refusalsOfDifferentRequestsCostNoConnections()
    {
        RefusalRepeater repeater;
        FakeUpstream upstream([&](FakeCall &call) {
            repeater.sendDue(call);
            repeater.refuse(call, 503);
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        for (int n = 0; n < 100; ++n) {
            const auto answer = fixture->call(forwardRequest("/once/x", "request" + std::to_string(n)));
            CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
        }
        CPPUNIT_ASSERT(repeater.connections() <= 2);
    }

    // The copies of all refusals on a connection may come at once.
    void requestGetsItsAnswerBehindCopiesOfManyRefusals()
    {
        constexpr int refused = 20;
        std::atomic<int> calls{0};
        std::string copies;
        FakeUpstream upstream([&](FakeCall &call) {
            if (++calls <= refused) {
                copies += refusal(503, idOf(call));
                call.send(refusal(503, idOf(call)));
            } else {
                call.send(copies);
                call.reply(200, "done", echo(call));
            }
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        for (int n = 0; n < refused; ++n) {
            CPPUNIT_ASSERT_EQUAL(503U, fixture->call(forwardRequest("/once/x", "request" + std::to_string(n)))->result_int());
        }
        CPPUNIT_ASSERT_EQUAL(200U, fixture->call(forwardRequest("/once/x", "last"))->result_int());
    }

    // An answer to HEAD states a length and has no body, also when it comes once more where another answer is due.
    void copyOfAnAnswerToHeadTakesNoBytesOfTheNextAnswer()
    {
        RefusalRepeater repeater;
        FakeUpstream upstream([&](FakeCall &call) {
            repeater.sendDue(call);
            const bool head = call.request().method() == boost::beast::http::verb::head;
            if (call.path() == "/call/refused") {
                repeater.refuse(call, 503, 5, head ? "" : "later");
            } else {
                call.send("HTTP/1.1 200 OK\r\n" + echo(call) + "Content-Length: 4\r\n\r\n" + (head ? "" : "done"));
            }
        });
        auto fixture = makeForwardFixture({&upstream});
        fixture->start();
        int number = 0;
        const auto statusOf = [&](std::string_view method, std::string_view path) {
            auto client = fixture->connect();
            auto text = forwardRequest(path, "request" + std::to_string(++number), "Connection: close\r\n");
            client.send(text.replace(0, std::string_view("POST").size(), method));
            return client.readAll().substr(0, std::string_view("HTTP/1.1 200").size());
        };
        for (int n = 0; n < 4; ++n) {
            CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), statusOf("HEAD", "/call/refused"));
            CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), statusOf("POST", "/call/x"));
            CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), statusOf("POST", "/call/refused"));
            CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), statusOf("HEAD", "/call/x"));
        }
    }

    void connectionIsGivenUpWhenItHasCarriedTooManyRequests()
    {
        FakeUpstream upstream([](FakeCall &call) { call.reply(200, "x"); });
        boost::asio::io_context io;
        PoolSettings settings;
        settings.requestsPerConnection = 3;
        ConnectionPool pool(io.get_executor(), settings);
        const ConnectionTarget target{"u1", {boost::asio::ip::address_v4::loopback(), upstream.port()}};
        auto connection = pool.makeUnconnected();
        connection->socket.connect(target.endpoint);
        for (const auto *id : {"a", "b", "c"}) {
            CPPUNIT_ASSERT(connection);
            connection->carry(id);
            pool.giveBack(target, std::move(connection));
            CPPUNIT_ASSERT(!pool.takeIdle(target, id));
            CPPUNIT_ASSERT(!pool.takeIdle({"u2", target.endpoint}, "z"));
            connection = pool.takeIdle(target, "z");
        }
        CPPUNIT_ASSERT(!connection);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedAnswersTest);

} // namespace guavafield::test
