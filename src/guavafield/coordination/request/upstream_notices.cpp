// Notices of upstreams and their expiry.
#include <guavafield/coordination/request/upstream_notices.hpp>

#include <algorithm>

namespace guavafield {

void UpstreamNotices::announceDrain(const UpstreamId &upstream, Incarnation incarnation, SteadyTime now)
{
    recordOf(upstream, incarnation, now).notice.leaving = true;
}

void UpstreamNotices::requestPause(const UpstreamId &upstream, Incarnation incarnation, Milliseconds pause, SteadyTime now)
{
    auto &notice = recordOf(upstream, incarnation, now).notice;
    notice.pausedUntil = std::max<SteadyTime>(notice.pausedUntil, now + std::min(pause, maxPause));
}

bool UpstreamNotices::limitRate(const UpstreamId &upstream, Incarnation incarnation, double perSecond, SteadyTime statedAt, SteadyTime now)
{
    const double before = find(upstream, incarnation).rateLimit;
    if (perSecond == unlimitedRate && before == unlimitedRate) {
        return false;
    }
    auto &record = recordOf(upstream, incarnation, now);
    if (statedAt <= record.rateStatedAt) {
        return false;
    }
    record.rateStatedAt = statedAt;
    record.notice.rateLimit = perSecond;
    return perSecond != before;
}

UpstreamNotice UpstreamNotices::find(const UpstreamId &upstream, Incarnation incarnation) const
{
    const auto it = m_records.find(upstream);
    return it != m_records.end() && it->second.incarnation == incarnation ? it->second.notice : UpstreamNotice();
}

UpstreamNotices::Record &UpstreamNotices::recordOf(const UpstreamId &upstream, Incarnation incarnation, SteadyTime now)
{
    std::erase_if(m_records, [now](const auto &it) { return now - it.second.at > retention; });
    auto &record = m_records[upstream];
    if (record.incarnation != incarnation) {
        record = Record{incarnation, now, {}, {}};
    }
    record.at = now;
    return record;
}

} // namespace guavafield
