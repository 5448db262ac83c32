// Tests of the orders for the number of upstreams.
#include <guavafield/coordination/order/fleet_planner.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace guavafield {

class FleetPlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetPlannerTest);
    CPPUNIT_TEST(durableGoOnlyWhenCheapHaveCome);
    CPPUNIT_TEST(ordersEndWhenTheFleetIsAsPlanned);
    CPPUNIT_TEST(pressureAddsUpstreamsAndHoldsThem);
    CPPUNIT_TEST(lostUpstreamsAreMadeUpForElsewhere);
    CPPUNIT_TEST(durableStandInWhenNoneAreToBeHad);
    CPPUNIT_TEST(limitsHold);
    CPPUNIT_TEST(firstRequestsKeepTheFleetThatWasThere);
    CPPUNIT_TEST(newHolderKeepsTheFleetThatWorks);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_plan = FleetPlanner();
        m_now = SteadyTime{std::chrono::seconds{10}};
        m_configuration = Configuration();
        auto &pool = m_configuration.pools["p"];
        pool.id = "p";
        pool.scaling = ScalingLimits{1, 8, Milliseconds{4'000}, 0.2, {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}}};
        for (const auto *dataCentre : {"a", "b", "c"}) {
            add(dataCentre, UpstreamKind::Durable, 4);
        }
    }

    // Guards against a fleet that shrinks before its replacement serves.
    void durableGoOnlyWhenCheapHaveCome()
    {
        const auto first = fulfil();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, countOf(first, UpstreamKind::Cheap));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countOf(first, UpstreamKind::Durable));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, countOf(fulfil(), UpstreamKind::Durable));
    }

    // Guards against calls that change nothing, each of which is charged for.
    void ordersEndWhenTheFleetIsAsPlanned()
    {
        for (int n = 0; n < 6; ++n) {
            fulfil();
            m_now += std::chrono::seconds{2};
        }
        m_now += std::chrono::seconds{30};
        CPPUNIT_ASSERT(allOrders().empty());
    }

    // Guards against a fleet that stays small in a burst, or loses its warm caches between two bursts.
    void pressureAddsUpstreamsAndHoldsThem()
    {
        settle();
        const auto calm = present(UpstreamKind::Cheap);
        load(0.5, 20);
        fulfil();
        const auto burst = present(UpstreamKind::Cheap);
        CPPUNIT_ASSERT(burst > calm);
        load(0.0, 25);
        fulfil();
        CPPUNIT_ASSERT_EQUAL(burst, present(UpstreamKind::Cheap));
        load(0.0, 300);
        fulfil();
        CPPUNIT_ASSERT(present(UpstreamKind::Cheap) < burst);
    }

    // Guards against a wait for the data centre whose upstreams were reclaimed while others have some.
    void lostUpstreamsAreMadeUpForElsewhere()
    {
        settle();
        const auto before = present(UpstreamKind::Cheap);
        reclaim("a");
        m_unavailable = {"a"};
        for (int n = 0; n < 5; ++n) {
            m_now += Milliseconds{500};
            fulfil();
        }
        CPPUNIT_ASSERT(present(UpstreamKind::Cheap) >= before);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, present(UpstreamKind::Durable));
    }

    // Guards against seconds without upstreams when cheap ones are dry everywhere.
    void durableStandInWhenNoneAreToBeHad()
    {
        settle();
        load(0.5, 20);
        m_unavailable = {"a", "b", "c"};
        reclaim("a");
        reclaim("b");
        for (int n = 0; n < 5; ++n) {
            m_now += Milliseconds{500};
            load(0.5, 1);
            fulfil();
        }
        CPPUNIT_ASSERT(present(UpstreamKind::Durable) > 0);
    }

    // Guards against orders that the platform cuts down or refuses.
    void limitsHold()
    {
        load(50, 40);
        for (int n = 0; n < 10; ++n) {
            for (const auto &it : allOrders()) {
                CPPUNIT_ASSERT(it.count <= 8);
            }
            fulfil();
            m_now += std::chrono::seconds{2};
        }
    }

    // Guards against a large fleet that is cut down at the first requests, whose number says nothing about the load to come.
    void firstRequestsKeepTheFleetThatWasThere()
    {
        m_configuration.pools["p"].scaling->most = 60;
        for (const auto *dataCentre : {"a", "b", "c"}) {
            add(dataCentre, UpstreamKind::Durable, 26);
        }
        for (int n = 0; n < 4; ++n) {
            fulfil();
        }
        CPPUNIT_ASSERT(present(UpstreamKind::Cheap) >= 90);
        load(0.0, 5);
        fulfil();
        CPPUNIT_ASSERT(present(UpstreamKind::Cheap) >= 60);
        load(0.0, 300);
        fulfil();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{12}, present(UpstreamKind::Cheap));
    }

    // Guards against a new holder of the duties that cuts a fleet down to the least, because it has not seen any load yet.
    void newHolderKeepsTheFleetThatWorks()
    {
        m_configuration = Configuration();
        auto &pool = m_configuration.pools["p"];
        pool.id = "p";
        pool.scaling = ScalingLimits{1, 80, Milliseconds{4'000}, 0.2, {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}}};
        for (const auto *dataCentre : {"a", "b"}) {
            add(dataCentre, UpstreamKind::Cheap, 60);
        }
        load(0.0, 1);
        for (const auto &it : fulfil()) {
            CPPUNIT_ASSERT_EQUAL(DataCentreId("c"), it.dataCentre);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{60}, it.count);
        }
        load(0.0, 10);
        fulfil();
        CPPUNIT_ASSERT(present(UpstreamKind::Cheap) >= 100);
        load(0.0, 300);
        fulfil();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{12}, present(UpstreamKind::Cheap));
    }

