// Forwards the public interface to the implementation.
#include <guavafield/coordination/request/scheduler/request_scheduler.hpp>

#include <guavafield/coordination/request/scheduler/scheduler_core.hpp>

namespace guavafield {

RequestScheduler::RequestScheduler(SchedulerSettings settings) : m_impl(std::make_unique<Impl>(std::move(settings))) { }

RequestScheduler::~RequestScheduler() = default;

void RequestScheduler::applyConfiguration(const Configuration &configuration, SteadyTime now)
{
    m_impl->applyConfiguration(configuration, now);
}

void RequestScheduler::setHostsInDataCentre(std::uint32_t hosts, SteadyTime /*now*/, std::uint32_t hostIndex)
{
    m_impl->setHosts(hosts, hostIndex);
}

void RequestScheduler::setFleetHosts(std::uint32_t hosts, std::uint32_t hostIndex, SteadyTime now)
{
    m_impl->setFleetHosts(hosts, hostIndex, now);
}

void RequestScheduler::setRememberedHosts(std::uint32_t hosts, std::uint32_t hostIndex, SteadyTime now)
{
    m_impl->setRememberedHosts(hosts, hostIndex, now);
}

void RequestScheduler::setFleetClock(std::chrono::nanoseconds offset, SteadyTime now)
{
    m_impl->setFleetClock(offset, now);
}

Admission RequestScheduler::submit(RequestInfo request, SteadyTime now)
{
    return m_impl->submit(std::move(request), now);
}

std::vector<SchedulerAction> RequestScheduler::step(SteadyTime now)
{
    return m_impl->step(now);
}

std::optional<SteadyTime> RequestScheduler::nextWakeup() const
{
    return m_impl->nextWakeup();
}

bool RequestScheduler::onFirstToken(std::string_view request, std::string_view upstream, SteadyTime now)
{
    return m_impl->onFirstToken(request, upstream, now);
}

void RequestScheduler::onTokens(std::string_view request, std::uint32_t count, SteadyTime now)
{
    m_impl->onTokens(request, count, now);
}

void RequestScheduler::onProcessIdentified(std::string_view request, std::string_view upstream)
{
    m_impl->onProcessIdentified(request, upstream);
}

void RequestScheduler::onProcessReplaced(std::string_view upstream, Incarnation listed, SteadyTime now)
{
    m_impl->onProcessReplaced(upstream, listed, now);
}

void RequestScheduler::onProcessListed(std::string_view upstream, Incarnation listed)
{
    m_impl->onProcessListed(upstream, listed);
}

AttemptResolution RequestScheduler::onAttemptEnded(std::string_view request, std::string_view upstream, const AttemptEnd &end, SteadyTime now)
{
    return m_impl->onAttemptEnded(request, upstream, end, now);
}

bool RequestScheduler::mayMove(std::string_view request, SteadyTime now)
{
    return m_impl->mayMove(request, now);
}

void RequestScheduler::cancel(std::string_view request, SteadyTime now)
{
    m_impl->cancel(request, now);
}

void RequestScheduler::onLoadReport(std::string_view upstream, const LoadReport &report, SteadyTime now)
{
    m_impl->onLoadReport(upstream, report, now);
}

void RequestScheduler::onCacheEvents(std::string_view upstream, std::span<const CacheEvent> events, SteadyTime /*now*/)
{
    m_impl->onCacheEvents(upstream, events);
}

void RequestScheduler::onUpstreamLeaving(std::string_view upstream, Milliseconds notice, SteadyTime now)
{
    m_impl->onUpstreamLeaving(upstream, notice, now);
}

bool RequestScheduler::onDrainAnnounced(std::string_view upstream, SteadyTime now)
{
    return m_impl->onDrainAnnounced(upstream, now);
}

void RequestScheduler::onCold(std::string_view upstream, Milliseconds duration, SteadyTime now)
{
    m_impl->onCold(upstream, duration, now);
}

void RequestScheduler::onPauseRequested(std::string_view upstream, Milliseconds pause, SteadyTime now)
{
    m_impl->onPauseRequested(upstream, pause, now);
}

std::vector<RateLimitObservation> RequestScheduler::rateLimitNews(SteadyTime now) const
{
    return m_impl->rateLimitNews(now);
}

void RequestScheduler::onPeerRateLimits(std::span<const RateLimitObservation> limits, SteadyTime now)
{
    m_impl->onPeerRateLimits(limits, now);
}

bool RequestScheduler::onRateLimit(std::string_view upstream, double perSecond, SteadyTime statedAt, SteadyTime now)
{
    return m_impl->onRateLimit(upstream, perSecond, statedAt, now);
}

bool RequestScheduler::onRejectionLimit(std::string_view upstream, double perSecond, SteadyTime statedAt, SteadyTime now)
{
    return m_impl->onRejectionLimit(upstream, perSecond, statedAt, now);
}

void RequestScheduler::onPeerDemand(std::string_view host, std::span<const TeamDemand> demand, Milliseconds age, SteadyTime now)
{
    m_impl->onPeerDemand(host, demand, age, now);
}

std::vector<TeamDemand> RequestScheduler::localDemand(std::size_t limit, SteadyTime now) const
{
    return m_impl->demand().busiest(limit, now);
}

void RequestScheduler::onPeerWork(std::string_view host, std::span<const PeerWork> work, std::span<const EngineDemand> demand, SteadyTime now)
{
    m_impl->onPeerWork(host, work, demand, now);
}

std::vector<EngineDemand> RequestScheduler::engineDemand(SteadyTime now) const
{
    return m_impl->engineDemand(now);
}

std::vector<PeerWork> RequestScheduler::localWork() const
{
    return m_impl->localWork();
}

std::vector<std::uint64_t> RequestScheduler::unreachablePools(SteadyTime now) const
{
    return m_impl->unreachablePools(now);
}

RelayTargets &RequestScheduler::relayTargets() noexcept
{
    return m_impl->relayTargets();
}

StringMap<PoolLoad> RequestScheduler::poolLoads() const
{
    return m_impl->poolLoads();
}

CrashEvidence &RequestScheduler::crashEvidence() noexcept
{
    return m_impl->crashEvidence();
}

void RequestScheduler::onPeerCrashes(CrashKnowledge knowledge, SteadyTime now)
{
    m_impl->onPeerCrashes(std::move(knowledge), now);
}

std::vector<ProbeTarget> RequestScheduler::dueProbes(SteadyTime now)
{
    return m_impl->dueProbes(now);
}

void RequestScheduler::onProbe(std::string_view upstream, ProbeResult result, SteadyTime now)
{
    m_impl->onProbe(upstream, result, now);
}

void RequestScheduler::onCrashRecord(const CrashRecord &record, SteadyTime now)
{
    m_impl->crashes().quarantine(record.fingerprint, record.remaining, now);
}

std::vector<CrashRecord> RequestScheduler::crashRecords(SteadyTime now) const
{
    return m_impl->crashes().records(now);
}

std::size_t RequestScheduler::queued() const noexcept
{
    return m_impl->queued();
}

std::size_t RequestScheduler::running() const noexcept
{
    return m_impl->running();
}

} // namespace guavafield
