// Choice between hosts by load.
#include <guavafield/coordination/request/placement/relay_targets.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// A host in another data centre is chosen when those of the own one have so many requests more.
constexpr double remoteRequests = 4;
constexpr Milliseconds unreachablePause{1'000};

} // namespace internal

RelayTargets::RelayTargets(DataCentreId localDataCentre, std::uint64_t seed) : m_localDataCentre(std::move(localDataCentre)), m_random(seed) { }

void RelayTargets::onReport(std::string_view host, RelayCandidate candidate, SteadyTime now)
{
    auto &entry = m_hosts[std::string(host)];
    entry.candidate = std::move(candidate);
    entry.reportedAt = now;
}

void RelayTargets::erase(std::string_view host)
{
    if (const auto it = m_hosts.find(host); it != m_hosts.end()) {
        m_hosts.erase(it);
    }
}

bool RelayTargets::mayServe(const HostId &id, const Host &host, std::uint64_t pool, std::span<const HostId> tried, SteadyTime now) const
{
    const auto &candidate = host.candidate;
    return candidate.callers.port != 0 && now - host.reportedAt <= m_reportTtl && now >= host.notBefore
        && std::ranges::find(candidate.unreachablePools, pool) == candidate.unreachablePools.end() && std::ranges::find(tried, id) == tried.end();
}

double RelayTargets::cost(const Host &host) const noexcept
{
    const double remote = host.candidate.dataCentre == m_localDataCentre ? 0 : internal::remoteRequests;
    return host.candidate.running + host.relayed + remote;
}

std::optional<RelayTarget> RelayTargets::choose(std::uint64_t pool, const HomeRegions &homes, std::span<const HostId> tried, SteadyTime now)
{
    std::vector<StringMap<Host>::value_type *> found;
    for (auto &it : m_hosts) {
        if (allows(homes, it.second.candidate.region) && mayServe(it.first, it.second, pool, tried, now)) {
            found.push_back(&it);
        }
    }
    if (found.empty()) {
        return std::nullopt;
    }
    // Of two random hosts the one with less load, since many hosts may choose by the same reports.
    auto *first = found[m_random.below(found.size())];
    auto *second = found[m_random.below(found.size())];
    auto *chosen = cost(second->second) < cost(first->second) ? second : first;
    const auto age = std::chrono::duration_cast<Milliseconds>(now - chosen->second.reportedAt);
    return RelayTarget{chosen->first, chosen->second.candidate.callers, age};
}

void RelayTargets::onStarted(std::string_view host) noexcept
{
    if (const auto it = m_hosts.find(host); it != m_hosts.end()) {
        ++it->second.relayed;
    }
}

void RelayTargets::onEnded(std::string_view host) noexcept
{
    if (const auto it = m_hosts.find(host); it != m_hosts.end() && it->second.relayed > 0) {
        --it->second.relayed;
    }
}

void RelayTargets::onUnreachable(std::string_view host, SteadyTime now)
{
    if (const auto it = m_hosts.find(host); it != m_hosts.end()) {
        it->second.notBefore = now + internal::unreachablePause;
    }
}

} // namespace guavafield
