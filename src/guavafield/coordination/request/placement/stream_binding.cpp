// Matches streams that have begun with the software versions of upstreams.
#include <guavafield/coordination/request/placement/stream_binding.hpp>

namespace guavafield {

namespace internal {

// The process at the other end is not certain if another one has taken the upstream's id since the dispatch.
bool writerCertain(const Attempt &attempt) noexcept
{
    if (attempt.identified) {
        return true;
    }
    const auto &state = *attempt.upstream;
    if (attempt.anyProcess || (state.replacedIncarnation != 0 && state.replacedIncarnation == attempt.incarnation)) {
        return false;
    }
    return state.upstream.incarnation == attempt.incarnation || state.upstream.softwareVersion == attempt.softwareVersion;
}

// Whether the upstream's region and the version that its entry names may go on with the request.
bool fits(const RequestEntry &entry, const UpstreamState &upstream) noexcept
{
    const bool versionFits = !entry.originUncertain && (!entry.origin || *entry.origin == upstream.upstream.softwareVersion);
    return versionFits && allows(entry.info.homes, upstream.region);
}

} // namespace internal

bool mayRunOn(const RequestEntry &entry, const UpstreamState &upstream) noexcept
{
    const bool known = !entry.bound() || !upstream.replaced();
    return known && internal::fits(entry, upstream);
}

bool mayBeginOn(const RequestEntry &entry, const UpstreamState &upstream, bool allReplaced) noexcept
{
    return allReplaced || entry.bound() || !entry.info.resumable || !upstream.replaced();
}

bool allReplaced(const PoolUpstreams &upstreams) noexcept
{
    bool listed = false;
    upstreams.forEach([&](const UpstreamState &it) { listed |= !it.leaving() && !it.replaced(); });
    return !listed;
}

bool anyAtHome(const RequestEntry &entry, const PoolUpstreams &upstreams) noexcept
{
    bool found = false;
    upstreams.forEach([&](const UpstreamState &it) { found |= allows(entry.info.homes, it.region); });
    return found;
}

bool anyMayRun(const RequestEntry &entry, const PoolUpstreams &upstreams) noexcept
{
    bool found = false;
    upstreams.forEach([&](const UpstreamState &it) { found |= internal::fits(entry, it); });
    return found;
}

bool worthWaiting(const RequestEntry &entry, const PoolUpstreams &upstreams) noexcept
{
    bool found = false;
    upstreams.forEach([&](const UpstreamState &it) { found |= internal::fits(entry, it) && !it.leaving() && !entry.hasTried(it.idHash); });
    return found;
}

bool anotherTakesNow(const RequestEntry &entry, const PoolUpstreams &upstreams, SteadyTime now) noexcept
{
    bool found = false;
    upstreams.forEach([&](const UpstreamState &it) {
        found |= mayRunOn(entry, it) && it.usable() && it.withinRate(now, entry.info.enginePriority) && it.hasRoom(now) && !entry.hasTried(it.idHash);
    });
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
