// Events of a request that is passed on unchanged.
#include <guavafield/transport/http/forwarding/forward_request.hpp>

#include <guavafield/coordination/table/table.hpp>
#include <guavafield/transport/http/forwarding/event_splitter.hpp>
#include <guavafield/transport/http/forwarding/relay_headers.hpp>
#include <guavafield/transport/http/headers.hpp>
#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/log/log.hpp>
#include <guavafield/transport/peer/endpoints.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace guavafield {

namespace internal {

// Hosts that are asked in turn while each proves that it has not run the request.
constexpr std::size_t maxRelays = 2;

bool isEventStream(const ServiceAnswer &head)
{
    const auto it = std::ranges::find_if(head.headers, [](const auto &header) { return boost::beast::iequals(header.first, "Content-Type"); });
    return head.status == 200 && it != head.headers.end() && guavafield::isEventStream(it->second);
}

bool leadsToSeveralPools(const PoolTarget &target)
{
    return std::ranges::count_if(target.pools, [](const PoolShare &it) { return it.weight > 0; }) > 1;
}

} // namespace internal

ForwardRequest::ForwardRequest(
    std::shared_ptr<PathContext> context, const boost::asio::any_io_executor &strand, CallerAnswer &answer, std::shared_ptr<Mailbox> mailbox, ForwardPlan plan)
    : m_context(std::move(context))
    , m_strand(strand)
    , m_answer(&answer)
    , m_mailbox(std::move(mailbox))
    , m_plan(std::move(plan))
    , m_call(std::get<ForwardCall>(m_plan.grant.target))
    , m_deadline(m_plan.received + std::min(m_plan.grant.timeout, m_call.envelope.deadline.value_or(m_plan.grant.timeout)))
    , m_events(m_call.envelope.lastEventId)
{
}

Milliseconds ForwardRequest::timeLeft() const
{
    const auto left = std::chrono::duration_cast<Milliseconds>(m_deadline - std::chrono::steady_clock::now());
    return std::max(left, Milliseconds{1});
}

RequestInfo ForwardRequest::requestInfo() const
{
    const auto &envelope = m_call.envelope;
    RequestInfo info;
    info.id = m_plan.id;
    info.team = m_plan.grant.team != nullptr ? m_plan.grant.team->id : TeamId();
    // Retries are bounded by pool.
    info.className = m_call.pool;
    info.kind = m_call.route;
    info.model = m_call.pool;
    info.tier = static_cast<Tier>(std::min<std::uint32_t>(m_call.enginePriority, tierCount - 1));
    info.firstTokenTarget = m_call.target.target;
    info.totalTarget = timeLeft();
    info.gapTarget = m_call.target.gapTarget;
    info.promptTokens = envelope.promptTokens;
    info.maxOutputTokens = envelope.maxOutputTokens;
    info.repeatable = m_call.target.repeat != Repeat::Never;
    info.resumable = m_call.target.repeat == Repeat::Resume;
    info.prefixHashes = envelope.prefixHashes;
    info.prefixTokens = envelope.prefixTokens;
    info.sharedParts = envelope.sharedParts;
    info.fingerprint = m_plan.fingerprint;
    info.enginePriority = m_call.enginePriority;
    info.maxAttempts = m_plan.relayed ? relayedAttempts(m_plan.headers, m_call.target.maxAttempts) : m_call.target.maxAttempts;
    info.origin = m_origin;
    info.relayed = m_plan.relayed;
    info.homes = m_call.homes;
    return info;
}

bool ForwardRequest::needsOrigin() const
{
    return m_context->hooks.streams.find && m_call.target.stream && m_call.target.repeat == Repeat::Resume && m_call.envelope.lastEventId;
}

boost::asio::awaitable<bool> ForwardRequest::findOrigin()
{
    StreamTakeUp takeUp;
    takeUp.attempt = m_call.envelope.id;
    takeUp.resumes = m_call.envelope.resumes;
    takeUp.pool = m_call.pool;
    takeUp.split = internal::leadsToSeveralPools(m_call.target);
    takeUp.timeLeft = timeLeft();
    auto search = m_context->hooks.streams.find(std::move(takeUp));
    auto origin = co_await std::move(search);
    const auto fits = [&](const PoolShare &it) { return it.pool == origin->pool && it.weight > 0; };
    if (!origin || std::ranges::none_of(m_call.target.pools, fits)) {
        co_return false;
    }
    std::get<ForwardCall>(m_plan.grant.target).pool = origin->pool;
    m_origin = std::move(origin->version);
    co_return true;
}

