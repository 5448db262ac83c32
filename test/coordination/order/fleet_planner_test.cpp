// Tests of the fleet planner: targets per data centre, limits and the orders that result.
#include <guavafield/coordination/order/fleet_planner.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace guavafield {

class FleetPlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetPlannerTest);
    CPPUNIT_TEST(durableAreReturnedAfterCheapArrive);
    CPPUNIT_TEST(noOrdersWhenFleetMatchesPlan);
    CPPUNIT_TEST(burstAddsUpstreamsAndHoldsThem);
    CPPUNIT_TEST(lostUpstreamsAreReplacedInOtherDataCentres);
    CPPUNIT_TEST(durableReplaceUnavailableCheap);
    CPPUNIT_TEST(evacuatedDataCentreIsReplacedAndNotOrderedFor);
    CPPUNIT_TEST(ordersStayWithinLimits);
    CPPUNIT_TEST(firstRequestsKeepInitialFleet);
    CPPUNIT_TEST(newHolderKeepsExistingFleet);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_planner = FleetPlanner();
        m_now = SteadyTime{std::chrono::seconds{10}};
        m_configuration = Configuration();
        auto &pool = m_configuration.pools["p"];
        pool.id = "p";
        pool.scaling = ScalingLimits{1, 8, Milliseconds{4'000}, 0.2, {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}}};
        for (const auto *dataCentre : {"a", "b", "c"}) {
            addUpstreams(dataCentre, UpstreamKind::Durable, 4);
        }
    }

    // Guards against returning durable upstreams before the cheap ones that replace them have arrived.
    void durableAreReturnedAfterCheapArrive()
    {
        const auto first = fulfilOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, countOf(first, UpstreamKind::Cheap));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countOf(first, UpstreamKind::Durable));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, countOf(fulfilOrders(), UpstreamKind::Durable));
    }

    // Guards against orders for a data centre that gets no requests, and against the loss of its capacity.
    void evacuatedDataCentreIsReplacedAndNotOrderedFor()
    {
        settle();
        const auto before = countPresent(UpstreamKind::Cheap);
        m_configuration.evacuated = {"a"};
        const auto orders = fulfilOrders();
        CPPUNIT_ASSERT(!orders.empty());
        CPPUNIT_ASSERT(std::ranges::none_of(orders, [](const FleetSize &it) { return it.dataCentre == "a"; }));
        CPPUNIT_ASSERT(countPresent(UpstreamKind::Cheap) > before);
    }

    // Guards against orders without effect; the platform charges for every call.
    void noOrdersWhenFleetMatchesPlan()
    {
        for (int n = 0; n < 6; ++n) {
            fulfilOrders();
            m_now += std::chrono::seconds{2};
        }
        m_now += std::chrono::seconds{30};
        CPPUNIT_ASSERT(allOrders().empty());
    }

    // Guards against a fleet that does not grow in a burst, or that shrinks and loses its warm caches between two bursts.
    void burstAddsUpstreamsAndHoldsThem()
    {
        settle();
        const auto calm = countPresent(UpstreamKind::Cheap);
        applyLoad(0.5, 20);
        fulfilOrders();
        const auto burst = countPresent(UpstreamKind::Cheap);
        CPPUNIT_ASSERT(burst > calm);
        applyLoad(0.0, 25);
        fulfilOrders();
        CPPUNIT_ASSERT_EQUAL(burst, countPresent(UpstreamKind::Cheap));
        applyLoad(0.0, 300);
        fulfilOrders();
        CPPUNIT_ASSERT(countPresent(UpstreamKind::Cheap) < burst);
    }

    // Guards against waiting for a data centre whose upstreams were reclaimed while other data centres have capacity.
    void lostUpstreamsAreReplacedInOtherDataCentres()
    {
        settle();
        const auto before = countPresent(UpstreamKind::Cheap);
        reclaimCheap("a");
        m_unavailable = {"a"};
        for (int n = 0; n < 5; ++n) {
            m_now += Milliseconds{500};
            fulfilOrders();
        }
        CPPUNIT_ASSERT(countPresent(UpstreamKind::Cheap) >= before);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, countPresent(UpstreamKind::Durable));
    }

    // Guards against a shortage of upstreams while cheap ones are unavailable in every data centre.
    void durableReplaceUnavailableCheap()
    {
        settle();
        applyLoad(0.5, 20);
        m_unavailable = {"a", "b", "c"};
        reclaimCheap("a");
        reclaimCheap("b");
        for (int n = 0; n < 5; ++n) {
            m_now += Milliseconds{500};
            applyLoad(0.5, 1);
            fulfilOrders();
        }
        CPPUNIT_ASSERT(countPresent(UpstreamKind::Durable) > 0);
    }

    // Guards against orders above the pool's limit, which the platform reduces or rejects.
    void ordersStayWithinLimits()
    {
        applyLoad(50, 40);
        for (int n = 0; n < 10; ++n) {
            for (const auto &it : allOrders()) {
                CPPUNIT_ASSERT(it.count <= 8);
            }
            fulfilOrders();
            m_now += std::chrono::seconds{2};
        }
    }

    // Guards against shrinking a large fleet at the first requests, whose number does not show the load to come.
    void firstRequestsKeepInitialFleet()
    {
        m_configuration.pools["p"].scaling->most = 60;
        for (const auto *dataCentre : {"a", "b", "c"}) {
            addUpstreams(dataCentre, UpstreamKind::Durable, 26);
        }
        for (int n = 0; n < 4; ++n) {
            fulfilOrders();
        }
        CPPUNIT_ASSERT(countPresent(UpstreamKind::Cheap) >= 90);
        applyLoad(0.0, 5);
        fulfilOrders();
        CPPUNIT_ASSERT(countPresent(UpstreamKind::Cheap) >= 60);
        applyLoad(0.0, 300);
        fulfilOrders();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{12}, countPresent(UpstreamKind::Cheap));
    }

    // Guards against a new holder of the duties that shrinks the fleet to the minimum because it has not measured any load yet.
    void newHolderKeepsExistingFleet()
    {
        m_configuration = Configuration();
        auto &pool = m_configuration.pools["p"];
        pool.id = "p";
        pool.scaling = ScalingLimits{1, 80, Milliseconds{4'000}, 0.2, {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}}};
        for (const auto *dataCentre : {"a", "b"}) {
            addUpstreams(dataCentre, UpstreamKind::Cheap, 60);
        }
        applyLoad(0.0, 1);
        for (const auto &it : fulfilOrders()) {
            CPPUNIT_ASSERT_EQUAL(DataCentreId("c"), it.dataCentre);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{60}, it.count);
        }
        applyLoad(0.0, 10);
        fulfilOrders();
        CPPUNIT_ASSERT(countPresent(UpstreamKind::Cheap) >= 100);
        applyLoad(0.0, 300);
        fulfilOrders();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{12}, countPresent(UpstreamKind::Cheap));
    }

