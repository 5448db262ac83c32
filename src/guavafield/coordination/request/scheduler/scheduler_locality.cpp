// Evacuated data centres, cold upstreams and the regions of upstreams.
#include <guavafield/coordination/request/scheduler/scheduler_core.hpp>

#include <algorithm>

namespace guavafield {

void RequestScheduler::Impl::configureLocality(UpstreamState &upstream, const Configuration &configuration, bool started, SteadyTime now)
{
    const auto &dataCentre = upstream.upstream.dataCentre;
    const auto region = m_settings.regions.find(dataCentre);
    upstream.region = region != m_settings.regions.end() ? region->second : RegionId();
    const bool evacuated = configuration.evacuated.contains(dataCentre);
    const bool returned = upstream.evacuated && !evacuated;
    upstream.evacuated = evacuated;
    const auto cold = coldStartOf(upstream);
    // The caches may have been lost shortly before the data centre returned.
    if (cold.limited() && (started || returned)) {
        extendCold(upstream, now + cold.duration, now);
    }
    if (upstream.upstream.coldUntil) {
        extendCold(upstream, *upstream.upstream.coldUntil, now);
    }
}

ColdStart RequestScheduler::Impl::coldStartOf(const UpstreamState &upstream) const
{
    const auto it = m_coldStarts.find(upstream.upstream.pool);
    return it != m_coldStarts.end() ? it->second : ColdStart();
}

void RequestScheduler::Impl::extendCold(UpstreamState &upstream, SteadyTime until, SteadyTime now)
{
    if (const auto cold = coldStartOf(upstream); cold.limited()) {
        upstream.cold.extend(until, cold.perSecond, upstream.idHash, m_coldTurn, now);
    }
}

void RequestScheduler::Impl::setRememberedHosts(std::uint32_t hosts, std::uint32_t hostIndex, SteadyTime now)
{
    if (m_coldTurn.hosts != std::max(1U, hosts) || m_coldTurn.index != hostIndex) {
        m_coldTurn.hosts = std::max(1U, hosts);
        m_coldTurn.index = hostIndex;
        divideColdRates(now);
    }
}

void RequestScheduler::Impl::divideColdRates(SteadyTime now)
{
    m_coldTurn.clockOffset = m_turn.clockOffset;
    for (auto &[id, upstream] : m_upstreams) {
        upstream.cold.setTurn(upstream.idHash, m_coldTurn, now);
    }
}

void RequestScheduler::Impl::onCold(std::string_view upstream, Milliseconds duration, SteadyTime now)
{
    if (auto *state = findUpstream(upstream)) {
        extendCold(*state, now + duration, now);
    }
}

} // namespace guavafield
