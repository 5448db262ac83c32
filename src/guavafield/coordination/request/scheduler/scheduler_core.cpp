// Configuration, request submission, and events from upstreams and peers.
#include <guavafield/coordination/request/scheduler/scheduler_core.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

constexpr double meanWorkWeight = 0.02;
// Wake-up interval while requests wait; preemption for the top tier is evaluated at this interval.
constexpr Milliseconds waitingWakeup{20};

// Returns the ids of the pools that an upstream belongs to.
std::vector<std::string> poolsOf(const Upstream &upstream)
{
    return upstream.pool.empty() ? upstream.models : std::vector<std::string>{upstream.pool};
}

// Numbers upstreams in the order of their hashes, so that few ranks change when one comes or goes.
void assignRanks(const PoolUpstreams &upstreams)
{
    std::vector<UpstreamState *> sorted;
    upstreams.forEach([&](UpstreamState &it) { sorted.push_back(&it); });
    std::ranges::sort(sorted, {}, &UpstreamState::idHash);
    for (std::size_t n = 0; n < sorted.size(); ++n) {
        sorted[n]->rank = (static_cast<double>(n) + 0.5) / static_cast<double>(sorted.size());
    }
}

bool servesPool(const Upstream &upstream) noexcept
{
    return !upstream.models.empty() || !upstream.pool.empty();
}

} // namespace internal

RequestScheduler::Impl::Impl(SchedulerSettings settings)
    : m_settings(std::move(settings))
    , m_admission(m_times, m_settings.seed ^ 0x51ED270B7F5A11C3ULL)
    , m_router(m_settings.seed)
    , m_probes(m_settings.seed ^ 0x9FB21C651E98DF25ULL)
    , m_relays(m_settings.dataCentre, m_settings.seed ^ 0x2545F4914F6CDD1DULL)
{
}

RequestEntry *RequestScheduler::Impl::find(std::string_view request) const
{
    const auto it = m_requests.find(request);
    return it != m_requests.end() ? it->second.get() : nullptr;
}

UpstreamState *RequestScheduler::Impl::findUpstream(std::string_view upstream)
{
    const auto it = m_upstreams.find(upstream);
    return it != m_upstreams.end() ? &it->second : nullptr;
}

void RequestScheduler::Impl::applyConfiguration(const Configuration &configuration, SteadyTime now)
{
    const bool amongFirst = m_upstreams.empty();
    m_coldStarts.clear();
    for (const auto &[id, pool] : configuration.pools) {
        if (pool.coldPerSecond > 0) {
            m_coldStarts[id] = ColdStart{pool.coldStart, pool.coldPerSecond};
        }
    }
    // Self-queueing pools use upstreams of all data centres, other pools only those of their own.
    const auto used = [&](const Upstream &it) { return !it.pool.empty() || (it.dataCentre == m_settings.dataCentre && !it.models.empty()); };
    for (auto &[id, upstream] : m_upstreams) {
        const auto it = configuration.upstreams.find(id);
        if (it == configuration.upstreams.end() || !used(it->second)) {
            if (!upstream.leaving()) {
                m_broken.onReplaced({upstream.idHash, upstream.upstream.incarnation});
            }
            // Receives no new work; the state is erased once its attempts have ended.
            upstream.upstream.leaving = true;
            upstream.upstream.models.clear();
            upstream.upstream.pool.clear();
        }
    }
    for (const auto &[id, upstream] : configuration.upstreams) {
        if (used(upstream)) {
            configureUpstream(upstream, configuration, amongFirst, now);
        }
    }
    configureSelfQueueing(configuration);
    rebuildPools(configuration);
    std::set<std::string, std::less<>> teams;
    for (const auto &it : configuration.teams) {
        teams.insert(it.first);
    }
    m_times.retainTeams(teams);
    for (auto &[model, pool] : m_pools) {
        for (Tier tier = 0; tier < tierCount; ++tier) {
            pool.queue.tier(tier).eraseIdleTeams(teams);
        }
    }
    takeCrashes(now);
    eraseRemovedUpstreams();
    divideBrittleRoom(now);
    refreshSlots();
}

