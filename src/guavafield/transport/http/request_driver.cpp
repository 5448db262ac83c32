// Steps of the scheduler and delivery of its actions.
#include <guavafield/transport/http/request_driver.hpp>

#include <guavafield/coordination/table/table.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <tuple>

namespace guavafield {

namespace internal {

const RequestId &requestOf(const SchedulerAction &action)
{
    return std::visit([](const auto &it) -> const RequestId & { return it.request; }, action);
}

} // namespace internal

RequestDriver::RequestDriver(const boost::asio::any_io_executor &executor, const Clock &clock, Counters &counters, SchedulerSettings settings)
    : m_strand(boost::asio::make_strand(executor)), m_timer(m_strand), m_clock(&clock), m_counters(&counters), m_scheduler(std::move(settings))
{
}

Admission RequestDriver::submit(RequestInfo request, std::shared_ptr<Mailbox> mailbox)
{
    return withScheduler([&](RequestScheduler &scheduler, SteadyTime now) {
        const auto id = request.id;
        auto admission = scheduler.submit(std::move(request), now);
        if (std::holds_alternative<Queued>(admission)) {
            m_entries[id] = Entry{std::move(mailbox), {}};
            m_counters->add(CounterId::RequestsQueued);
        }
        return admission;
    });
}

bool RequestDriver::onFirstToken(std::string_view request, std::string_view upstream)
{
    return withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { return scheduler.onFirstToken(request, upstream, now); });
}

void RequestDriver::onTokens(std::string_view request, std::uint32_t count)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.onTokens(request, count, now); });
}

void RequestDriver::onProcessIdentified(std::string_view request, std::string_view upstream)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime /*now*/) { scheduler.onProcessIdentified(request, upstream); });
}

void RequestDriver::onProcessReplaced(std::string_view upstream, Incarnation listed)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.onProcessReplaced(upstream, listed, now); });
}

void RequestDriver::onProcessListed(std::string_view upstream, Incarnation listed)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime /*now*/) { scheduler.onProcessListed(upstream, listed); });
}

AttemptResolution RequestDriver::onAttemptEnded(std::string_view request, std::string_view upstream, const AttemptEnd &end)
{
    auto verdict = withScheduler([&](RequestScheduler &scheduler, SteadyTime now) {
        auto result = scheduler.onAttemptEnded(request, upstream, end, now);
        if (const auto it = m_entries.find(request); it != m_entries.end() && std::holds_alternative<RetryQueued>(result)) {
            it->second.upstream.clear();
        }
        return result;
    });
    if (const auto *failure = std::get_if<AttemptFailed>(&end); failure != nullptr && std::holds_alternative<RetryQueued>(verdict)) {
        m_counters->addRetry(failure->reason);
    }
    return verdict;
}

bool RequestDriver::mayMove(std::string_view request)
{
    return withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { return scheduler.mayMove(request, now); });
}

void RequestDriver::abandon(std::string_view request)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime now) {
        const auto it = m_entries.find(request);
        if (it == m_entries.end()) {
            return;
        }
        // A dispatch may be on its way to the mailbox, so the scheduler's view counts and not the session's.
        if (!it->second.upstream.empty()) {
            std::ignore = scheduler.onAttemptEnded(request, it->second.upstream, AttemptAbandoned{}, now);
        }
        scheduler.cancel(request, now);
        m_entries.erase(it);
    });
}

void RequestDriver::forget(std::string_view request)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime now) {
        if (const auto it = m_entries.find(request); it != m_entries.end()) {
            scheduler.cancel(request, now);
            m_entries.erase(it);
        }
    });
}

std::vector<ProbeTarget> RequestDriver::dueProbes()
{
    const std::scoped_lock lock(m_mutex);
    return m_scheduler.dueProbes(m_clock->now());
}

void RequestDriver::onProbe(std::string_view upstream, ProbeResult result)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.onProbe(upstream, result, now); });
}

std::optional<RelayTarget> RequestDriver::nextRelayTarget(std::string_view pool, const HomeRegions &homes, std::span<const HostId> tried)
{
    return withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { return scheduler.relayTargets().choose(stableIdHash(pool), homes, tried, now); });
}

