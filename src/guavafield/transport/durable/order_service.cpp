// Coroutines of orders.
#include <guavafield/protocol/records/order_codec.hpp>
#include <guavafield/transport/durable/order_service.hpp>
#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/platform/platform_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

constexpr Milliseconds orderStepInterval{250};

LeaseSettings orderLeaseSettings(const OrderServiceSettings &settings)
{
    LeaseSettings lease;
    lease.name = "orders/" + settings.dataCentre;
    lease.self = settings.self;
    return lease;
}

OrderExecutorSettings executorSettings(const OrderServiceSettings &settings)
{
    OrderExecutorSettings executor;
    executor.dataCentre = settings.dataCentre;
    executor.self = settings.self;
    executor.weights = settings.weights;
    return executor;
}

std::size_t visibleUpstreams(const OrderPlannerInput &situation, UpstreamKind kind)
{
    return static_cast<std::size_t>(std::ranges::count_if(situation.upstreams, [&](const UpstreamStatus &it) { return it.kind == kind && !it.leaving; }));
}

} // namespace internal

OrderService::OrderService(const boost::asio::any_io_executor &executor,
                           PlatformClient &client,
                           const Clock &clock,
                           Counters &counters,
                           OrderServiceSettings settings,
                           UpstreamOrderSender sender,
                           SituationSource situation)
    : m_strand(boost::asio::make_strand(executor))
    , m_client(client)
    , m_clock(clock)
    , m_counters(counters)
    , m_settings(std::move(settings))
    , m_sender(std::move(sender))
    , m_situation(std::move(situation))
    , m_lease(std::make_shared<LeaseDriver>(m_strand, tableAccess(client), clock, counters, internal::orderLeaseSettings(m_settings)))
    , m_executor(internal::executorSettings(m_settings), orderCodec(), m_lease->keeper())
{
}

void OrderService::start()
{
    boost::asio::post(m_strand, [self = shared_from_this()] { self->m_lease->start(); });
    boost::asio::co_spawn(
        m_strand, [self = shared_from_this()]() -> boost::asio::awaitable<void> { co_await self->run(); }, boost::asio::detached);
}

boost::asio::awaitable<void> OrderService::stop(Milliseconds limit)
{
    const auto onStrand = [self = shared_from_this(), limit]() -> boost::asio::awaitable<void> {
        co_await self->m_lease->stop(limit);
        self->m_ended = true;
    };
    co_await boost::asio::co_spawn(m_strand, onStrand, boost::asio::use_awaitable);
}

void OrderService::setCandidates(std::vector<HostId> candidates)
{
    boost::asio::post(m_strand, [self = shared_from_this(), list = std::move(candidates)] { self->m_lease->setCandidates(list); });
}

void OrderService::confirmGone(LeaseHolder holder)
{
    boost::asio::post(m_strand, [self = shared_from_this(), gone = std::move(holder)] { self->m_lease->keeper().confirmGone(gone); });
}

boost::asio::awaitable<void> OrderService::run()
{
    while (!m_ended) {
        const auto now = m_clock.now();
        const auto fence = m_lease->keeper().fence(now);
        if (fence && fence != m_fence) {
            m_fence = fence;
            m_expected.clear();
            m_loads.clear();
            m_nextPlan = now + m_settings.planAfterTakeOver;
        }
        if (fence && now >= m_nextPlan && m_executor.idle()) {
            plan(now);
        }
        std::optional<OrderAction> action;
        if (const auto time = m_client.platformTime()) {
            action = m_executor.step(now, *time);
        }
        if (action) {
            co_await perform(std::move(*action));
        } else {
            co_await sleepFor(internal::orderStepInterval);
        }
    }
}

boost::asio::awaitable<void> OrderService::perform(OrderAction action)
{
    if (auto *write = std::get_if<TransactAction>(&action)) {
        const auto reply = co_await m_client.transact(std::move(write->transaction));
        m_executor.onTransaction(reply, m_clock.now());
    } else if (auto *read = std::get_if<ReadAction>(&action)) {
        const auto reply = co_await m_client.read(std::move(read->keys));
        m_executor.onRows(reply, m_clock.now());
    } else if (auto *scan = std::get_if<ScanAction>(&action)) {
        const auto reply = co_await m_client.scan(std::move(scan->range));
        m_executor.onRows(reply, m_clock.now());
    } else {
        m_counters.add(CounterId::OrdersSent);
        const auto outcome = co_await send(std::move(std::get<SendOrderAction>(action)));
        m_counters.add(CounterId::OrdersFenced, outcome == OrderOutcome::Fenced ? 1 : 0);
        m_executor.onSent(outcome, m_clock.now());
    }
}

boost::asio::awaitable<OrderOutcome> OrderService::send(SendOrderAction action)
{
    if (const auto *fleet = std::get_if<FleetOrder>(&action.order.kind)) {
        co_return co_await sendToPlatform(std::move(action.id), *fleet, action.fence);
    }
    const auto *model = std::get_if<ModelOrder>(&action.order.kind);
    auto upstream = model != nullptr ? model->upstream : std::get<RoleOrder>(action.order.kind).upstream;
    if (model != nullptr && model->load) {
        m_loads[{model->upstream, model->model}] = m_clock.now() + m_settings.loadLimit;
    }
    auto body = formatUpstreamOrder(action.id, action.order.kind, action.fence);
    try {
        co_return co_await m_sender(std::move(upstream), std::move(body));
    } catch (const std::exception &) {
        co_return OrderOutcome::Unknown;
    }
}

boost::asio::awaitable<OrderOutcome> OrderService::sendToPlatform(std::string id, FleetOrder order, Fence fence)
{
    const std::string method("POST");
    const std::string target("/orders");
    auto body = formatFleetOrder(id, m_settings.dataCentre, order, fence);
    const auto answer = co_await m_client.call(method, target, std::move(body));
    if (!answer) {
        co_return answer.error.code == ResultCode::OrderFenced ? OrderOutcome::Fenced : OrderOutcome::Unknown;
    }
    if (fleetOrderUnavailable(*answer.value)) {
        m_cheapFrom = m_clock.now() + m_settings.unavailableFor;
        co_return OrderOutcome::Failed;
    }
    expect(order);
    co_return OrderOutcome::Done;
}

void OrderService::plan(SteadyTime now)
{
    m_nextPlan = now + m_settings.planEvery;
    auto situation = m_situation();
    std::erase_if(m_expected, [&](const Expected &it) { return now >= it.until || internal::visibleUpstreams(situation, it.kind) >= it.visible; });
    for (const auto &it : m_expected) {
        (it.kind == UpstreamKind::Durable ? situation.durablePending : situation.cheapPending) += it.count;
    }
    situation.cheapAvailable = now >= m_cheapFrom;
    auto orders = planOrders(situation);
    removeRunningLoads(orders, now);
    m_executor.setPlan(std::move(orders));
}

void OrderService::removeRunningLoads(std::vector<Order> &orders, SteadyTime now)
{
    std::erase_if(m_loads, [&](const auto &it) { return now >= it.second; });
    std::erase_if(orders, [&](const Order &it) {
        const auto *model = std::get_if<ModelOrder>(&it.kind);
        return model != nullptr && model->load && m_loads.contains({model->upstream, model->model});
    });
}

void OrderService::expect(const FleetOrder &order)
{
    if (order.start) {
        const auto visible = internal::visibleUpstreams(m_situation(), order.kind);
        m_expected.push_back({order.kind, order.count, visible + order.count, m_clock.now() + m_settings.startLimit});
    }
}

} // namespace guavafield