void RequestScheduler::Impl::configureUpstream(const Upstream &upstream, const Configuration &configuration, bool amongFirst, SteadyTime now)
{
    const auto [it, added] = m_upstreams.try_emplace(upstream.id);
    auto &state = it->second;
    const bool restarted = !added && state.upstream.incarnation != upstream.incarnation;
    if (restarted) {
        m_broken.onReplaced({state.idHash, state.upstream.incarnation});
        state.answeredDispatch = {};
        m_router.prefixes().removeAll(state);
        state.markUp();
        state.latencyRatio = 1;
        state.slowdown.reset();
    }
    if (added || restarted) {
        state.addedAt = now;
    }
    state.upstream = upstream;
    if (added) {
        state.idHash = stableIdHash(upstream.id);
        applyPeerWorkTo(state);
    }
    configureLocality(state, configuration, restarted || (added && !amongFirst), now);
    applyNotice(state, now);
    if (!upstream.pool.empty()) {
        state.leavesAt = upstream.leavesAt;
    }
    configureLimit(state);
}

void RequestScheduler::Impl::applyNotice(UpstreamState &upstream, SteadyTime now)
{
    const auto notice = m_notices.find(upstream.upstream.id, upstream.upstream.incarnation);
    upstream.drainAnnounced = notice.leaving;
    applyRateLimit(upstream, notice.rateLimit, now);
    upstream.pausedUntil.reset();
    if (notice.pausedUntil > now) {
        upstream.pausedUntil = notice.pausedUntil;
        m_nextResume = std::min(m_nextResume, notice.pausedUntil);
    }
}

void RequestScheduler::Impl::applyRateLimit(UpstreamState &upstream, double perSecond, SteadyTime now)
{
    if (perSecond == unlimitedRate) {
        upstream.rateLimit.reset();
    } else if (!upstream.rateLimit || upstream.rateLimit->perSecond() != perSecond) {
        upstream.rateLimit.emplace(perSecond, upstream.idHash, m_turn, now);
    }
}

void RequestScheduler::Impl::restartRateLimits(SteadyTime now)
{
    for (auto &[id, upstream] : m_upstreams) {
        if (upstream.rateLimit) {
            upstream.rateLimit.emplace(upstream.rateLimit->perSecond(), upstream.idHash, m_turn, now);
        }
    }
    divideColdRates(now);
}

void RequestScheduler::Impl::divideBrittleRoom(SteadyTime now)
{
    for (const auto &[id, pool] : m_pools) {
        if (pool.selfQueueing) {
            divideBrittleRoom(pool, now);
        }
    }
}

void RequestScheduler::Impl::divideBrittleRoom(const Pool &pool, SteadyTime now)
{
    std::vector<std::pair<UpstreamState *, double>> brittle;
    std::uint32_t total = 0;
    pool.upstreams.forEach([&](UpstreamState &it) {
        const double limit = m_notices.find(it.upstream.id, it.upstream.incarnation).rejectionLimit;
        if (limit == unlimitedRate) {
            it.room.reset();
            return;
        }
        brittle.emplace_back(&it, limit);
        if (!it.accepting() || it.downSince) {
            return;
        }
        total += hostShareOfSlots(it.upstream.slots, m_turn.hosts, m_turn.index, it.idHash);
    });
    for (std::size_t n = 0; n < brittle.size(); ++n) {
        const auto &[upstream, limit] = brittle[n];
        auto share = hostShareOfSlots(upstream->upstream.slots, m_turn.hosts, m_turn.index, upstream->idHash);
        // Where there are more hosts than slots, those without a part use one upstream for one request at a time.
        share += total == 0 && n == m_turn.index % brittle.size() ? 1 : 0;
        if (!upstream->room || upstream->room->rejectionsPerSecond() != limit) {
            upstream->room.emplace(limit, share, m_turn.hosts, now);
        }
        upstream->room->resize(share, m_turn.hosts);
    }
}

void RequestScheduler::Impl::configureLimit(UpstreamState &upstream) const
{
    upstream.hosts = m_settings.hostsInDataCentre;
    const auto slots = upstream.upstream.slots;
    upstream.limit.configure(hostShareOfSlots(slots, m_settings.hostsInDataCentre, m_hostIndex, upstream.idHash), slots);
}