void ForwardRequest::tellBeginning()
{
    const bool begins = !m_relay && m_call.target.stream && m_call.target.repeat == Repeat::Resume && !m_call.envelope.lastEventId;
    if (!begins || !m_beginning || !m_context->hooks.streams.began) {
        return;
    }
    const auto configuration = m_context->currentConfiguration();
    const auto it = configuration->upstreams.find(m_beginning->upstream);
    const bool listed = it != configuration->upstreams.end();
    m_beginning->identified = m_attempt->identified();
    m_beginning->certain = m_beginning->certain || m_beginning->identified;
    if (!m_beginning->identified && listed && it->second.incarnation != m_beginning->incarnation && it->second.softwareVersion != m_beginning->origin.version) {
        // Either process of the upstream may have written the event.
        return;
    }
    m_beginning->sinceDispatch = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - m_dispatched);
    m_context->hooks.streams.began(*m_beginning);
}

AttemptFacts ForwardRequest::attemptFacts() const
{
    return {m_nextAttempt, timeLeft(), m_events.last()};
}

boost::asio::awaitable<void> ForwardRequest::run()
{
    if (needsOrigin()) {
        const bool found = co_await findOrigin();
        if (!found) {
            co_await finishWith(ResultCode::StreamOriginUnknown);
            co_return;
        }
    }
    const auto admission = m_context->driver->submit(requestInfo(), m_mailbox);
    if (const auto *refusal = std::get_if<Refused>(&admission)) {
        co_await finishWith(refusal->code, refusal->retryAfter);
        co_return;
    }
    while (!m_over) {
        auto event = co_await m_mailbox->next(m_deadline + answerGrace);
        auto handled = std::visit([this](auto &it) { return on(it); }, event);
        co_await std::move(handled);
    }
    endRelay();
    m_context->driver->forget(m_plan.id);
}

ForwardRequest::Awaitable ForwardRequest::on(SchedulerAction &action)
{
    if (const auto *dispatch = std::get_if<DispatchAction>(&action)) {
        co_await startAttempt(*dispatch);
    } else if (const auto *preemption = std::get_if<PreemptAction>(&action)) {
        if (m_attempt && m_attempt->upstream() == preemption->upstream) {
            m_mayHaveRun = m_mayHaveRun || m_attempt->sent();
            endAttempt();
        }
    } else if (const auto *shed = std::get_if<ShedAction>(&action)) {
        co_await finishWith(shed->refusal.code, shed->refusal.retryAfter);
    } else if (const auto *relay = std::get_if<RelayAction>(&action)) {
        m_relayAttempts = relay->attemptsLeft;
        startRelay(relay->target);
    }
}

