// Events of a request for a model.
#include <guavafield/transport/http/forwarding/model_request.hpp>

#include <guavafield/coordination/table/table.hpp>
#include <guavafield/protocol/chat/sse.hpp>
#include <guavafield/transport/http/headers.hpp>
#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/log/log.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace guavafield {

namespace http = boost::beast::http;

ModelRequest::ModelRequest(std::shared_ptr<PathContext> context,
                           const boost::asio::any_io_executor &strand,
                           CallerAnswer &answer,
                           std::shared_ptr<Mailbox> mailbox,
                           ModelRequestPlan plan)
    : m_context(std::move(context))
    , m_strand(strand)
    , m_answer(&answer)
    , m_mailbox(std::move(mailbox))
    , m_plan(std::move(plan))
    , m_promptTokens(estimateTokens(m_plan.chat.prompt.size()))
{
}

RequestInfo ModelRequest::requestInfo() const
{
    const auto &team = *m_plan.grant.team;
    const auto &requestClass = *m_plan.grant.requestClass;
    RequestInfo info;
    info.id = m_plan.id;
    info.team = team.id;
    info.className = requestClass.name;
    info.model = m_plan.chat.model;
    info.tier = requestClass.tier;
    info.firstTokenTarget = requestClass.firstTokenTarget;
    info.totalTarget = requestClass.totalTarget;
    info.share = team.contract.share;
    info.promptTokens = m_promptTokens;
    info.maxOutputTokens = m_plan.chat.maxOutputTokens;
    info.repeatable = true;
    info.resumable = m_plan.chat.resumable;
    info.prefixHashes = prefixHashes(m_plan.chat.prompt);
    info.fingerprint = m_plan.fingerprint;
    return info;
}

boost::asio::awaitable<void> ModelRequest::run()
{
    const auto admission = m_context->driver->submit(requestInfo(), m_mailbox);
    if (const auto *refusal = std::get_if<Refused>(&admission)) {
        co_await finishWith(refusal->code, refusal->retryAfter);
        co_return;
    }
    while (!m_over) {
        auto event = co_await m_mailbox->next(m_plan.deadline);
        auto handled = std::visit([this](auto &it) { return on(it); }, event);
        co_await std::move(handled);
    }
    m_context->driver->forget(m_plan.id);
    reportUsage();
}

ModelRequest::Awaitable ModelRequest::on(SchedulerAction &action)
{
    if (const auto *dispatch = std::get_if<DispatchAction>(&action)) {
        co_await startAttempt(dispatch->upstream, dispatch->enginePriority);
    } else if (const auto *hedge = std::get_if<HedgeAction>(&action)) {
        // A hedge that arrives after the first token has lost already.
        if (m_winner == 0) {
            co_await startAttempt(hedge->upstream, hedge->enginePriority);
        }
    } else if (const auto *preemption = std::get_if<PreemptAction>(&action)) {
        preempt(*preemption);
    } else if (const auto *shed = std::get_if<ShedAction>(&action)) {
        co_await finishWith(shed->refusal.code, shed->refusal.retryAfter);
    }
}