void RequestScheduler::Impl::rebuildPools(const Configuration &configuration)
{
    std::erase_if(m_pools,
                  [&](const auto &it) { return it.second.idle() && !configuration.models.contains(it.first) && !configuration.pools.contains(it.first); });
    for (auto &[id, pool] : m_pools) {
        pool.upstreams = {};
    }
    for (const auto &[id, model] : configuration.models) {
        m_pools[id].model = model;
    }
    for (auto &[id, upstream] : m_upstreams) {
        for (const auto &model : internal::poolsOf(upstream.upstream)) {
            auto &list = upstream.upstream.kind == UpstreamKind::Cheap ? m_pools[model].upstreams.cheap : m_pools[model].upstreams.durable;
            list.push_back(&upstream);
        }
    }
    for (auto &[id, pool] : m_pools) {
        if (pool.selfQueueing) {
            internal::assignRanks(pool.upstreams);
        }
    }
}

void RequestScheduler::Impl::setHosts(std::uint32_t hosts, std::uint32_t hostIndex)
{
    m_settings.hostsInDataCentre = std::max(1U, hosts);
    m_hostIndex = hostIndex % m_settings.hostsInDataCentre;
    for (auto &[id, upstream] : m_upstreams) {
        configureLimit(upstream);
    }
    refreshSlots();
}

void RequestScheduler::Impl::refreshSlots()
{
    for (auto &[id, pool] : m_pools) {
        double slots = 0;
        pool.upstreams.forEach([&](const UpstreamState &it) { slots += it.usable() ? it.upstream.slots : 0; });
        pool.slots = slots / m_settings.hostsInDataCentre;
    }
}

Admission RequestScheduler::Impl::submit(RequestInfo request, SteadyTime now)
{
    request.tier = std::min<Tier>(request.tier, tierCount - 1);
    if (const auto remaining = m_crashes.quarantineRemaining(request.fingerprint, now)) {
        return Refused{ResultCode::CrashSuspectRefused, *remaining};
    }
    const auto pool = m_pools.find(request.model);
    if (pool == m_pools.end()) {
        return m_admission.refusal(ResultCode::NoUpstream, 1);
    }
    auto entry = std::make_unique<RequestEntry>();
    entry->info = std::move(request);
    entry->origin = entry->info.origin;
    entry->sequence = ++m_nextSequence;
    entry->submitted = now;
    entry->deadline = now + entry->info.totalTarget;
    entry->suspect = m_crashes.isSuspect(entry->info.fingerprint, now);
    if (pool->second.selfQueueing) {
        return submitSelfQueueing(pool->second, std::move(entry), now);
    }
    m_admission.estimate(*entry, pool->second.model);
    m_retries.onRequest(entry->info.className, now);
    if (const auto refusal = m_admission.check(pool->second, *entry, now)) {
        return *refusal;
    }
    auto &stats = pool->second.tiers[entry->info.tier];
    stats.admittedWork.add(entry->work, now);
    stats.meanWork += stats.meanWork > 0 ? internal::meanWorkWeight * (entry->work - stats.meanWork) : entry->work;
    requeue(*entry);
    auto id = entry->info.id;
    m_requests.emplace(std::move(id), std::move(entry));
    return Queued{};
}

std::optional<SteadyTime> RequestScheduler::Impl::nextWakeup() const
{
    if (m_requests.empty()) {
        return std::nullopt;
    }
    auto wakeup = m_nextCheck;
    if (!m_hedges.empty()) {
        wakeup = std::min(wakeup, std::get<0>(*m_hedges.begin()));
    }
    return queued() > 0 ? std::min(wakeup, m_lastStep + internal::waitingWakeup) : wakeup;
}

void RequestScheduler::Impl::onLoadReport(std::string_view upstream, const LoadReport &report, SteadyTime now)
{
    if (auto *state = findUpstream(upstream)) {
        if (state->reportTime && state->report.incarnation != report.incarnation) {
            m_router.prefixes().removeAll(*state);
        }
        state->onReport(report, now);
        if (const auto pool = m_pools.find(state->upstream.pool); pool != m_pools.end() && pool->second.selfQueueing) {
            pool->second.selfQueueing->placement.onLoadReport(*state, report, now);
        }
        refreshSlots();
    }
}

