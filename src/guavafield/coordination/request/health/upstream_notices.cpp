// Notices of upstreams and their expiry.
#include <guavafield/coordination/request/health/upstream_notices.hpp>

#include <guavafield/coordination/request/placement/placement.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// Hosts of the largest fleets report to all others several times in this time.
constexpr Milliseconds rateNewsTime{10'000};
// Fits into one datagram.
constexpr std::size_t maxRateNews = 32;
constexpr Milliseconds rejectionLimitTime{10'000};

} // namespace internal

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
    if (perSecond == before) {
        return false;
    }
    record.notice.rateLimit = perSecond;
    record.rateNewsAt.reset();
    return true;
}

bool UpstreamNotices::limitRejections(const UpstreamId &upstream, Incarnation incarnation, double perSecond, SteadyTime statedAt, SteadyTime now)
{
    const double before = find(upstream, incarnation).rejectionLimit;
    if (perSecond == unlimitedRate && before == unlimitedRate) {
        return false;
    }
    auto &record = recordOf(upstream, incarnation, now);
    if (statedAt <= record.rejectionsStatedAt) {
        return false;
    }
    record.rejectionsStatedAt = statedAt;
    record.notice.rejectionLimit = perSecond;
    return perSecond != before;
}

bool UpstreamNotices::expireRejectionLimits(SteadyTime now)
{
    bool any = false;
    for (auto &[upstream, record] : m_records) {
        any |= record.notice.rejectionLimit != unlimitedRate;
        if (now - record.rejectionsStatedAt > internal::rejectionLimitTime) {
            record.notice.rejectionLimit = unlimitedRate;
        }
    }
    return any;
}

void UpstreamNotices::announceRate(const UpstreamId &upstream, SteadyTime now)
{
    if (const auto it = m_records.find(upstream); it != m_records.end()) {
        it->second.rateNewsAt = now;
    }
}

std::vector<RateLimitObservation> UpstreamNotices::rateNews(SteadyTime now) const
{
    std::vector<RateLimitObservation> result;
    for (const auto &[upstream, record] : m_records) {
        if (record.rateNewsAt && now - *record.rateNewsAt <= internal::rateNewsTime) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - record.rateStatedAt);
            result.push_back({stableIdHash(upstream), record.incarnation, record.notice.rateLimit, age});
        }
    }
    std::ranges::sort(result, {}, &RateLimitObservation::age);
    result.resize(std::min(result.size(), internal::maxRateNews));
    return result;
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
        record = Record{incarnation, now, {}, {}, {}, {}};
    }
    record.at = now;
    return record;
}

} // namespace guavafield