ModelRequest::Awaitable ModelRequest::startAttempt(UpstreamId upstream, std::uint8_t priority)
{
    const auto configuration = m_context->currentConfiguration();
    const auto it = configuration->upstreams.find(upstream);
    const auto endpoint = it == configuration->upstreams.end() ? std::nullopt : endpointOf(it->second.address, it->second.port);
    AttemptPlan plan;
    plan.number = m_nextAttempt++;
    plan.upstream = std::move(upstream);
    plan.stream = m_plan.chat.stream;
    plan.endpoint = endpoint.value_or(UpstreamEndpoint{});
    const ResumePoint resume{m_plan.id, m_sequence.tokens(), m_sequence.text()};
    plan.request.method(http::verb::post);
    plan.request.target(std::string(pathOf(m_plan.chat.endpoint)));
    for (const auto &field : m_plan.headers) {
        plan.request.insert(field.name_string(), field.value());
    }
    plan.request.set(http::field::host, it == configuration->upstreams.end() ? std::string() : it->second.address);
    plan.request.set(http::field::content_type, "application/json");
    plan.request.set(requestIdHeader, m_plan.id);
    plan.request.body() = formatEngineBody(m_plan.chat, priority, &resume);
    plan.request.prepare_payload();
    m_sequence.beginAttempt();
    auto engine = std::make_shared<EngineAttempt>(m_context, m_strand, m_mailbox, std::move(plan));
    m_attempts.push_back({engine, {}});
    if (endpoint) {
        engine->start();
        co_return;
    }
    co_await failAttempt(engine, AttemptFailed{ResultCode::UpstreamUnreachable, RetryReason::ConnectFailed, false, false});
}

void ModelRequest::preempt(const PreemptAction &action)
{
    const auto it = std::ranges::find_if(m_attempts, [&](const Attempt &attempt) { return attempt.engine->upstream() == action.upstream; });
    if (it != m_attempts.end()) {
        it->engine->cancel();
        removeAttempt(it->engine->number());
    }
}

ModelRequest::Awaitable ModelRequest::on(AnswerStarted &event)
{
    const auto *attempt = findAttempt(event.attempt);
    const bool whole = !m_plan.chat.stream || event.status != 200;
    if (attempt != nullptr && whole && m_winner == 0) {
        std::ignore = chooseWinner(attempt->engine);
    }
    co_return;
}

ModelRequest::Awaitable ModelRequest::on(AnswerStalled & /*event*/)
{
    // Attempts on engines end by themselves when they stall.
    co_return;
}

ModelRequest::Awaitable ModelRequest::on(AnswerHead & /*event*/)
{
    co_return;
}

ModelRequest::Awaitable ModelRequest::on(AnswerEvents &event)
{
    auto *attempt = findAttempt(event.attempt);
    if (attempt == nullptr) {
        co_return;
    }
    if (m_winner == 0 && !holdsToken(event.events)) {
        std::ranges::move(event.events, std::back_inserter(attempt->held));
        attempt->engine->readOn();
        co_return;
    }
    const auto engine = attempt->engine;
    auto events = std::exchange(attempt->held, {});
    std::ranges::move(event.events, std::back_inserter(events));
    if (m_winner == 0 && !chooseWinner(engine)) {
        co_await failAttempt(engine, AttemptFailed{ResultCode::UpstreamFailed, RetryReason::AnswerIncomplete, false, false});
        co_return;
    }
    co_await relay(engine, std::move(events));
}

ModelRequest::Awaitable ModelRequest::relay(std::shared_ptr<EngineAttempt> engine, std::vector<std::string> events)
{
    const auto batch = checkEvents(events);
    if (!batch.text.empty()) {
        bool written = true;
        if (!m_answer->started()) {
            written = co_await m_answer->beginStream();
        }
        if (written) {
            written = co_await m_answer->sendEvents(batch.text);
        }
        if (!written) {
            m_context->counters->add(CounterId::OutputTokensWasted, batch.tokens);
            CallerGone gone;
            co_await on(gone);
            co_return;
        }
        countDelivered(batch.tokens);
        if (batch.tokens > 0) {
            m_context->driver->onTokens(m_plan.id, batch.tokens);
        }
    }
    if (batch.valid) {
        engine->readOn();
    } else {
        co_await failAttempt(engine, AttemptFailed{batch.fault, RetryReason::AnswerIncomplete, false, false});
    }
}

