// Keeps the version of an upstream's removal and of its first entry afterwards.
#include <guavafield/coordination/fleet/removed_upstreams.hpp>

namespace guavafield {

namespace internal {

// Restored tables are younger than this.
constexpr Milliseconds removalRetention{300'000};

} // namespace internal

void RemovedUpstreams::add(const Upstream &upstream, RowVersion lastVersion, SteadyTime now)
{
    std::erase_if(m_removals, [now](const auto &it) { return now - it.second.at > internal::removalRetention; });
    m_removals[upstream.id] = Removal{upstream.incarnation, lastVersion, now, 0};
}

void RemovedUpstreams::onEntry(const UpstreamId &id, RowVersion version)
{
    const auto it = m_removals.find(id);
    if (it != m_removals.end() && it->second.returnedAt == 0) {
        it->second.returnedAt = version;
    }
}

bool RemovedUpstreams::isFromCopy(const Upstream &upstream, RowVersion version) const
{
    const auto it = m_removals.find(upstream.id);
    if (it == m_removals.end() || it->second.incarnation != upstream.incarnation) {
        return false;
    }
    return epochStart(version) > epochStart(it->second.lastVersion) && version == it->second.returnedAt;
}

} // namespace guavafield
