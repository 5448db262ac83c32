// Calls of plain services, with the gate for calls that may run only once.
#include <guavafield/transport/http/forwarding/service_request.hpp>

#include <guavafield/transport/http/headers.hpp>
#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace guavafield {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace internal {

// One repetition; a service that fails twice is not helped by a third call.
constexpr int maxServiceSends = 2;

ServiceFailure serviceFailure(ExchangeResult result, bool sent) noexcept
{
    switch (result) {
    case ExchangeResult::ConnectFailed:
        return {ResultCode::UpstreamUnreachable, !sent};
    case ExchangeResult::TimedOut:
        return {ResultCode::UpstreamTimeout, !sent};
    case ExchangeResult::InvalidStatus:
        return {ResultCode::UpstreamStatusInvalid, false};
    default:
        return {ResultCode::UpstreamIncomplete, !sent};
    }
}

asio::awaitable<ExchangeResult> readServiceAnswer(UpstreamExchange &exchange, std::string_view requestId, AnswerReservation &reservation, ServiceAnswer &answer)
{
    auto result = co_await exchange.readHeader();
    if (result == ExchangeResult::Ok && answersAnother(exchange.header(), requestId)) {
        exchange.abort();
        co_return ExchangeResult::Broken;
    }
    if (result == ExchangeResult::Ok) {
        answer.status = exchange.header().result_int();
        // Taken before the body, since the parser adds the fields of a trailer to the header.
        answer.headers = answerHeaders(exchange.header());
    }
    while (result == ExchangeResult::Ok && !exchange.ended() && reservation.resize(answer.body.size())) {
        result = co_await exchange.readSome(answer.body);
    }
    if (result == ExchangeResult::Ok && !exchange.complete()) {
        result = ExchangeResult::Broken;
    }
    co_return result;
}

} // namespace internal

ServiceExchange::ServiceExchange(std::shared_ptr<PathContext> context, const asio::any_io_executor &strand, ServiceCallPlan plan)
    : m_context(std::move(context)), m_strand(strand), m_plan(std::move(plan))
{
}

asio::awaitable<ServiceOutcome> ServiceExchange::run()
{
    const auto self = shared_from_this();
    const auto &target = std::get<ServiceCall>(m_plan.grant.target).target;
    ServiceOutcome outcome = ServiceFailure{ResultCode::NoUpstream, true};
    int sends = 0;
    for (const auto *upstream : m_context->services.order(target, *m_plan.grant.configuration)) {
        const bool sentBefore = m_sent;
        outcome = co_await tryUpstream(*upstream);
        sends += m_sent && !sentBefore ? 1 : 0;
        const auto *failure = std::get_if<ServiceFailure>(&outcome);
        if (failure == nullptr || m_aborted || (m_sent && (!target.repeatable || sends >= internal::maxServiceSends))) {
            break;
        }
        m_context->counters->addRetry(failure->code == ResultCode::UpstreamUnreachable ? RetryReason::ConnectFailed : RetryReason::AnswerIncomplete);
    }
    co_return outcome;
}

asio::awaitable<ServiceOutcome> ServiceExchange::tryUpstream(const Upstream &upstream)
{
    const auto endpoint = endpointOf(upstream.address, upstream.port);
    if (!endpoint) {
        co_return ServiceFailure{ResultCode::UpstreamUnreachable, !m_sent};
    }
    const auto &target = std::get<ServiceCall>(m_plan.grant.target).target;
    const ExchangeTimes times{m_context->settings.upstream.tcpConnectTimeout, m_plan.grant.timeout};
    UpstreamExchange exchange(m_context->pool, m_strand, {{upstream.id, *endpoint}, m_plan.id}, times);
    m_exchange = &exchange;
    m_plan.request.set(http::field::host, upstream.address);
    m_context->services.begin(upstream.id);
    ServiceAnswer answer;
    // A call that may not be repeated takes a fresh connection: on an idle one it could meet the upstream's closing it.
    auto result = co_await exchange.send(m_plan.request, !target.repeatable);
    if (result == ExchangeResult::Ok) {
        AnswerReservation reservation(m_context->answers, m_context->settings.limits.responseBytes);
        result = co_await internal::readServiceAnswer(exchange, m_plan.request[requestIdHeader], reservation, answer);
    }
    m_sent = m_sent || exchange.sent();
    m_exchange = nullptr;
    m_context->services.end(upstream.id);
    exchange.finish();
    if (result == ExchangeResult::Ok) {
        co_return answer;
    }
    logEvent(LogLevel::Warning, "http:", m_plan.id, "call of service upstream " + upstream.id + " failed");
    co_return internal::serviceFailure(result, m_sent);
}