void RequestDriver::onRelayStarted(std::string_view host)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime /*now*/) { scheduler.relayTargets().onStarted(host); });
}

void RequestDriver::onRelayEnded(std::string_view host)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime /*now*/) { scheduler.relayTargets().onEnded(host); });
}

void RequestDriver::onRelayUnreachable(std::string_view host)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.relayTargets().onUnreachable(host, now); });
}

void RequestDriver::onLoadReport(std::string_view upstream, const LoadReport &report)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.onLoadReport(upstream, report, now); });
}

void RequestDriver::onCacheEvents(std::string_view upstream, std::span<const CacheEvent> events)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.onCacheEvents(upstream, events, now); });
}

bool RequestDriver::onDrainAnnounced(std::string_view upstream)
{
    return withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { return scheduler.onDrainAnnounced(upstream, now); });
}

void RequestDriver::onCold(std::string_view upstream, Milliseconds duration)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.onCold(upstream, duration, now); });
}

void RequestDriver::onPauseRequested(std::string_view upstream, Milliseconds pause)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.onPauseRequested(upstream, pause, now); });
}

bool RequestDriver::onRateLimit(std::string_view upstream, double perSecond, SteadyTime statedAt)
{
    return withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { return scheduler.onRateLimit(upstream, perSecond, statedAt, now); });
}

bool RequestDriver::onRejectionLimit(std::string_view upstream, double perSecond, SteadyTime statedAt)
{
    return withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { return scheduler.onRejectionLimit(upstream, perSecond, statedAt, now); });
}

void RequestDriver::applyConfiguration(const Configuration &configuration)
{
    withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.applyConfiguration(configuration, now); });
}

void RequestDriver::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_stopped = true;
    boost::asio::post(m_strand, [self = shared_from_this()] { self->m_timer.cancel(); });
}

void RequestDriver::runStep()
{
    const std::scoped_lock lock(m_mutex);
    // Mailboxes queue on their strands, so that delivery under the lock neither blocks nor calls back, and keeps the order of the steps.
    for (const auto &action : m_scheduler.step(m_clock->now())) {
        count(action);
        deliver(action);
    }
    const auto wakeup = m_scheduler.nextWakeup();
    if (wakeup && !m_stopped && (!m_armed || *wakeup < *m_armed)) {
        m_armed = wakeup;
        boost::asio::post(m_strand, [self = shared_from_this(), at = *wakeup] { self->armTimer(at); });
    }
}

void RequestDriver::deliver(const SchedulerAction &action)
{
    const auto it = m_entries.find(internal::requestOf(action));
    if (it == m_entries.end()) {
        return;
    }
    if (const auto *dispatch = std::get_if<DispatchAction>(&action)) {
        it->second.upstream = dispatch->upstream;
    } else if (std::holds_alternative<PreemptAction>(action)) {
        it->second.upstream.clear();
    }
    it->second.mailbox->post(RequestEvent{action});
}

void RequestDriver::count(const SchedulerAction &action)
{
    std::visit(Overloaded{
                   [&](const DispatchAction &) { m_counters->add(CounterId::RequestsDispatched); },
                   [](const ShedAction &) {},
                   [&](const RelayAction &) { m_counters->add(CounterId::RequestsRelayed); },
                   [&](const PreemptAction &it) {
                       m_counters->add(CounterId::RequestsPreempted);
                       m_counters->addRetry(it.reason);
                   },
                   [&](const HedgeAction &) { m_counters->add(CounterId::RequestsHedged); },
               },
               action);
}

void RequestDriver::armTimer(SteadyTime wakeup)
{
    const auto delay = std::max(wakeup - m_clock->now(), SteadyTime::duration::zero());
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (ec) {
            return;
        }
        {
            const std::scoped_lock lock(self->m_mutex);
            self->m_armed.reset();
            if (self->m_stopped) {
                return;
            }
        }
        self->runStep();
    });
}

} // namespace guavafield