ForwardRequest::Awaitable ForwardRequest::startAttempt(const DispatchAction &dispatch)
{
    const auto configuration = m_context->currentConfiguration();
    const auto it = configuration->upstreams.find(dispatch.upstream);
    m_lastUpstream = dispatch.upstream;
    if (it == configuration->upstreams.end()) {
        // It has left since the scheduler chose it.
        AttemptFailed failure{ResultCode::UpstreamUnreachable, RetryReason::UpstreamReclaimed};
        failure.notExecuted = true;
        co_await failAttempt(failure);
        co_return;
    }
    m_dispatched = std::chrono::steady_clock::now();
    const StreamOrigin origin{m_call.pool, dispatch.softwareVersion};
    m_beginning = StreamBeginning{m_call.envelope.id, origin, dispatch.upstream, dispatch.incarnation, {}, internal::leadsToSeveralPools(m_call.target)};
    m_beginning->certain = !dispatch.anyProcess && it->second.softwareVersion == dispatch.softwareVersion;
    auto plan = makeAttemptPlan(*m_context, m_plan, attemptFacts(), *configuration, dispatch, it->second);
    ++m_nextAttempt;
    std::string text = "dispatched, upstream=" + dispatch.upstream + " pool=" + m_call.pool + " route=" + m_call.route;
    text += " team=" + (m_plan.grant.team != nullptr ? m_plan.grant.team->id : std::string("-"));
    text += " attempt=" + std::to_string(plan.number) + " priority=" + std::to_string(dispatch.enginePriority);
    text += " expected_ms=" + std::to_string(dispatch.expected.count()) + " left_ms=" + std::to_string(timeLeft().count());
    text += " fetch_from=" + (dispatch.fetchFrom.empty() ? std::string("-") : dispatch.fetchFrom);
    text += " rate_limit=" + formatRate(dispatch.rateLimit);
    text += " version=" + (dispatch.softwareVersion.empty() ? std::string("-") : dispatch.softwareVersion);
    text += " incarnation=" + (dispatch.anyProcess ? std::string("any") : std::to_string(dispatch.incarnation));
    text += " resumes=" + (m_call.envelope.resumes.empty() ? std::string("-") : m_call.envelope.resumes);
    text += " after_event=" + (m_events.last() ? std::to_string(*m_events.last()) : std::string("-"));
    text += " configuration=" + std::to_string(m_plan.grant.configuration->revision);
    const auto age = m_context->upstreamsAge.since(std::chrono::steady_clock::now());
    text += " upstreams_version=" + std::to_string(configuration->upstreamsVersion);
    text += " upstreams_age_ms=" + (age ? std::to_string(age->count()) : std::string("-"));
    logEvent(LogLevel::Info, "http:", m_call.envelope.id, text);
    m_counted = false;
    m_firstTokenTold = false;
    m_events.beginRun();
    m_attempt = std::make_shared<ForwardAttempt>(m_context, m_strand, m_mailbox, std::move(plan));
    m_attempt->start();
}

void ForwardRequest::startRelay(const RelayTarget &target)
{
    endAttempt();
    m_relay = target.host;
    m_context->driver->onRelayStarted(target.host);
    m_relays.push_back(target.host);
    m_lastUpstream = target.host;
    m_dispatched = std::chrono::steady_clock::now();
    auto plan = makeRelayPlan(*m_context, m_plan, attemptFacts(), target, m_relayAttempts);
    ++m_nextAttempt;
    std::string text = "relayed, host=" + target.host + " address=" + formatAddress(target.callers) + " pool=" + m_call.pool;
    text += " attempt=" + std::to_string(plan.number) + " left_ms=" + std::to_string(timeLeft().count());
    text += " after_event=" + (m_events.last() ? std::to_string(*m_events.last()) : std::string("-"));
    text += " configuration=" + std::to_string(m_plan.grant.configuration->revision);
    text += " report_age_ms=" + std::to_string(target.reportAge.count());
    logEvent(LogLevel::Info, "http:", m_call.envelope.id, text);
    m_events.beginRun();
    m_attempt = std::make_shared<ForwardAttempt>(m_context, m_strand, m_mailbox, std::move(plan));
    m_attempt->start();
}

bool ForwardRequest::relayAgain()
{
    // How many attempts a host that broke off has made is not known.
    if (m_relayMayHaveRun || m_relays.size() >= internal::maxRelays) {
        return false;
    }
    const auto target = m_context->driver->nextRelayTarget(m_call.pool, m_call.homes, m_relays);
    if (target) {
        startRelay(*target);
    }
    return target.has_value();
}

ForwardRequest::Awaitable ForwardRequest::failRelay(const AttemptFailed &failure)
{
    m_context->counters->add(CounterId::RelaysFailed);
    if (failure.reason == RetryReason::ConnectFailed && m_relay) {
        m_context->driver->onRelayUnreachable(*m_relay);
    }
    endAttempt();
    if (!relayAgain()) {
        co_await finishWith(failure.code);
    }
}