ModelRequest::Batch ModelRequest::checkEvents(const std::vector<std::string> &events)
{
    Batch batch;
    const auto before = m_sequence.tokens();
    for (const auto &it : events) {
        const auto chunk = capture([&] { return parseStreamChunk(it); });
        if (!chunk || chunk.value->error) {
            batch.valid = false;
            batch.fault = ResultCode::UpstreamFailed;
            break;
        }
        const auto verdict = m_sequence.accept(*chunk.value);
        if (verdict == TokenSequence::Verdict::OutOfSequence) {
            batch.valid = false;
            break;
        }
        if (verdict == TokenSequence::Verdict::Deliver) {
            appendSseEvent(batch.text, it);
        }
    }
    batch.tokens = m_sequence.tokens() - before;
    return batch;
}

bool ModelRequest::holdsToken(const std::vector<std::string> &events) const
{
    return std::ranges::any_of(events, [](const std::string &it) {
        const auto chunk = capture([&] { return parseStreamChunk(it); });
        return !chunk || chunk.value->error || chunk.value->index || !chunk.value->text.empty();
    });
}

ModelRequest::Awaitable ModelRequest::on(AnswerCompleted &event)
{
    auto *attempt = findAttempt(event.attempt);
    if (attempt == nullptr) {
        co_return;
    }
    const auto engine = attempt->engine;
    if (m_answer->started() && event.status != 200) {
        // The engine does not accept the resumed part; its error is no continuation of the stream.
        co_await failAttempt(engine, AttemptFailed{ResultCode::UpstreamFailed, RetryReason::UpstreamError, false, false});
        co_return;
    }
    if (!m_plan.chat.stream || event.status != 200) {
        co_await sendWhole(event);
        complete(engine);
        co_return;
    }
    if (m_winner == 0) {
        // An answer without a token is whole too.
        auto held = std::exchange(attempt->held, {});
        if (!chooseWinner(engine)) {
            co_await failAttempt(engine, AttemptFailed{ResultCode::UpstreamFailed, RetryReason::AnswerIncomplete, false, false});
            co_return;
        }
        co_await relay(engine, std::move(held));
    }
    if (m_over || findAttempt(event.attempt) == nullptr) {
        co_return;
    }
    bool written = true;
    if (!m_answer->started()) {
        written = co_await m_answer->beginStream();
    }
    if (written) {
        written = co_await m_answer->endStream();
    }
    m_context->counters->add(written ? CounterId::RequestsCompleted : CounterId::RequestsAbandonedByCaller);
    complete(engine);
}

ModelRequest::Awaitable ModelRequest::sendWhole(AnswerCompleted &event)
{
    const bool success = event.status < 400;
    const auto tokens = success ? outputTokensOf(event.body) : 0;
    m_context->driver->onTokens(m_plan.id, tokens);
    ServiceAnswer answer;
    answer.status = event.status;
    if (!event.contentType.empty()) {
        answer.headers.emplace_back("Content-Type", std::move(event.contentType));
    }
    answer.body = std::move(event.body);
    const bool written = co_await m_answer->sendWhole(answer);
    m_context->counters->add(written ? CounterId::RequestsCompleted : CounterId::RequestsAbandonedByCaller);
    if (written && success) {
        countDelivered(tokens);
    } else {
        m_context->counters->add(CounterId::OutputTokensWasted, tokens);
    }
}

ModelRequest::Awaitable ModelRequest::on(AnswerFailed &event)
{
    if (const auto *attempt = findAttempt(event.attempt)) {
        const auto engine = attempt->engine;
        co_await failAttempt(engine, event.failure);
    }
}

ModelRequest::Awaitable ModelRequest::failAttempt(std::shared_ptr<EngineAttempt> engine, AttemptFailed failure)
{
    failure.answerStarted = m_answer->started();
    engine->cancel();
    removeAttempt(engine->number());
    const auto verdict = m_context->driver->onAttemptEnded(m_plan.id, engine->upstream(), failure);
    // While a hedged attempt runs, or one that has been ordered, the end of this one decides nothing.
    if (!m_attempts.empty() || std::holds_alternative<RetryQueued>(verdict)) {
        co_return;
    }
    const auto *refusal = std::get_if<Refused>(&verdict);
    co_await finishWith(refusal != nullptr ? refusal->code : failure.code, refusal != nullptr ? std::optional(refusal->retryAfter) : std::nullopt);
}