void RequestScheduler::Impl::onCacheEvents(std::string_view upstream, std::span<const CacheEvent> events)
{
    auto *state = findUpstream(upstream);
    if (state == nullptr) {
        return;
    }
    for (const auto &it : events) {
        if (it.added) {
            m_router.prefixes().add(it.prefixHash, *state);
        } else {
            m_router.prefixes().remove(it.prefixHash, *state);
        }
    }
}

void RequestScheduler::Impl::onUpstreamLeaving(std::string_view upstream, Milliseconds notice, SteadyTime now)
{
    if (auto *state = findUpstream(upstream)) {
        state->leavesAt = now + notice;
        m_nextCheck = now;
        refreshSlots();
    }
}

bool RequestScheduler::Impl::onDrainAnnounced(std::string_view upstream, SteadyTime now)
{
    auto *state = findUpstream(upstream);
    if (state == nullptr || state->drainAnnounced) {
        return false;
    }
    m_notices.announceDrain(state->upstream.id, state->upstream.incarnation, now);
    applyNotice(*state, now);
    refreshSlots();
    return true;
}

void RequestScheduler::Impl::onPauseRequested(std::string_view upstream, Milliseconds pause, SteadyTime now)
{
    if (auto *state = findUpstream(upstream)) {
        m_notices.requestPause(state->upstream.id, state->upstream.incarnation, pause, now);
        applyNotice(*state, now);
        refreshSlots();
    }
}

bool RequestScheduler::Impl::onRateLimit(std::string_view upstream, double perSecond, SteadyTime statedAt, SteadyTime now)
{
    auto *state = findUpstream(upstream);
    if (state == nullptr || !m_notices.limitRate(state->upstream.id, state->upstream.incarnation, perSecond, statedAt, now)) {
        return false;
    }
    m_notices.announceRate(state->upstream.id, now);
    applyNotice(*state, now);
    return true;
}

bool RequestScheduler::Impl::onRejectionLimit(std::string_view upstream, double perSecond, SteadyTime statedAt, SteadyTime now)
{
    const auto *state = findUpstream(upstream);
    if (state == nullptr || !m_notices.limitRejections(state->upstream.id, state->upstream.incarnation, perSecond, statedAt, now)) {
        return false;
    }
    divideBrittleRoom(now);
    return true;
}

void RequestScheduler::Impl::onPeerRateLimits(std::span<const RateLimitObservation> limits, SteadyTime now)
{
    for (const auto &it : limits) {
        const auto found = m_upstreamsByIdHash.find(it.upstream);
        if (found == m_upstreamsByIdHash.end() || found->second->upstream.incarnation != it.incarnation) {
            continue;
        }
        auto &upstream = *found->second;
        if (m_notices.limitRate(upstream.upstream.id, it.incarnation, it.perSecond, now - it.age, now)) {
            applyNotice(upstream, now);
        }
    }
}

void RequestScheduler::Impl::onPeerDemand(std::string_view host, std::span<const TeamDemand> demand, Milliseconds age, SteadyTime now)
{
    for (const auto &[team, cost] : m_demand.convertPeerRates(host, demand, age, now)) {
        double served = 0;
        for (auto &[model, pool] : m_pools) {
            for (Tier tier = 0; tier < tierCount; ++tier) {
                served += pool.queue.tier(tier).servedCost(team);
            }
        }
        // A peer reports one rate for all queues of a team; it is divided in proportion to the team's service on this host.
        for (auto &[model, pool] : m_pools) {
            for (Tier tier = 0; tier < tierCount && served > 0; ++tier) {
                auto &queue = pool.queue.tier(tier);
                queue.chargePeer(team, cost * queue.servedCost(team) / served);
            }
        }
    }
}

std::size_t RequestScheduler::Impl::queued() const noexcept
{
    std::size_t count = 0;
    for (const auto &[model, pool] : m_pools) {
        count += pool.queue.size() + pool.suspects.size() + pool.heldBack.size() + (pool.selfQueueing ? pool.selfQueueing->waiting.size() : 0);
    }
    return count;
}

std::size_t RequestScheduler::Impl::running() const noexcept
{
    return m_requests.size() - queued();
}

} // namespace guavafield