ForwardRequest::Awaitable ForwardRequest::on(AnswerHead &event)
{
    if (!m_attempt || m_attempt->number() != event.attempt) {
        co_return;
    }
    m_head.status = event.status;
    m_head.headers = std::move(event.headers);
    if (m_attempt->identified()) {
        m_context->driver->onProcessIdentified(m_plan.id, m_attempt->upstream());
    }
    if (m_plan.relayed) {
        m_head.headers.emplace_back(relayUpstreamHeader, m_attempt->upstream());
    }
    // An upstream's own error is the end of a run, also of a stream that has sent nothing.
    if (!m_call.target.stream || m_head.status >= 500) {
        countStarted();
    }
    if (m_answer->started() && !internal::isEventStream(m_head)) {
        // An error is no continuation of a stream.
        AttemptFailed failure{ResultCode::UpstreamFailed, RetryReason::UpstreamError};
        co_await failAttempt(failure);
        co_return;
    }
    if (!m_call.target.stream) {
        if (!m_relay) {
            std::ignore = m_context->driver->onFirstToken(m_plan.id, m_attempt->upstream());
        }
        m_firstEventAt = std::chrono::steady_clock::now();
    }
}

ForwardRequest::Awaitable ForwardRequest::on(AnswerEvents &event)
{
    if (!m_attempt || m_attempt->number() != event.attempt) {
        co_return;
    }
    countStarted();
    if (!m_relay && !std::exchange(m_firstTokenTold, true) && !m_context->driver->onFirstToken(m_plan.id, m_attempt->upstream())) {
        AttemptFailed failure{ResultCode::UpstreamFailed, RetryReason::AnswerIncomplete};
        co_await failAttempt(failure);
        co_return;
    }
    std::string text;
    std::uint32_t count = 0;
    const bool valid = takeEvents(event.events, text, count);
    if (!text.empty()) {
        const auto now = std::chrono::steady_clock::now();
        m_longestPause = m_firstEventAt ? std::max(m_longestPause, std::chrono::duration_cast<Milliseconds>(now - m_lastEventAt)) : Milliseconds{0};
        m_lastEventAt = now;
        if (!m_firstEventAt) {
            tellBeginning();
        }
        m_firstEventAt = m_firstEventAt.value_or(now);
        if (!m_relay) {
            m_context->driver->onTokens(m_plan.id, count);
        }
        bool written = true;
        if (!m_answer->started()) {
            written = co_await m_answer->beginStream(m_head);
        }
        if (written) {
            written = co_await m_answer->sendEvents(text);
        }
        if (!written) {
            CallerGone gone;
            co_await on(gone);
            co_return;
        }
    }
    if (valid) {
        m_attempt->readOn();
    } else {
        AttemptFailed failure{ResultCode::UpstreamOutOfSequence, RetryReason::AnswerIncomplete};
        co_await failAttempt(failure);
    }
}

bool ForwardRequest::takeEvents(const std::vector<std::string> &events, std::string &text, std::uint32_t &count)
{
    for (const auto &it : events) {
        const auto number = eventId(it);
        switch (m_events.take(number, hasData(it))) {
        case EventVerdict::Pass:
            text += it;
            ++count;
            break;
        case EventVerdict::Repeated:
            break;
        case EventVerdict::OutOfOrder:
            logOutOfOrder(number);
            return false;
        }
    }
    return true;
}

void ForwardRequest::logOutOfOrder(std::optional<std::uint64_t> number) const
{
    std::string text = "event out of order, upstream=" + m_lastUpstream + " number=" + (number ? std::to_string(*number) : std::string("-"));
    text += " last=" + (m_events.last() ? std::to_string(*m_events.last()) : std::string("-"));
    text += " attempt=" + std::to_string(m_attempt->number());
    logEvent(LogLevel::Warning, "http:", m_call.envelope.id, text);
}

bool ForwardRequest::worthRetrying(unsigned status) const
{
    return status >= 500 && m_call.target.repeat != Repeat::Never && timeLeft() > m_call.target.target / 2;
}

ForwardRequest::Awaitable ForwardRequest::on(AnswerCompleted &event)
{
    if (!m_attempt || m_attempt->number() != event.attempt) {
        co_return;
    }
    if (!m_call.target.stream || m_head.status >= 300) {
        co_await sendWhole(event);
        co_return;
    }
    if (!m_events.mayEnd()) {
        AttemptFailed failure{ResultCode::UpstreamOutOfSequence, RetryReason::AnswerIncomplete};
        co_await failAttempt(failure);
        co_return;
    }
    bool written = true;
    if (!m_answer->started()) {
        written = co_await m_answer->beginStream(m_head);
    }
    if (written) {
        written = co_await m_answer->endForwardedStream();
    }
    if (!m_relay) {
        std::ignore = m_context->driver->onAttemptEnded(m_plan.id, m_attempt->upstream(), AttemptCompleted{});
    }
    m_context->counters->add(written ? CounterId::RequestsCompleted : CounterId::RequestsAbandonedByCaller);
    m_over = true;
    logEnd(written ? "completed" : "caller gone", m_head.status, ResultCode::Ok);
}

