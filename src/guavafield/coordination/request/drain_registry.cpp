// Announcements of leaving upstreams and their expiry.
#include <guavafield/coordination/request/drain_registry.hpp>

namespace guavafield {

void DrainRegistry::announce(const UpstreamId &upstream, Incarnation incarnation, SteadyTime now)
{
    std::erase_if(m_announcements, [now](const auto &it) { return now - it.second.at > retention; });
    m_announcements[upstream] = Announcement{incarnation, now};
}

bool DrainRegistry::isLeaving(const UpstreamId &upstream, Incarnation incarnation) const
{
    const auto it = m_announcements.find(upstream);
    return it != m_announcements.end() && it->second.incarnation == incarnation;
}

} // namespace guavafield
