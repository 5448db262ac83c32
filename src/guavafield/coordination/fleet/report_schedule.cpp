// Intervals of reports by role and by size of the fleet.
#include <guavafield/coordination/fleet/report_schedule.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// With so many hosts, each of them reports at every interval; larger fleets report less often in proportion.
constexpr std::size_t hostsAtFullRate = 12;
// Three reports arrive while a window settles, so that two may be lost.
constexpr std::uint32_t holderIntervals = 4;
// The holder is heard several times a term of its lease.
constexpr std::uint32_t ownHolderIntervals = 3;
constexpr Milliseconds holderMemory{3'000};

} // namespace internal

ReportReceivers ReportSchedule::next(std::size_t hosts, ReportingRole role, SteadyTime now)
{
    ++m_sinceAll;
    ++m_sinceHolder;
    auto intervals = static_cast<std::uint32_t>(std::max<std::size_t>(1, hosts / internal::hostsAtFullRate));
    if (role.holdsDuties) {
        intervals = std::min(intervals, internal::ownHolderIntervals);
    }
    if (role.readsTables || m_sinceAll >= intervals) {
        m_sinceAll = 0;
        m_sinceHolder = 0;
        return ReportReceivers::AllHosts;
    }
    if (!role.holdsDuties && m_sinceHolder >= internal::holderIntervals && dutyHolder(now)) {
        m_sinceHolder = 0;
        return ReportReceivers::DutyHolder;
    }
    return ReportReceivers::None;
}

void ReportSchedule::onDutyHolder(const PeerAddress &address, Fence fence, SteadyTime now) noexcept
{
    // Reports of an earlier holder may arrive late.
    if (!m_holder || fence >= m_holder->fence || now - m_holder->heardAt > internal::holderMemory) {
        m_holder = Holder{address, fence, now};
    }
}

std::optional<PeerAddress> ReportSchedule::dutyHolder(SteadyTime now) const noexcept
{
    const bool known = m_holder && now - m_holder->heardAt <= internal::holderMemory;
    return known ? std::optional(m_holder->address) : std::nullopt;
}

} // namespace guavafield
