// Tests of order planning and execution: orders are recorded before they are sent, and only the current lease holder sends.
#include <guavafield/coordination/order/order_executor.hpp>
#include <guavafield/coordination/order/order_planner.hpp>
#include <guavafield/protocol/records/lease_codec.hpp>
#include <guavafield/protocol/records/order_codec.hpp>

#include <support/memory_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <iostream>
#include <random>
#include <set>

namespace guavafield {

namespace {

// Two hosts that compete for the lease of one data centre and execute orders to receivers that ignore fencing tokens.
class OrderSimulation
{
public:
    OrderSimulation()
    {
        for (const auto *name : {"host-0", "host-1"}) {
            m_hosts.emplace_back(LeaseHolder{name, 1});
        }
    }

    void advance(Milliseconds time)
    {
        m_now += time;
        m_wall += time;
    }

    void stepKeeper(std::size_t n, bool lose)
    {
        auto &keeper = m_hosts[n].keeper;
        for (auto actions = keeper.step(m_now); !actions.empty();) {
            std::vector<LeaseAction> next;
            for (const auto &it : actions) {
                if (const auto *write = std::get_if<TransactAction>(&it)) {
                    next = keeper.onTransaction(transact(write->transaction, lose), m_now);
                } else if (const auto *read = std::get_if<ReadAction>(&it)) {
                    next = keeper.onRead(table.read(read->keys), m_now);
                }
            }
            actions = std::move(next);
        }
    }

    void stepExecutor(std::size_t n, bool lose)
    {
        auto &host = m_hosts[n];
        if (host.sending) {
            return;
        }
        const auto action = host.executor.step(m_now, m_wall);
        if (!action) {
            return;
        }
        if (const auto *write = std::get_if<TransactAction>(&*action)) {
            host.executor.onTransaction(transact(write->transaction, lose), m_now);
        } else if (const auto *read = std::get_if<ReadAction>(&*action)) {
            host.executor.onRows(table.read(read->keys), m_now);
        } else if (const auto *scan = std::get_if<ScanAction>(&*action)) {
            host.executor.onRows(table.scan(scan->range), m_now);
        } else {
            host.sending = std::get<SendOrderAction>(*action);
        }
    }

    // Delivers a send, which has passed the fence check, to its receiver.
    void send(std::size_t n, OrderOutcome outcome)
    {
        auto &host = m_hosts[n];
        if (!host.sending) {
            return;
        }
        const auto sent = *std::exchange(host.sending, std::nullopt);
        if (table.peek({"order", "dc/" + sent.id}).version == 0) {
            faults.emplace_back("an order was sent without a row");
        }
        if (sent.fence < m_newestFence) {
            faults.emplace_back("an earlier holder sent after a later one");
        }
        m_newestFence = std::max(m_newestFence, sent.fence);
        executedIds.insert(sent.id);
        ++sends;
        host.executor.onSent(outcome, m_now);
    }

    void plan(std::size_t n)
    {
        m_hosts[n].executor.setPlan({{ModelOrder{true, "u", "m", "1"}, false}});
    }

    test::MemoryTable table;
    std::vector<std::string> faults;
    std::set<std::string> executedIds;
    std::size_t sends{0};

private:
    struct Host
    {
        explicit Host(const LeaseHolder &self)
            : keeper(LeaseSettings{"orders/dc", self}, leaseCodec()), executor(OrderExecutorSettings{"dc", self}, orderCodec(), keeper)
        {
        }

        LeaseClient keeper;
        OrderExecutor executor;
        std::optional<SendOrderAction> sending;
    };

    TransactionReply transact(const Transaction &transaction, bool lose)
    {
        auto reply = table.transact(transaction);
        return lose ? TransactionReply{TransactionUnknown{}} : reply;
    }