void ServiceExchange::abort()
{
    m_aborted = true;
    if (m_exchange != nullptr) {
        m_exchange->abort();
    }
}

namespace internal {

// Runs the call, through the gate if it may run only once, and posts the outcome.
asio::awaitable<void> runServiceCall(std::shared_ptr<PathContext> context,
                                     std::shared_ptr<ServiceExchange> exchange,
                                     std::shared_ptr<Mailbox> mailbox,
                                     std::shared_ptr<OnceServiceCall> once)
{
    ServiceOutcome outcome;
    if (once) {
        once->run = [exchange] { return exchange->run(); };
        auto call = std::move(*once);
        outcome = co_await context->hooks.once(std::move(call));
    } else {
        outcome = co_await exchange->run();
    }
    mailbox->deliver(std::move(outcome));
}

asio::awaitable<void> sendOutcome(PathContext &context, CallerAnswer &answer, const ServiceOutcome &outcome)
{
    if (const auto *whole = std::get_if<ServiceAnswer>(&outcome)) {
        const bool written = co_await answer.sendWhole(*whole);
        context.counters->add(written ? CounterId::RequestsCompleted : CounterId::RequestsAbandonedByCaller);
        co_return;
    }
    const auto &failure = std::get<ServiceFailure>(outcome);
    ErrorReply reply;
    reply.code = failure.code;
    reply.notRun = failure.notRun;
    std::ignore = co_await answer.sendError(std::move(reply));
}

// Waits for the outcome or for what ends the wait; empty if the caller is gone.
asio::awaitable<std::optional<ServiceOutcome>> awaitOutcome(Mailbox &mailbox)
{
    while (true) {
        auto event = co_await mailbox.next(SteadyTime::max());
        if (auto *outcome = std::get_if<ServiceOutcome>(&event)) {
            co_return std::move(*outcome);
        }
        if (std::holds_alternative<CallerGone>(event)) {
            co_return std::nullopt;
        }
        if (std::holds_alternative<KeyClosed>(event)) {
            co_return ServiceFailure{ResultCode::KeyWithdrawn, false};
        }
        if (std::holds_alternative<HostEnding>(event)) {
            co_return ServiceFailure{ResultCode::HostStopping, false};
        }
    }
}

} // namespace internal

asio::awaitable<void>
serveCall(std::shared_ptr<PathContext> context, asio::any_io_executor strand, CallerAnswer &answer, std::shared_ptr<Mailbox> mailbox, ServiceCallPlan plan)
{
    const bool repeatable = std::get<ServiceCall>(plan.grant.target).target.repeatable;
    std::shared_ptr<OnceServiceCall> once;
    if (!repeatable) {
        if (plan.idempotencyKey.empty() || !context->hooks.once) {
            const ServiceOutcome refusal = ServiceFailure{plan.idempotencyKey.empty() ? ResultCode::OnceKeyMissing : ResultCode::OnceStoreUnavailable, true};
            co_await internal::sendOutcome(*context, answer, refusal);
            co_return;
        }
        // The method and the path are part of what must not differ under one idempotency key.
        const auto whole = std::string(plan.request.method_string()) + " " + std::string(plan.request.target()) + "\n" + plan.request.body();
        once = std::make_shared<OnceServiceCall>(OnceServiceCall{plan.grant.team->id, plan.idempotencyKey, context->hasher.digest(whole), plan.id, {}});
    }
    auto exchange = std::make_shared<ServiceExchange>(context, strand, std::move(plan));
    asio::co_spawn(
        strand, [context, exchange, mailbox, once] { return internal::runServiceCall(context, exchange, mailbox, once); }, asio::detached);
    const auto outcome = co_await internal::awaitOutcome(*mailbox);
    if (repeatable) {
        exchange->abort();
    }
    if (outcome) {
        co_await internal::sendOutcome(*context, answer, *outcome);
    } else {
        context->counters->add(CounterId::RequestsAbandonedByCaller);
        answer.closeAfterwards();
    }
}

} // namespace guavafield
