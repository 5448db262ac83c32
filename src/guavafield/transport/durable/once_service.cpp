// Coroutines of at-most-once calls.
#include <guavafield/protocol/records/once_codec.hpp>
#include <guavafield/transport/durable/once_service.hpp>
#include <guavafield/transport/durable/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

constexpr Milliseconds settlePollInterval{50};

ServiceOutcome toServiceOutcome(OnceReply reply)
{
    if (reply.answer) {
        return ServiceAnswer{reply.answer->status, std::move(reply.answer->headers), std::move(reply.answer->body)};
    }
    return ServiceFailure{reply.code, reply.notRun};
}

} // namespace internal

OnceService::Pending::Pending(OnceServiceCall initial, boost::asio::any_io_executor executor, const boost::asio::any_io_executor &strand)
    : call(std::move(initial)), callerExecutor(std::move(executor)), replied(strand, SteadyTime::max())
{
}

OnceService::OnceService(
    const boost::asio::any_io_executor &executor, PlatformClient &client, const Clock &clock, Counters &counters, KeyHasher hasher, OnceSettings settings)
    : m_strand(boost::asio::make_strand(executor))
    , m_client(client)
    , m_clock(clock)
    , m_counters(counters)
    , m_hasher(std::move(hasher))
    , m_ledger(std::move(settings), onceCodec())
    , m_timer(m_strand)
{
}

OnceGate OnceService::gate()
{
    return [self = shared_from_this()](OnceServiceCall call) { return self->call(std::move(call)); };
}

boost::asio::awaitable<void> OnceService::stop(Milliseconds limit)
{
    const auto self = shared_from_this();
    const auto wait = [self, limit]() -> boost::asio::awaitable<void> {
        const auto deadline = self->m_clock.now() + limit;
        while (self->m_ledger.size() > 0 && self->m_clock.now() < deadline) {
            co_await sleepFor(internal::settlePollInterval);
        }
    };
    co_await boost::asio::co_spawn(m_strand, wait, boost::asio::use_awaitable);
}

boost::asio::awaitable<ServiceOutcome> OnceService::call(OnceServiceCall call)
{
    const auto self = shared_from_this();
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto pending = std::make_shared<Pending>(std::move(call), executor, m_strand);
    const auto onStrand = [self, pending]() -> boost::asio::awaitable<ServiceOutcome> { co_return co_await self->callOnStrand(pending); };
    co_return co_await boost::asio::co_spawn(m_strand, onStrand, boost::asio::use_awaitable);
}

boost::asio::awaitable<ServiceOutcome> OnceService::callOnStrand(std::shared_ptr<Pending> pending)
{
    const auto &call = pending->call;
    const OnceIdentity identity{call.team, toHex(m_hasher.digest(call.idempotencyKey)), call.bodyDigest};
    const auto id = m_ledger.begin(identity, m_clock.now());
    m_pending.emplace(id, pending);
    pump();
    boost::system::error_code ec;
    while (!pending->reply) {
        co_await pending->replied.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    co_return internal::toServiceOutcome(std::move(*pending->reply));
}

boost::asio::awaitable<void> OnceService::transact(OnceTransactAction action)
{
    const auto reply = co_await m_client.transact(std::move(action.transaction));
    m_ledger.onTransaction(action.id, reply, m_clock.now());
    pump();
}

boost::asio::awaitable<void> OnceService::read(OnceReadAction action)
{
    const auto reply = co_await m_client.read(std::move(action.keys));
    m_ledger.onRead(action.id, reply, m_clock.now());
    pump();
}

boost::asio::awaitable<void> OnceService::run(OnceCallId id)
{
    const auto pending = m_pending.at(id);
    std::optional<ServiceOutcome> outcome;
    try {
        const auto function = pending->call.run;
        outcome = co_await boost::asio::co_spawn(pending->callerExecutor, function, boost::asio::use_awaitable);
    } catch (const std::exception &) {
        // Without an outcome the call may have run.
        outcome = ServiceFailure{};
    }
    if (auto *answer = std::get_if<ServiceAnswer>(&*outcome)) {
        m_ledger.onAnswered(id, {answer->status, std::move(answer->headers), std::move(answer->body)}, m_clock.now());
    } else if (std::get<ServiceFailure>(*outcome).notRun) {
        m_ledger.onNotSent(id, m_clock.now());
    } else {
        m_ledger.onAnswerLost(id);
    }
    pump();
}

void OnceService::pump()
{
    if (const auto time = m_client.platformTime()) {
        m_ledger.setPlatformTime(*time);
    }
    for (auto &it : m_ledger.step(m_clock.now())) {
        perform(std::move(it));
    }
    armTimer();
}

void OnceService::perform(OnceAction action)
{
    const auto spawn = [&](auto function) { boost::asio::co_spawn(m_strand, std::move(function), boost::asio::detached); };
    std::visit(
        Overloaded{
            [&](OnceTransactAction &it) {
                spawn([self = shared_from_this(), owned = std::move(it)]() mutable -> boost::asio::awaitable<void> {
                    co_await self->transact(std::move(owned));
                });
            },
            [&](OnceReadAction &it) {
                spawn([self = shared_from_this(), owned = std::move(it)]() mutable -> boost::asio::awaitable<void> { co_await self->read(std::move(owned)); });
            },
            [&](const OnceSendAction &it) {
                m_counters.add(CounterId::OnceRecordsInserted);
                spawn([self = shared_from_this(), id = it.call]() -> boost::asio::awaitable<void> { co_await self->run(id); });
            },
            [&](const OnceReplyAction &it) { answer(it); },
        },
        action);
}

void OnceService::answer(const OnceReplyAction &action)
{
    const auto it = m_pending.extract(action.call);
    if (it.empty()) {
        return;
    }
    if (action.reply.replayed) {
        m_counters.add(CounterId::OnceDuplicatesAnswered);
    }
    it.mapped()->reply = action.reply;
    it.mapped()->replied.cancel();
}

void OnceService::armTimer()
{
    const auto next = m_ledger.nextWakeup();
    if (!next) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(std::max(*next - m_clock.now(), SteadyTime::duration::zero()));
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec) {
            self->pump();
        }
    });
}

} // namespace guavafield