    std::deque<Host> m_hosts;
    Fence m_newestFence{0};
    SteadyTime m_now{std::chrono::hours{1}};
    WallTime m_wall{std::chrono::hours{500'000}};
};

OrderPlannerInput inputOf(std::vector<UpstreamStatus> upstreams, double topTier, double total)
{
    OrderPlannerInput input;
    input.upstreams = std::move(upstreams);
    input.demand = {{"m", "1", topTier, total}};
    return input;
}

UpstreamStatus upstream(const std::string &id, UpstreamKind kind, const std::string &zone)
{
    UpstreamStatus it;
    it.id = id;
    it.zone = zone;
    it.kind = kind;
    it.slots = 8;
    it.models = {"m"};
    return it;
}

bool contains(const std::vector<Order> &orders, const OrderKind &kind)
{
    return std::ranges::any_of(orders, [&](const Order &it) { return it.kind == kind; });
}

} // namespace

class OrderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderTest);
    CPPUNIT_TEST(onlyCurrentHolderSends);
    CPPUNIT_TEST(successorFinishesUnfinishedOrders);
    CPPUNIT_TEST(zoneLossIsCovered);
    CPPUNIT_TEST(durableIsOrderedWhenCheapIsUnavailable);
    CPPUNIT_TEST(pendingOrdersAreNotRepeated);
    CPPUNIT_TEST(missingModelIsLoaded);
    CPPUNIT_TEST(bucketLimitsLoads);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two concurrent senders and sends without a row when hosts pause between fence check and send and replies are lost.
    void onlyCurrentHolderSends()
    {
        constexpr std::uint64_t runs = 1'500;
        std::cout << " seeds 1 to " << runs << std::endl;
        std::size_t sends = 0;
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            std::mt19937_64 random(seed);
            OrderSimulation simulation;
            std::size_t host = 0;
            for (int n = 0; n < 400; ++n) {
                host = random() % 20 == 0 ? 1 - host : host;
                const bool lose = random() % 8 == 0;
                switch (random() % 6) {
                case 0:
                    simulation.advance(Milliseconds{static_cast<Milliseconds::rep>(random() % 3'000)});
                    break;
                case 1:
                    simulation.stepKeeper(host, lose);
                    break;
                case 2:
                    simulation.plan(host);
                    break;
                case 3:
                    simulation.send(host, lose ? OrderOutcome::Unknown : OrderOutcome::Done);
                    break;
                default:
                    simulation.stepExecutor(host, lose);
                }
            }
            if (!simulation.faults.empty()) {
                CPPUNIT_FAIL(simulation.faults.front() + ", seed " + std::to_string(seed));
            }
            sends += simulation.sends;
        }
        CPPUNIT_ASSERT(sends > runs);
    }

    // Guards against a successor that drops an order that was recorded and possibly sent, or repeats it under another id.
    void successorFinishesUnfinishedOrders()
    {
        OrderSimulation simulation;
        simulation.stepKeeper(0, false);
        simulation.stepKeeper(1, false);
        simulation.plan(0);
        for (int n = 0; n < 12; ++n) {
            simulation.stepExecutor(0, false);
        }
        simulation.send(0, OrderOutcome::Unknown);
        simulation.advance(Milliseconds{12'000});
        simulation.stepKeeper(1, false);
        simulation.stepKeeper(0, false);
        simulation.advance(Milliseconds{3'500});
        simulation.stepKeeper(1, false);
        for (int n = 0; n < 12; ++n) {
            simulation.stepExecutor(1, false);
            simulation.send(1, OrderOutcome::Done);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, simulation.sends);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, simulation.executedIds.size());
    }

    // Guards against top-tier demand that depends on the cheap upstreams of a single zone.
    void zoneLossIsCovered()
    {
        const auto durable = upstream("d", UpstreamKind::Durable, "z");
        const auto cheap1 = upstream("c1", UpstreamKind::Cheap, "z1");
        const auto cheap2 = upstream("c2", UpstreamKind::Cheap, "z2");
        const auto sameZone = upstream("c2", UpstreamKind::Cheap, "z1");
        CPPUNIT_ASSERT(planOrders(inputOf({durable, cheap1, cheap2}, 16, 24)).empty());
        CPPUNIT_ASSERT(contains(planOrders(inputOf({durable, cheap1, sameZone}, 16, 24)), FleetOrder{true, UpstreamKind::Durable, 1}));
    }

    // Guards against waiting for cheap upstreams while the platform has none.
    void durableIsOrderedWhenCheapIsUnavailable()
    {
        auto input = inputOf({upstream("d", UpstreamKind::Durable, "z")}, 8, 24);
        CPPUNIT_ASSERT(contains(planOrders(input), FleetOrder{true, UpstreamKind::Cheap, 2}));
        input.cheapAvailable = false;
        CPPUNIT_ASSERT(contains(planOrders(input), FleetOrder{true, UpstreamKind::Durable, 2}));
    }

    // Guards against repeating an order in every plan while its upstreams are still starting.
    void pendingOrdersAreNotRepeated()
    {
        auto input = inputOf({upstream("d", UpstreamKind::Durable, "z")}, 16, 16);
        CPPUNIT_ASSERT(contains(planOrders(input), FleetOrder{true, UpstreamKind::Durable, 1}));
        input.durablePending = 1;
        CPPUNIT_ASSERT(planOrders(input).empty());
    }

    // Guards against leaving a model with demand unloaded on all upstreams.
    void missingModelIsLoaded()
    {
        auto input = inputOf({upstream("d", UpstreamKind::Durable, "z"), upstream("e", UpstreamKind::Durable, "z")}, 4, 8);
        input.demand.push_back({"n", "2", 0, 2});
        CPPUNIT_ASSERT(contains(planOrders(input), ModelOrder{true, "d", "n", "2"}));
    }

    // Guards against exceeding the rate limit of the weight store, which all hosts share.
    void bucketLimitsLoads()
    {
        const WeightLimit limit{1, 2};
        const WallTime start{std::chrono::hours{1}};
        std::optional<WeightBucket> bucket;
        std::size_t taken = 0;
        for (int n = 0; n < 100; ++n) {
            if (auto next = takeWeightToken(bucket, limit, start + Milliseconds{100 * n})) {
                bucket = next;
                ++taken;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, taken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderTest);

} // namespace guavafield