private:
    void addUpstreams(const DataCentreId &dataCentre, UpstreamKind kind, std::uint32_t count)
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
    void reclaimCheap(const DataCentreId &dataCentre)
    {
        std::erase_if(m_configuration.upstreams, [&](const auto &it) { return it.second.dataCentre == dataCentre && it.second.kind == UpstreamKind::Cheap; });
    }
    [[nodiscard]] std::uint32_t countPresent(UpstreamKind kind) const
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
        while (const auto order = m_planner.nextOrder(m_configuration, m_now)) {
            const bool isUnavailable = order->kind == UpstreamKind::Cheap && std::ranges::find(m_unavailable, order->dataCentre) != m_unavailable.end();
            m_planner.onOutcome(*order, isUnavailable ? FleetSizeOutcome::Unavailable : FleetSizeOutcome::Accepted, m_now);
            if (!isUnavailable) {
                result.push_back(*order);
            }
        }
        return result;
    }
    // Places all due orders and adds or removes the upstreams accordingly.
    std::vector<FleetSize> fulfilOrders()
    {
        m_now += Milliseconds{1'100};
        auto orders = allOrders();
        for (const auto &order : orders) {
            std::erase_if(m_configuration.upstreams, [&](const auto &it) { return it.second.dataCentre == order.dataCentre && it.second.kind == order.kind; });
            addUpstreams(order.dataCentre, order.kind, order.count);
        }
        return orders;
    }
    void settle()
    {
        applyLoad(0.0, 300);
        for (int n = 0; n < 4; ++n) {
            fulfilOrders();
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, countPresent(UpstreamKind::Durable));
    }
    void applyLoad(double queueSeconds, int samples)
    {
        for (int n = 0; n < samples; ++n) {
            m_now += Milliseconds{200};
            StringMap<PoolLoad> loads;
            loads["p"] = PoolLoad{12, queueSeconds, 5};
            m_planner.onLoads(m_configuration, loads, m_now);
        }
    }

    FleetPlanner m_planner;
    Configuration m_configuration;
    std::vector<DataCentreId> m_unavailable;
    SteadyTime m_now{};
    int m_lastId{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetPlannerTest);

} // namespace guavafield
