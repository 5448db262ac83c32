// Matches streams that have begun with the software versions of upstreams.
#include <guavafield/coordination/request/stream_binding.hpp>

namespace guavafield {

namespace internal {

// The process at the other end is not certain if another one has taken the upstream's id since the dispatch.
bool writerCertain(const Attempt &attempt) noexcept
{
    const auto &current = attempt.upstream->upstream;
    return current.incarnation == attempt.incarnation || current.softwareVersion == attempt.softwareVersion;
}

} // namespace internal

bool mayRunOn(const RequestEntry &entry, const UpstreamState &upstream) noexcept
{
    return !entry.originUncertain && (!entry.origin || *entry.origin == upstream.upstream.softwareVersion);
}

bool anyMayRun(const RequestEntry &entry, const PoolUpstreams &upstreams) noexcept
{
    bool found = false;
    upstreams.forEach([&](const UpstreamState &it) { found |= mayRunOn(entry, it); });
    return found;
}

bool worthWaiting(const RequestEntry &entry, const PoolUpstreams &upstreams) noexcept
{
    bool found = false;
    upstreams.forEach([&](const UpstreamState &it) { found |= mayRunOn(entry, it) && !it.leaving() && !entry.hasTried(it.idHash); });
    return found;
}

bool anotherTakesNow(const RequestEntry &entry, const PoolUpstreams &upstreams, SteadyTime now) noexcept
{
    bool found = false;
    upstreams.forEach(
        [&](const UpstreamState &it) { found |= mayRunOn(entry, it) && it.usable() && it.withinRate(now) && it.hasRoom(now) && !entry.hasTried(it.idHash); });
    return found;
}

bool noteWriter(RequestEntry &entry, const Attempt &attempt)
{
    const bool certain = internal::writerCertain(attempt);
    if (!entry.bound() && entry.info.resumable) {
        entry.originUncertain = !certain;
        entry.origin = attempt.softwareVersion;
        return true;
    }
    return !entry.bound() || (certain && entry.origin == attempt.softwareVersion);
}

} // namespace guavafield