ModelRequest::Awaitable ModelRequest::on(ServiceOutcome & /*event*/)
{
    co_return;
}

ModelRequest::Awaitable ModelRequest::on(CallerGone & /*event*/)
{
    m_context->counters->add(CounterId::RequestsAbandonedByCaller);
    m_answer->closeAfterwards();
    abandon();
    m_over = true;
    co_return;
}

ModelRequest::Awaitable ModelRequest::on(KeyClosed & /*event*/)
{
    if (m_answer->started()) {
        m_context->counters->add(CounterId::StreamsClosedByWithdrawal);
    }
    abandon();
    co_await finishWith(ResultCode::KeyWithdrawn);
}

ModelRequest::Awaitable ModelRequest::on(HostEnding & /*event*/)
{
    abandon();
    co_await finishWith(ResultCode::HostStopping);
}

ModelRequest::Awaitable ModelRequest::on(DeadlineReached & /*event*/)
{
    abandon();
    co_await finishWith(ResultCode::UpstreamTimeout);
}

ModelRequest::Awaitable ModelRequest::finishWith(ResultCode code, std::optional<Milliseconds> retryAfter)
{
    m_over = true;
    ErrorReply reply;
    reply.code = code;
    reply.notRun = !m_sent;
    reply.retryAfter = retryAfter;
    const bool written = co_await m_answer->sendError(std::move(reply));
    if (!written) {
        m_answer->closeAfterwards();
    }
}

bool ModelRequest::chooseWinner(const std::shared_ptr<EngineAttempt> &engine)
{
    if (!m_context->driver->onFirstToken(m_plan.id, engine->upstream())) {
        return false;
    }
    m_winner = engine->number();
    std::vector<std::shared_ptr<EngineAttempt>> losers;
    for (const auto &it : m_attempts) {
        if (it.engine != engine) {
            losers.push_back(it.engine);
        }
    }
    for (const auto &it : losers) {
        it->cancel();
        removeAttempt(it->number());
    }
    return true;
}

ModelRequest::Attempt *ModelRequest::findAttempt(std::uint32_t number)
{
    const auto it = std::ranges::find_if(m_attempts, [&](const Attempt &attempt) { return attempt.engine->number() == number; });
    return it == m_attempts.end() ? nullptr : &*it;
}

void ModelRequest::removeAttempt(std::uint32_t number)
{
    if (const auto *attempt = findAttempt(number)) {
        m_sent = m_sent || attempt->engine->sent();
    }
    std::erase_if(m_attempts, [&](const Attempt &attempt) { return attempt.engine->number() == number; });
    if (m_winner == number) {
        m_winner = 0;
    }
}

void ModelRequest::abandon()
{
    m_context->driver->abandon(m_plan.id);
    while (!m_attempts.empty()) {
        const auto engine = m_attempts.back().engine;
        engine->cancel();
        removeAttempt(engine->number());
    }
}

void ModelRequest::complete(const std::shared_ptr<EngineAttempt> &engine)
{
    std::ignore = m_context->driver->onAttemptEnded(m_plan.id, engine->upstream(), AttemptCompleted{});
    m_over = true;
}

void ModelRequest::countDelivered(std::uint32_t tokens)
{
    m_answered = true;
    m_deliveredTokens += tokens;
    m_context->counters->add(CounterId::OutputTokensDelivered, tokens);
}

void ModelRequest::reportUsage()
{
    if (m_answered && m_context->hooks.usage) {
        m_context->hooks.usage({m_plan.grant.team->id, m_plan.grant.requestClass->name, m_plan.chat.model, m_promptTokens, m_deliveredTokens});
    }
}

} // namespace guavafield
