// Selection of upstreams by prefix affinity, load and kind.
#include <guavafield/coordination/request/placement/router.hpp>

#include <guavafield/coordination/request/decaying_sum.hpp>
#include <guavafield/coordination/request/placement/stream_binding.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

constexpr double affinityLoadBound = 1.25;
// Number of random samples before the whole list is searched for a free slot.
constexpr int maxRandomDraws = 6;
// Probes are left to the lowest tier first; each higher tier may probe only after this additional delay.
constexpr Milliseconds probeDelayPerTier{2000};
// An upstream is idle enough for a hedge below this relative load.
constexpr double idleFraction = 0.5;

bool canAccept(const UpstreamState &upstream) noexcept
{
    return upstream.usable() && upstream.hasFreeSlot();
}

double relativeLoad(const UpstreamState &upstream, SteadyTime now) noexcept
{
    return upstream.load(now) / upstream.upstream.slots;
}

} // namespace internal

UpstreamState *Router::choose(const PoolUpstreams &upstreams, const RequestEntry &entry, SteadyTime now)
{
    const bool top = entry.info.tier == 0;
    for (const auto *list : {top ? &upstreams.durable : &upstreams.cheap, top ? &upstreams.cheap : &upstreams.durable}) {
        if (auto *upstream = chooseByAffinity(*list, entry, now)) {
            return upstream;
        }
        if (auto *upstream = chooseByLoad(*list, entry, now)) {
            return upstream;
        }
    }
    // All upstreams appear full by their reports, but this host may still have free slots of its own share.
    return chooseOwnSlot(upstreams, entry, now);
}

UpstreamState *Router::chooseByAffinity(std::span<UpstreamState *const> upstreams, const RequestEntry &entry, SteadyTime now) const
{
    const auto &prefixes = entry.info.prefixHashes;
    if (prefixes.empty() || upstreams.empty()) {
        return nullptr;
    }
    const auto kind = upstreams.front()->upstream.kind;
    double total = 0;
    for (const auto *it : upstreams) {
        total += internal::relativeLoad(*it, now);
    }
    const double slots = upstreams.front()->upstream.slots;
    const double bound = internal::affinityLoadBound * total / static_cast<double>(upstreams.size()) + 1 / slots;
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        UpstreamState *best = nullptr;
        for (auto *it : m_prefixes.holders(*prefix)) {
            const double load = internal::relativeLoad(*it, now);
            const bool fits = it->upstream.kind == kind && mayRunOn(entry, *it) && it->usable() && it->likelyHasFreeSlot(now) && load < bound;
            if (fits && (best == nullptr || load < internal::relativeLoad(*best, now))) {
                best = it;
            }
        }
        if (best != nullptr) {
            return best;
        }
    }
    return nullptr;
}

UpstreamState *Router::chooseByLoad(std::span<UpstreamState *const> upstreams, const RequestEntry &entry, SteadyTime now)
{
    if (upstreams.empty()) {
        return nullptr;
    }
    UpstreamState *best = nullptr;
    int found = 0;
    const auto consider = [&](UpstreamState *it) {
        if (mayRunOn(entry, *it) && it->usable() && it->likelyHasFreeSlot(now)) {
            ++found;
            best = best == nullptr || internal::relativeLoad(*it, now) < internal::relativeLoad(*best, now) ? it : best;
        }
    };
    for (int n = 0; n < internal::maxRandomDraws && found < 2; ++n) {
        consider(upstreams[m_random.below(upstreams.size())]);
    }
    if (best == nullptr) {
        std::ranges::for_each(upstreams, consider);
    }
    return best;
}

UpstreamState *Router::chooseOwnSlot(const PoolUpstreams &upstreams, const RequestEntry &entry, SteadyTime now)
{
    UpstreamState *best = nullptr;
    upstreams.forEach([&](UpstreamState &it) {
        if (mayRunOn(entry, it) && internal::canAccept(it) && (best == nullptr || internal::relativeLoad(it, now) < internal::relativeLoad(*best, now))) {
            best = &it;
        }
    });
    return best;
}

UpstreamState *
Router::chooseForSuspect(const PoolUpstreams &upstreams, const RequestEntry &entry, std::uint32_t hosts, std::uint32_t hostIndex, SteadyTime now) const
{
    UpstreamState *best = nullptr;
    UpstreamState *other = nullptr;
    bool ownUsable = false;
    std::uint32_t index = 0;
    upstreams.forEach([&](UpstreamState &it) {
        const bool own = index++ % hosts == hostIndex;
        if (!mayRunOn(entry, it)) {
            return;
        }
        ownUsable |= own && it.usable();
        auto *&candidate = own ? best : other;
        const bool free = it.usable() && it.suspects == 0;
        if (free && (candidate == nullptr || internal::relativeLoad(it, now) < internal::relativeLoad(*candidate, now))) {
            candidate = &it;
        }
    });
    return ownUsable ? best : other;
}

UpstreamState *Router::chooseForHedge(const PoolUpstreams &upstreams, const RequestEntry &entry, SteadyTime now) const
{
    const auto *first = entry.attempts.front().upstream;
    UpstreamState *best = nullptr;
    upstreams.forEach([&](UpstreamState &it) {
        const bool other = &it != first && mayRunOn(entry, it);
        const bool idle = other && internal::canAccept(it) && it.suspects == 0 && internal::relativeLoad(it, now) < internal::idleFraction;
        if (idle && (best == nullptr || internal::relativeLoad(it, now) < internal::relativeLoad(*best, now))) {
            best = &it;
        }
    });
    return best;
}

UpstreamState *Router::chooseForProbe(const PoolUpstreams &upstreams, const RequestEntry &entry, SteadyTime now) const
{
    UpstreamState *found = nullptr;
    const auto minDelay = internal::probeDelayPerTier * (tierCount - 1 - entry.info.tier);
    upstreams.forEach([&](UpstreamState &it) {
        const bool due = it.outlier.probeDue(now) && now - it.outlier.nextProbe() >= minDelay;
        if (due && mayRunOn(entry, it) && it.accepting() && it.outstanding() == 0) {
            found = &it;
        }
    });
    return found;
}

} // namespace guavafield