private:
    void add(const DataCentreId &dataCentre, UpstreamKind kind, std::uint32_t count)
    {
        for (std::uint32_t n = 0; n < count; ++n) {
            Upstream upstream;
            upstream.id = "u" + std::to_string(++m_lastId);
            upstream.pool = "p";
            upstream.dataCentre = dataCentre;
            upstream.kind = kind;
            m_configuration.upstreams[upstream.id] = upstream;
        }
    }
    void reclaim(const DataCentreId &dataCentre)
    {
        std::erase_if(m_configuration.upstreams, [&](const auto &it) { return it.second.dataCentre == dataCentre && it.second.kind == UpstreamKind::Cheap; });
    }
    [[nodiscard]] std::uint32_t present(UpstreamKind kind) const
    {
        return static_cast<std::uint32_t>(std::ranges::count_if(m_configuration.upstreams, [&](const auto &it) { return it.second.kind == kind; }));
    }
    static std::size_t countOf(const std::vector<FleetSize> &orders, UpstreamKind kind)
    {
        return static_cast<std::size_t>(std::ranges::count(orders, kind, &FleetSize::kind));
    }
    std::vector<FleetSize> allOrders()
    {
        std::vector<FleetSize> result;
        while (const auto order = m_plan.nextOrder(m_configuration, m_now)) {
            const bool refused = order->kind == UpstreamKind::Cheap && std::ranges::find(m_unavailable, order->dataCentre) != m_unavailable.end();
            m_plan.onOutcome(*order, refused ? FleetSizeOutcome::Unavailable : FleetSizeOutcome::Accepted, m_now);
            if (!refused) {
                result.push_back(*order);
            }
        }
        return result;
    }
    // Gives orders and brings the upstreams.
    std::vector<FleetSize> fulfil()
    {
        m_now += Milliseconds{1'100};
        auto orders = allOrders();
        for (const auto &order : orders) {
            std::erase_if(m_configuration.upstreams, [&](const auto &it) { return it.second.dataCentre == order.dataCentre && it.second.kind == order.kind; });
            add(order.dataCentre, order.kind, order.count);
        }
        return orders;
    }
    void settle()
    {
        load(0.0, 300);
        for (int n = 0; n < 4; ++n) {
            fulfil();
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, present(UpstreamKind::Durable));
    }
    void load(double queueSeconds, int looks)
    {
        for (int n = 0; n < looks; ++n) {
            m_now += Milliseconds{200};
            StringMap<PoolLoad> loads;
            loads["p"] = PoolLoad{12, queueSeconds, 5};
            m_plan.onLoads(m_configuration, loads, m_now);
        }
    }

    FleetPlanner m_plan;
    Configuration m_configuration;
    std::vector<DataCentreId> m_unavailable;
    SteadyTime m_now{};
    int m_lastId{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetPlannerTest);

} // namespace guavafield