ForwardRequest::Awaitable ForwardRequest::sendWhole(AnswerCompleted &event)
{
    m_head.body = std::move(event.body);
    if (m_relay) {
        const bool refused = promisesNotRun(m_head.status);
        if (refused && m_mayHaveRun) {
            // An earlier attempt may have run, so that the other host's promise does not hold for the request.
            AttemptFailed failure{ResultCode::UpstreamFailed, RetryReason::UpstreamError};
            failure.notExecuted = true;
            co_await failAttempt(failure);
            co_return;
        }
        if (refused && relayAgain()) {
            m_context->counters->add(CounterId::RelaysFailed);
            co_return;
        }
    } else if (worthRetrying(m_head.status)) {
        AttemptFailed failure{ResultCode::UpstreamFailed, RetryReason::UpstreamError};
        const auto verdict = m_context->driver->onAttemptEnded(m_plan.id, m_attempt->upstream(), failure);
        if (std::holds_alternative<RetryQueued>(verdict)) {
            m_mayHaveRun = true;
            endAttempt();
            co_return;
        }
    } else {
        std::ignore = m_context->driver->onAttemptEnded(m_plan.id, m_attempt->upstream(), AttemptCompleted{});
    }
    const bool written = co_await m_answer->sendWhole(m_head);
    m_context->counters->add(written ? CounterId::RequestsCompleted : CounterId::RequestsAbandonedByCaller);
    m_over = true;
    logEnd(written ? "completed" : "caller gone", m_head.status, ResultCode::Ok);
}

ForwardRequest::Awaitable ForwardRequest::on(AnswerFailed &event)
{
    if (m_attempt && m_attempt->number() == event.attempt) {
        co_await failAttempt(event.failure);
    }
}

ForwardRequest::Awaitable ForwardRequest::failAttempt(AttemptFailed failure)
{
    failure.answerStarted = m_answer->started();
    if (m_attempt) {
        m_mayHaveRun = m_mayHaveRun || (m_attempt->sent() && !failure.notExecuted);
        // The call of a plain service is taken to have begun where its answer is missing.
        if (!m_call.target.stream && m_attempt->sent() && !failure.notExecuted) {
            countStarted();
        }
        if (m_relay) {
            m_relayMayHaveRun = m_attempt->sent() && !failure.notExecuted;
            co_await failRelay(failure);
            co_return;
        }
        endAttempt();
    }
    const auto verdict = m_context->driver->onAttemptEnded(m_plan.id, m_lastUpstream, failure);
    if (std::holds_alternative<RetryQueued>(verdict)) {
        m_context->counters->addRetry(failure.reason);
        co_return;
    }
    const auto *refusal = std::get_if<Refused>(&verdict);
    co_await finishWith(refusal != nullptr ? refusal->code : failure.code, refusal != nullptr ? std::optional(refusal->retryAfter) : std::nullopt);
}

ForwardRequest::Awaitable ForwardRequest::on(CallerGone & /*event*/)
{
    m_context->counters->add(CounterId::RequestsAbandonedByCaller);
    m_answer->closeAfterwards();
    abandon();
    m_over = true;
    logEnd("caller gone", 0, ResultCode::Ok);
    co_return;
}

ForwardRequest::Awaitable ForwardRequest::on(HostEnding & /*event*/)
{
    abandon();
    co_await finishWith(ResultCode::HostStopping);
}

ForwardRequest::Awaitable ForwardRequest::on(DeadlineReached & /*event*/)
{
    abandon();
    co_await finishWith(ResultCode::UpstreamTimeout);
}

