// Tests of the platform client: what is reported as not executed was not, and lost answers are never hidden.
#include <guavafield/transport/platform/platform_client.hpp>

#include <support/platform_server.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

using namespace std::chrono_literals;
using test::PlatformFault;
namespace asio = boost::asio;

namespace {

Transaction insert(const std::string &key, RowVersion version = 0)
{
    return {"id", {{{"t", key}, version}}, {{{"t", key}, R"({"n":1})"}}};
}

} // namespace

class PlatformClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformClientTest);
    CPPUNIT_TEST(commitsAndConflicts);
    CPPUNIT_TEST(readsAndScans);
    CPPUNIT_TEST(refusalHasNoEffect);
    CPPUNIT_TEST(lostAnswerIsUnknown);
    CPPUNIT_TEST(answerWithAnInvalidStatusIsUnknown);
    CPPUNIT_TEST(answerWithAFoldedHeaderIsUnknown);
    CPPUNIT_TEST(timeoutAfterSendingIsUnknown);
    CPPUNIT_TEST(unreachableIsRejected);
    CPPUNIT_TEST(closedIdleConnectionIsNoFailure);
    CPPUNIT_TEST(connectionsAreKeptAndFew);
    CPPUNIT_TEST(objects);
    CPPUNIT_TEST(otherInterfaces);
    CPPUNIT_TEST(permissionIsCheckedRightBeforeSending);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io = std::make_unique<asio::io_context>(1);
        m_server = std::make_unique<test::PlatformServer>(*m_io);
        m_client = makeClient(m_server->port());
    }

    void tearDown() override
    {
        m_client.reset();
        m_server.reset();
        m_io.reset();
    }

    // Guards against replies that are mapped to the wrong outcome, or a conflict without the current row.
    void commitsAndConflicts()
    {
        CPPUNIT_ASSERT(transact(insert("a")) == 0);
        const auto reply = test::await(*m_io, m_client->transact(insert("a")));
        const auto &conflict = std::get<TransactionConflict>(reply);
        CPPUNIT_ASSERT_EQUAL(RowVersion{1}, conflict.current.version);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"n":1})"), conflict.current.value);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), conflict.current.key.key);
    }

    // Guards against absent rows, limits and ends of ranges that get lost on the way.
    void readsAndScans()
    {
        for (const auto *it : {"a", "b", "c"}) {
            CPPUNIT_ASSERT(transact(insert(it)) == 0);
        }
        const auto read = test::await(*m_io, m_client->read({{"t", "b"}, {"t", "z"}}));
        CPPUNIT_ASSERT_EQUAL(RowVersion{1}, std::get<ReadRows>(read).rows[0].version);
        CPPUNIT_ASSERT_EQUAL(RowVersion{0}, std::get<ReadRows>(read).rows[1].version);
        const auto scan = test::await(*m_io, m_client->scan({"t", "a", "c", 1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, std::get<ReadRows>(scan).rows.size());
        CPPUNIT_ASSERT(std::get<ReadRows>(scan).more);
        inject(PlatformFault::Garbage);
        CPPUNIT_ASSERT(std::holds_alternative<ReadFailed>(test::await(*m_io, m_client->read({{"t", "b"}}))));
    }

    // Guards against a call that is repeated or reported as unknown although the platform refused it.
    void refusalHasNoEffect()
    {
        for (const auto it : {PlatformFault::Answer429, PlatformFault::Answer503}) {
            inject(it);
            CPPUNIT_ASSERT(transact(insert("a")) == 3);
            CPPUNIT_ASSERT_EQUAL(RowVersion{0}, m_server->table.peek({"t", "a"}).version);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_counters.value(CounterId::PlatformFailures));
    }

    // Guards against "not executed" for a write that took effect, and against a client that repeats it on its own.
    void lostAnswerIsUnknown()
    {
        for (const auto it : {PlatformFault::DropAnswer, PlatformFault::DropRequest, PlatformFault::Garbage}) {
            inject(it);
            CPPUNIT_ASSERT(transact(insert("a")) == 2);
        }
        CPPUNIT_ASSERT_EQUAL(RowVersion{1}, m_server->table.peek({"t", "a"}).version);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_server->targets.size());
    }

    // Guards against an outcome that is taken from a status which HTTP does not have.
    void answerWithAnInvalidStatusIsUnknown()
    {
        expectUnknown(PlatformFault::InvalidStatus);
    }

    // Guards against rows or an outcome from an answer whose body the platform may have framed otherwise.
    void answerWithAFoldedHeaderIsUnknown()
    {
        expectUnknown(PlatformFault::FoldedHeader);
    }

    // Guards against a caller that waits for ever, or takes a late answer for a refusal.
    void timeoutAfterSendingIsUnknown()
    {
        PlatformClientSettings settings;
        settings.timeout = 100ms;
        m_client = makeClient(m_server->port(), settings);
        inject(PlatformFault::Hang);
        CPPUNIT_ASSERT(transact(insert("a")) == 2);
        CPPUNIT_ASSERT_EQUAL(RowVersion{1}, m_server->table.peek({"t", "a"}).version);
    }

    // Guards against "unknown" for a call that never left this host.
    void unreachableIsRejected()
    {
        m_server->close();
        CPPUNIT_ASSERT(transact(insert("a")) == 3);
        CPPUNIT_ASSERT(std::holds_alternative<ReadFailed>(test::await(*m_io, m_client->read({{"t", "a"}}))));
    }

    // Guards against failures after each idle time at the platform.
    void closedIdleConnectionIsNoFailure()
    {
        CPPUNIT_ASSERT(transact(insert("a")) == 0);
        m_server->closeConnections();
        CPPUNIT_ASSERT(transact(insert("b")) == 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_server->connections);
    }

    // Guards against a connection for each call.
    void connectionsAreKeptAndFew()
    {
        std::size_t done = 0;
        for (int n = 0; n < 40; ++n) {
            asio::co_spawn(*m_io, m_client->read({{"t", "a"}}), [&](const std::exception_ptr &, const ReadReply &reply) {
                done += std::holds_alternative<ReadRows>(reply) ? 1 : 0;
            });
        }
        while (done < 40 && m_io->run_one() > 0) { }
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, done);
        CPPUNIT_ASSERT(m_server->connections <= CallLimits{}.concurrentCalls);
    }

    // Guards against an absent object that looks like an outage.
    void objects()
    {
        CPPUNIT_ASSERT(test::await(*m_io, m_client->putObject("config-256", "text")));
        CPPUNIT_ASSERT_EQUAL(std::string("text"), *test::await(*m_io, m_client->getObject("config-256")).value);
        CPPUNIT_ASSERT(test::await(*m_io, m_client->deleteObject("config-256")));
        const auto gone = test::await(*m_io, m_client->getObject("config-256"));
        CPPUNIT_ASSERT_EQUAL(ResultCode::PlatformObjectUnknown, gone.error.code);
    }

    // Guards against orders and reports that are repeated after a lost answer or whose refusal is not recognised.
    void otherInterfaces()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), *test::await(*m_io, m_client->call("POST", "/orders", "{}")).value);
        CPPUNIT_ASSERT(m_client->platformTime().has_value());
        inject(PlatformFault::DropAnswer);
        CPPUNIT_ASSERT_EQUAL(ResultCode::PlatformOutcomeUnknown, test::await(*m_io, m_client->call("POST", "/orders", "{}")).error.code);
        inject(PlatformFault::Answer503);
        CPPUNIT_ASSERT_EQUAL(ResultCode::PlatformUnavailable, test::await(*m_io, m_client->call("POST", "/orders", "{}")).error.code);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_server->targets.size());
    }

    // A host that was suspended while the connection was made must not act on a lease that ran out meanwhile.
    void permissionIsCheckedRightBeforeSending()
    {
        bool allowed = true;
        bool asked = false;
        PlatformCall call{"POST", "/orders", "{}", {}, CallUrgency::Usage, std::nullopt, [&] { return std::exchange(asked, true) || allowed; }};
        allowed = false;
        const auto reply = test::await(*m_io, m_client->exchange(call));
        CPPUNIT_ASSERT(asked);
        CPPUNIT_ASSERT_EQUAL(0U, reply.status);
        CPPUNIT_ASSERT(!reply.unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->targets.size());
        // The connection was opened before the permission ran out.
        m_io->restart();
        (void)m_io->poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->connections);
    }

private:
    std::unique_ptr<PlatformClient> makeClient(std::uint16_t port, const PlatformClientSettings &settings = {})
    {
        return std::make_unique<PlatformClient>(m_io->get_executor(), "127.0.0.1", port, m_counters, settings);
    }
    void inject(PlatformFault fault)
    {
        m_server->fault = fault;
        m_server->faults = 1;
    }
    void expectUnknown(PlatformFault fault)
    {
        inject(fault);
        CPPUNIT_ASSERT(transact(insert("a")) == 2);
        inject(fault);
        CPPUNIT_ASSERT(std::holds_alternative<ReadFailed>(test::await(*m_io, m_client->read({{"t", "a"}}))));
    }
    /*! @brief Returns the index of the reply: committed, conflict, unknown, rejected. */
    std::size_t transact(const Transaction &transaction)
    {
        return test::await(*m_io, m_client->transact(transaction)).index();
    }

    Counters m_counters;
    std::unique_ptr<asio::io_context> m_io;
    std::unique_ptr<test::PlatformServer> m_server;
    std::unique_ptr<PlatformClient> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);

} // namespace guavafield
