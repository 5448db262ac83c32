// Tests of the services that keep leases, usage and at-most-once records: through real connections to a platform in the test's process.
#include <guavafield/protocol/records/lease_codec.hpp>
#include <guavafield/protocol/records/order_codec.hpp>
#include <guavafield/protocol/records/usage_codec.hpp>
#include <guavafield/transport/durable/once_service.hpp>
#include <guavafield/transport/durable/order_service.hpp>
#include <guavafield/transport/durable/usage_service.hpp>

#include <support/platform_server.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

using test::PlatformFault;
namespace asio = boost::asio;

class DurableServicesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DurableServicesTest);
    CPPUNIT_TEST(callRunsOnceAndIsReplayed);
    CPPUNIT_TEST(lostInsertRunsOnce);
    CPPUNIT_TEST(unreachablePlatformRefuses);
    CPPUNIT_TEST(failureThatMayHaveRunIsUnknown);
    CPPUNIT_TEST(stopFlushesUsageAndReleases);
    CPPUNIT_TEST(ordersAreRecordedAndSent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io = std::make_unique<asio::io_context>(1);
        m_server = std::make_unique<test::PlatformServer>(*m_io);
        m_client = std::make_unique<PlatformClient>(m_io->get_executor(), "127.0.0.1", m_server->port(), m_counters);
        m_runs = 0;
    }

    void tearDown() override
    {
        // The client's timers belong to the io_context and go before it.
        m_io->stop();
        m_client.reset();
        m_server.reset();
        m_io.reset();
    }

    // Guards against a second run, and against an answer that changes on its way through the record.
    void callRunsOnceAndIsReplayed()
    {
        const auto first = call(makeOnce("host-0"), ServiceAnswer{201, {{"X-Booking", "7"}}, "booked"});
        const auto second = call(makeOnce("host-1"), ServiceAnswer{500, {}, "must not run"});
        for (const auto &it : {first, second}) {
            const auto &answer = std::get<ServiceAnswer>(it);
            CPPUNIT_ASSERT_EQUAL(201U, answer.status);
            CPPUNIT_ASSERT_EQUAL(std::string("booked"), answer.body);
            CPPUNIT_ASSERT_EQUAL(std::string("7"), answer.headers.at(0).second);
        }
        CPPUNIT_ASSERT_EQUAL(1, m_runs);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters.value(CounterId::OnceDuplicatesAnswered));
    }

    // Guards against a call that is given up, or run twice, when the answer to its insert is lost.
    void lostInsertRunsOnce()
    {
        m_server->fault = PlatformFault::DropAnswer;
        m_server->faults = 1;
        const auto outcome = call(makeOnce("host-0"), ServiceAnswer{200, {}, "done"});
        CPPUNIT_ASSERT(std::holds_alternative<ServiceAnswer>(outcome));
        CPPUNIT_ASSERT_EQUAL(1, m_runs);
    }

    // Guards against calls that run without a record.
    void unreachablePlatformRefuses()
    {
        m_server->close();
        const auto outcome = call(makeOnce("host-0"), ServiceAnswer{});
        const auto &failure = std::get<ServiceFailure>(outcome);
        CPPUNIT_ASSERT(failure.code == ResultCode::OnceStoreUnavailable);
        CPPUNIT_ASSERT(failure.notRun);
        CPPUNIT_ASSERT_EQUAL(0, m_runs);
    }

    // Guards against "not run" after an upstream's answer was lost.
    void failureThatMayHaveRunIsUnknown()
    {
        const auto outcome = call(makeOnce("host-0"), ServiceFailure{ResultCode::UpstreamTimeout, false});
        const auto &failure = std::get<ServiceFailure>(outcome);
        CPPUNIT_ASSERT(failure.code == ResultCode::OnceOutcomeUnknown);
        CPPUNIT_ASSERT(!failure.notRun);
    }

    // Guards against a graceful stop that loses counters or leaves the lease to lapse.
    void stopFlushesUsageAndReleases()
    {
        const auto service = std::make_shared<UsageService>(m_io->get_executor(), *m_client, m_clock, m_counters, LeaseHolder{"host-0", 1});
        service->start();
        service->sink()({"team", "class", "model", 3, 4});
        CPPUNIT_ASSERT(runUntil([&] { return m_counters.value(CounterId::LeasesTaken) == 1; }));
        const auto stop = [](std::shared_ptr<UsageService> it) -> asio::awaitable<bool> {
            co_await it->stop(Milliseconds{20'000});
            co_return true;
        };
        test::await(*m_io, stop(service));
        const auto reply = m_server->table.scan({"usage", {}, {}, 10});
        const auto &rows = std::get<ReadRows>(reply).rows;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
        const auto row = usageCodec().row.decode(rows[0].value);
        const auto figures = usageCodec().unpack(row->sections.at(0).packed);
        CPPUNIT_ASSERT((*figures == UsageFigures{{{"team", "class", "model"}, {1, 3, 4}}}));
        const auto lease = leaseCodec().decode(m_server->table.peek({"lease", "usage"}).value);
        CPPUNIT_ASSERT(lease && !lease->holder);
    }

    // Guards against orders that are not sent, not recorded, without the fence, or sent again while the upstream is starting.
    void ordersAreRecordedAndSent()
    {
        OrderServiceSettings settings;
        settings.dataCentre = "dc";
        settings.self = {"host-0", 1};
        settings.planAfterTakeOver = Milliseconds{0};
        settings.planEvery = Milliseconds{0};
        std::vector<std::string> bodies;
        const auto sender = [&](UpstreamId, std::string body) -> asio::awaitable<OrderOutcome> {
            bodies.push_back(std::move(body));
            co_return OrderOutcome::Done;
        };
        std::size_t plans = 0;
        const auto situation = [&] {
            ++plans;
            OrderPlannerInput it;
            it.upstreams = {{"u", "z", UpstreamKind::Durable, 8, {}, {}, {}, true, false}};
            it.demand = {{"m", "1", 16, 16}};
            return it;
        };
        const auto service = std::make_shared<OrderService>(m_io->get_executor(), *m_client, m_clock, m_counters, settings, sender, situation);
        service->start();
        CPPUNIT_ASSERT(runUntil([&] { return !bodies.empty() && plans >= 6; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bodies.size());
        CPPUNIT_ASSERT(bodies[0].find(R"("fence":1)") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::ranges::count(m_server->targets, "/orders"));
        const auto reply = m_server->table.scan({"order", {}, {}, 10});
        const auto record = orderCodec().order.decode(std::get<ReadRows>(reply).rows.at(0).value);
        CPPUNIT_ASSERT(record && record->state == OrderState::Done);
        const auto stop = [](std::shared_ptr<OrderService> it) -> asio::awaitable<bool> {
            co_await it->stop(Milliseconds{20'000});
            co_return true;
        };
        test::await(*m_io, stop(service));
        CPPUNIT_ASSERT(!leaseCodec().decode(m_server->table.peek({"lease", "orders/dc"}).value)->holder);
    }

private:
    std::shared_ptr<OnceService> makeOnce(const std::string &host)
    {
        OnceSettings settings;
        settings.host = host;
        return std::make_shared<OnceService>(m_io->get_executor(), *m_client, m_clock, m_counters, KeyHasher("secret"), settings);
    }

    // Calls and waits until the record is settled.
    ServiceOutcome call(const std::shared_ptr<OnceService> &service, const ServiceOutcome &outcome)
    {
        OnceServiceCall request;
        request.team = "team";
        request.idempotencyKey = "key";
        request.run = [this, outcome]() -> asio::awaitable<ServiceOutcome> {
            ++m_runs;
            co_return outcome;
        };
        const auto work = [](std::shared_ptr<OnceService> it, OnceServiceCall owned) -> asio::awaitable<ServiceOutcome> {
            const auto gate = it->gate();
            auto result = co_await gate(std::move(owned));
            co_await it->stop(Milliseconds{20'000});
            co_return result;
        };
        return test::await(*m_io, work(service, std::move(request)));
    }

    // The limit is only reached by a failing test.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{30};
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            m_io->run_one_for(std::chrono::seconds{1});
        }
        return condition();
    }

    SystemClock m_clock;
    Counters m_counters;
    std::unique_ptr<asio::io_context> m_io;
    std::unique_ptr<test::PlatformServer> m_server;
    std::unique_ptr<PlatformClient> m_client;
    int m_runs{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DurableServicesTest);

} // namespace guavafield