ForwardRequest::Awaitable ForwardRequest::on(AnswerStalled &event)
{
    if (!m_attempt || m_attempt->number() != event.attempt) {
        co_return;
    }
    // A slow stream that cannot go on elsewhere is better than none.
    if (!m_context->driver->mayMove(m_plan.id)) {
        logEvent(LogLevel::Info, "http:", m_call.envelope.id, "stalled stream kept, upstream=" + m_lastUpstream);
        co_return;
    }
    AttemptFailed failure{ResultCode::UpstreamTimeout, RetryReason::AnswerIncomplete};
    co_await failAttempt(failure);
}

ForwardRequest::Awaitable ForwardRequest::on(AnswerStarted & /*event*/)
{
    co_return;
}

ForwardRequest::Awaitable ForwardRequest::on(ServiceOutcome & /*event*/)
{
    co_return;
}

ForwardRequest::Awaitable ForwardRequest::on(KeyClosed & /*event*/)
{
    // A request that was let in before its key was withdrawn is finished.
    co_return;
}

ForwardRequest::Awaitable ForwardRequest::finishWith(ResultCode code, std::optional<Milliseconds> retryAfter)
{
    m_over = true;
    if (m_answer->started()) {
        m_context->counters->addRefusal(code);
        m_answer->breakOff();
        logEnd("broken off", m_head.status, code);
        co_return;
    }
    // The statuses of a refusal promise that the request was not run.
    const bool promise = describe(code).httpStatus == 503 || describe(code).httpStatus == 429;
    if (promise && m_mayHaveRun) {
        code = ResultCode::UpstreamFailed;
    } else if (!m_mayHaveRun && code == ResultCode::CrashSuspectRefused) {
        code = ResultCode::CrashSuspectNotRun;
    } else if (!promise && !m_mayHaveRun && code != ResultCode::UpstreamTimeout) {
        code = ResultCode::NoUpstream;
    }
    ErrorReply reply;
    reply.code = code;
    reply.notRun = !m_mayHaveRun;
    reply.retryAfter = m_mayHaveRun ? std::nullopt : retryAfter;
    const auto status = describe(code).httpStatus;
    const bool written = co_await m_answer->sendError(std::move(reply));
    if (!written) {
        m_answer->closeAfterwards();
    }
    logEnd(m_mayHaveRun ? "failed" : "refused", status, code);
}

void ForwardRequest::countStarted()
{
    if (!m_relay && !std::exchange(m_counted, true) && m_plan.grant.team != nullptr && m_context->hooks.started) {
        m_context->hooks.started(m_plan.grant.team->id);
    }
}

void ForwardRequest::endAttempt()
{
    if (m_attempt) {
        m_attempt->cancel();
        m_attempt.reset();
    }
    endRelay();
}

void ForwardRequest::endRelay()
{
    if (m_relay) {
        m_context->driver->onRelayEnded(*m_relay);
        m_relay.reset();
    }
}

void ForwardRequest::abandon()
{
    m_context->driver->abandon(m_plan.id);
    m_mayHaveRun = m_mayHaveRun || (m_attempt && m_attempt->sent());
    endAttempt();
}

void ForwardRequest::logEnd(std::string_view outcome, unsigned status, ResultCode code) const
{
    const auto now = std::chrono::steady_clock::now();
    const auto milliseconds = [&](SteadyTime at) { return std::to_string(std::chrono::duration_cast<Milliseconds>(at - m_plan.received).count()); };
    std::string text = "ended, outcome=\"" + std::string(outcome) + "\" status=" + std::to_string(status);
    text += " code=" + std::to_string(static_cast<unsigned>(code)) + " attempts=" + std::to_string(m_nextAttempt - 1);
    text += " upstream=" + (m_lastUpstream.empty() ? std::string("-") : m_lastUpstream);
    text += " first_ms=" + (m_firstEventAt ? milliseconds(*m_firstEventAt) : std::string("-")) + " total_ms=" + milliseconds(now);
    text += " pause_ms=" + std::to_string(m_longestPause.count());
    text += " executed=" + std::string(m_mayHaveRun || status == m_head.status ? "maybe" : "no");
    logEvent(LogLevel::Info, "http:", m_call.envelope.id, text);
    m_context->latencies.add(m_call.pool, m_firstEventAt ? std::optional(*m_firstEventAt - m_plan.received) : std::nullopt, now - m_plan.received);
}

} // namespace guavafield
