// Self-queueing pools: requests are sent immediately to the upstream chosen by placement, which queues them by priority.
#include <guavafield/coordination/request/placement/stream_binding.hpp>
#include <guavafield/coordination/request/scheduler/scheduler_core.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// Fraction of the first-token target that a request waits for an upstream before it is refused.
constexpr double noUpstreamWaitFraction = 0.125;
// A request is refused if its expected time to the first token exceeds this fraction of the time to its deadline.
constexpr double maxWaitFraction = 0.95;
// A shorter wait behind other requests is no reason to refuse.
constexpr double negligibleQueueSeconds = 0.001;
constexpr double refusedRetrySeconds = 0.3;
// Keeps the retries of all hosts below a fifth of the requests plus a few dozen.
constexpr double poolRetriesPerRequest = 0.15;
constexpr double fleetReserve = 27;
constexpr double maxReserve = 3;
constexpr std::uint32_t failuresBeforeDown = 3;
// Hosts of larger fleets report less often.
constexpr Milliseconds minPeerWorkTtl{4'000};
constexpr Milliseconds peerWorkTtlPerHost{35};
// Smaller corrections of the fleet's clock do not begin the permits of limited upstreams anew.
constexpr std::chrono::milliseconds fleetClockTolerance{20};

// All values are integers, so that subtracting a report cancels its addition exactly.
void addScaled(UpstreamState &upstream, const PeerWork &work, int sign) noexcept
{
    upstream.peerWaitingTokens += sign * static_cast<double>(work.waitingTokens);
    upstream.peerRunning += sign * static_cast<double>(work.running);
}

} // namespace internal

void RequestScheduler::Impl::setFleetHosts(std::uint32_t hosts, std::uint32_t hostIndex, SteadyTime now)
{
    RetryBudget::Settings settings;
    settings.retriesPerRequest = internal::poolRetriesPerRequest;
    settings.reserve = std::min(internal::maxReserve, internal::fleetReserve / std::max(1U, hosts));
    settings.maxBalance = settings.reserve + 1;
    m_poolRetries.configure(settings);
    m_peerWorkTtl = std::max(internal::minPeerWorkTtl, internal::peerWorkTtlPerHost * static_cast<int>(hosts));
    m_relays.setReportTtl(m_peerWorkTtl);
    if (m_turn.hosts != std::max(1U, hosts) || m_turn.index != hostIndex) {
        m_turn.hosts = std::max(1U, hosts);
        m_turn.index = hostIndex;
        restartRateLimits(now);
        divideBrittleRoom(now);
    }
}

void RequestScheduler::Impl::setFleetClock(std::chrono::nanoseconds offset, SteadyTime now)
{
    if (std::chrono::abs(offset - m_turn.clockOffset) > internal::fleetClockTolerance) {
        m_turn.clockOffset = offset;
        restartRateLimits(now);
    }
}

void RequestScheduler::Impl::configureSelfQueueing(const Configuration &configuration)
{
    for (const auto &[id, facts] : configuration.pools) {
        auto &pool = m_pools[id];
        pool.model.id = id;
        if (!pool.selfQueueing || pool.selfQueueing->facts.engine != facts.engine) {
            auto waiting = pool.selfQueueing ? std::move(pool.selfQueueing->waiting) : decltype(pool.selfQueueing->waiting)();
            pool.selfQueueing.emplace(SelfQueueing{facts, Placement(m_settings.dataCentre, facts.engine), std::move(waiting)});
            applyPeerDemandTo(id, pool.selfQueueing->placement);
        }
        pool.selfQueueing->facts = facts;
    }
}

Admission RequestScheduler::Impl::submitSelfQueueing(Pool &pool, std::unique_ptr<RequestEntry> entry, SteadyTime now)
{
    if (const auto remaining = m_evidence.refusedFor(crashSuspectOf(entry->info), now)) {
        return Refused{ResultCode::CrashSuspectRefused, *remaining};
    }
    entry->suspect = false;
    waitAgain(*entry, now);
    m_poolRetries.onRequest(entry->info.className, now);
    entry->queued = true;
    pool.selfQueueing->waiting.insert(entry.get());
    auto id = entry->info.id;
    m_requests.emplace(std::move(id), std::move(entry));
    return Queued{};
}

void RequestScheduler::Impl::waitAgain(RequestEntry &entry, SteadyTime now)
{
    entry.latestStart = now + std::chrono::duration_cast<Milliseconds>(entry.info.firstTokenTarget * internal::noUpstreamWaitFraction);
}

void RequestScheduler::Impl::dispatchSelfQueueing(Pool &pool, SteadyTime now)
{
    if (!pool.selfQueueing) {
        return;
    }
    const auto waiting = pool.selfQueueing->waiting;
    for (auto *entry : waiting) {
        const auto decision = pool.selfQueueing->placement.choose(pool.upstreams, m_router.prefixes(), *entry, now);
        const double left = secondsBetween(now, entry->deadline);
        // A request that begins at once is sent, whatever its expected time: no other request gains by its refusal, and without an answer the
        // expectation would never be corrected.
        const bool waits = decision.upstream != nullptr && decision.queueSeconds > internal::negligibleQueueSeconds;
        const bool deadlineUnreachable = waits && !entry->started() && !entry->bound() && decision.seconds > internal::maxWaitFraction * left;
        if (decision.upstream != nullptr && !deadlineUnreachable) {
            dispatchTo(pool, *entry, decision, now);
        } else if (decision.upstream == nullptr && relay(pool, *entry, now)) {
            continue;
        } else if (deadlineUnreachable || waitIsOver(pool, *entry, now)) {
            const auto code = deadlineUnreachable ? ResultCode::FirstTokenTargetUnreachable : shortageFor(pool, *entry, now);
            pool.selfQueueing->waiting.erase(entry);
            auto refusal = m_admission.refusal(code, internal::refusedRetrySeconds);
            refusal.retryAfter += commonPause(pool, now);
            m_actions.emplace_back(ShedAction{entry->info.id, refusal});
            m_requests.erase(m_requests.find(entry->info.id));
        }
    }
}

bool RequestScheduler::Impl::waitIsOver(const Pool &pool, const RequestEntry &entry, SteadyTime now)
{
    if (!entry.bound()) {
        return now >= entry.latestStart;
    }
    if (worthWaiting(entry, pool.upstreams)) {
        return now >= entry.deadline;
    }
    return now >= entry.latestStart || !anyMayRun(entry, pool.upstreams);
}

ResultCode RequestScheduler::Impl::shortageFor(const Pool &pool, const RequestEntry &entry, SteadyTime now)
{
    if (entry.info.homes && !anyAtHome(entry, pool.upstreams)) {
        return ResultCode::HomeUnavailable;
    }
    if (entry.bound() && !anyMayRun(entry, pool.upstreams)) {
        return ResultCode::StreamVersionGone;
    }
    if (entry.lastFailure) {
        return *entry.lastFailure;
    }
    bool limited = false;
    bool evacuated = false;
    bool other = false;
    pool.upstreams.forEach([&](const UpstreamState &it) {
        if (mayRunOn(entry, it)) {
            limited |= it.usable() && (!it.withinRate(now, entry.info.enginePriority) || !it.hasRoom(now));
            evacuated |= it.evacuated;
            other |= !it.evacuated && !it.leaving();
        }
    });
    if (evacuated && !other) {
        return ResultCode::UpstreamsEvacuated;
    }
    return limited ? ResultCode::UpstreamRateLimited : ResultCode::NoUpstream;
}

Milliseconds RequestScheduler::Impl::commonPause(const Pool &pool, SteadyTime now)
{
    std::optional<SteadyTime> resume;
    pool.upstreams.forEach([&](const UpstreamState &it) {
        if (!it.leaving() && !it.downSince) {
            const auto at = it.pausedUntil.value_or(now);
            resume = std::min(resume.value_or(at), at);
        }
    });
    return std::chrono::ceil<Milliseconds>(resume.value_or(now) - now);
}

void RequestScheduler::Impl::dispatchTo(Pool &pool, RequestEntry &entry, const PlacementDecision &decision, SteadyTime now)
{
    auto &upstream = *decision.upstream;
    pool.selfQueueing->waiting.erase(&entry);
    entry.queued = false;
    entry.prefillTokens = decision.tokens;
    entry.expectedSeconds = decision.seconds;
    entry.slowdown = decision.slowdown;
    entry.dispatchedToIdle = upstream.outstanding() == 0 && upstream.peerRunning < 1;
    entry.tried.push_back(upstream.idHash);
    entry.dispatchSequence = ++m_nextDispatch;
    ++pool.tiers[entry.info.tier].running;
    pool.dispatches.add(1, now);
    pool.selfQueueing->placement.onDispatch(entry, now);
    startAttempt(entry, upstream, now);
    DispatchAction action{entry.info.id, upstream.upstream.id, entry.info.enginePriority, entry.attemptsMade};
    action.fetchFrom = decision.fetchFrom != nullptr ? decision.fetchFrom->upstream.id : UpstreamId();
    action.expected = std::chrono::duration_cast<Milliseconds>(Seconds(decision.seconds));
    action.rateLimit = upstream.rateLimit ? upstream.rateLimit->perSecond() : unlimitedRate;
    action.softwareVersion = upstream.upstream.softwareVersion;
    action.incarnation = upstream.upstream.incarnation;
    action.anyProcess = upstream.replaced() && !entry.bound();
    entry.attempts.back().anyProcess = action.anyProcess;
    m_actions.emplace_back(std::move(action));
}

std::optional<CrashSuspect> RequestScheduler::Impl::suspectOfBreak(const RequestEntry &entry, const UpstreamState &upstream, SteadyTime now)
{
    const auto attempt = std::ranges::find(entry.attempts, &upstream, &Attempt::upstream);
    const auto began = attempt != entry.attempts.end() ? attempt->answerBegan : std::nullopt;
    if (began && now - *began >= CrashEvidence::answerBeginning) {
        return std::nullopt;
    }
    auto suspect = crashSuspectOf(entry.info);
    suspect.answerBegan = began.has_value();
    return suspect;
}

AttemptResolution RequestScheduler::Impl::onSelfQueueingFailure(RequestEntry &entry, UpstreamState &upstream, const AttemptFailed &failure, SteadyTime now)
{
    if (failure.reason == RetryReason::UpstreamReplaced) {
        // Nothing has failed; it may be chosen again once the entry of its process has come.
        std::erase(entry.tried, upstream.idHash);
        --entry.attemptsMade;
        endAttempt(entry, upstream, now);
        waitAgain(entry, now);
        return retry(entry, failure, true, now);
    }
    upstream.failures.add(1, now);
    const bool unreachable = failure.reason == RetryReason::ConnectFailed;
    const bool probe = upstream.downSince && upstream.outlier.probeDue(now);
    if (probe) {
        upstream.outlier.eject(now);
    } else if (!upstream.downSince && (unreachable || (!failure.notExecuted && ++upstream.consecutiveFailures >= internal::failuresBeforeDown))) {
        upstream.markDown(now);
        upstream.linkLost = unreachable || failure.upstreamCrashed;
        m_probes.schedule(upstream.idHash, upstream.outlier.nextProbe());
        m_router.prefixes().removeAll(upstream);
    }
    const bool unanswered = failure.reason == RetryReason::UpstreamUnidentified || (failure.reason == RetryReason::FirstTokenLate && !failure.answered);
    if (unreachable || failure.upstreamCrashed || (unanswered && !anyAnswers(now))) {
        probeAfterFailure(upstream, now);
    }
    if (failure.answered) {
        noteAnswered(entry, upstream, now);
    }
    if (failure.rejected && upstream.room) {
        upstream.room->onRejected(now);
    }
    entry.attemptsRun += failure.notExecuted ? 0 : 1;
    const auto suspect = failure.upstreamCrashed && !upstream.leaving() ? suspectOfBreak(entry, upstream, now) : std::nullopt;
    endAttempt(entry, upstream, now);
    if (suspect) {
        m_broken.add({{upstream.idHash, upstream.upstream.incarnation}, *suspect, poolOf(entry).upstreams.size(), now});
    }
    // An answer that was broken off would crash the next upstream by going on there.
    if (const auto remaining = m_evidence.refusedFor(crashSuspectOf(entry.info), now)) {
        erase(entry, now);
        return Refused{ResultCode::CrashSuspectRefused, *remaining};
    }
    if (!entry.attempts.empty()) {
        return RetryQueued{};
    }
    waitAgain(entry, now);
    return retry(entry, failure, unreachable, now);
}

void RequestScheduler::Impl::onPeerWork(std::string_view host, std::span<const PeerWork> work, std::span<const EngineDemand> demand, SteadyTime now)
{
    expirePeerWork(now);
    auto &report = m_peerWork[std::string(host)];
    addPeerWork(report.work, report.demand, -1);
    report.work.assign(work.begin(), work.end());
    report.demand.assign(demand.begin(), demand.end());
    report.at = now;
    addPeerWork(report.work, report.demand, 1);
}

std::vector<EngineDemand> RequestScheduler::Impl::engineDemand(SteadyTime now) const
{
    std::vector<EngineDemand> result;
    for (const auto &[id, pool] : m_pools) {
        if (pool.selfQueueing && pool.selfQueueing->facts.engine) {
            auto &demand = result.emplace_back(pool.selfQueueing->placement.isolation().localDemand(now));
            demand.pool = stableIdHash(id);
        }
    }
    return result;
}

void RequestScheduler::Impl::addPeerWork(std::span<const PeerWork> work, std::span<const EngineDemand> demand, int sign)
{
    for (auto &[id, pool] : m_pools) {
        if (!pool.selfQueueing) {
            continue;
        }
        const auto it = std::ranges::find(demand, stableIdHash(id), &EngineDemand::pool);
        if (it != demand.end()) {
            pool.selfQueueing->placement.isolation().addPeerDemand(*it, sign);
        }
    }
    for (const auto &it : work) {
        if (const auto upstream = m_upstreamsByIdHash.find(it.upstream); upstream != m_upstreamsByIdHash.end()) {
            internal::addScaled(*upstream->second, it, sign);
        }
    }
}

void RequestScheduler::Impl::applyPeerWorkTo(UpstreamState &added)
{
    m_upstreamsByIdHash[added.idHash] = &added;
    for (const auto &[host, report] : m_peerWork) {
        for (const auto &it : report.work) {
            if (it.upstream == added.idHash) {
                internal::addScaled(added, it, 1);
            }
        }
    }
}

void RequestScheduler::Impl::applyPeerDemandTo(std::string_view pool, Placement &placement) const
{
    for (const auto &[host, report] : m_peerWork) {
        const auto it = std::ranges::find(report.demand, stableIdHash(pool), &EngineDemand::pool);
        if (it != report.demand.end()) {
            placement.isolation().addPeerDemand(*it, 1);
        }
    }
}

void RequestScheduler::Impl::expirePeerWork(SteadyTime now)
{
    std::erase_if(m_peerWork, [&](const auto &it) {
        const bool expired = now - it.second.at > m_peerWorkTtl;
        if (expired) {
            addPeerWork(it.second.work, it.second.demand, -1);
        }
        return expired;
    });
}

StringMap<PoolLoad> RequestScheduler::Impl::poolLoads() const
{
    StringMap<PoolLoad> result;
    for (const auto &[id, pool] : m_pools) {
        if (!pool.selfQueueing) {
            continue;
        }
        auto &load = result[id];
        double tokens = 0;
        pool.upstreams.forEach([&](const UpstreamState &it) {
            load.upstreams += it.usable() ? 1 : 0;
            load.running += it.peerRunning + it.outstanding();
            tokens += it.peerWaitingTokens;
            for (const auto *entry : it.running) {
                tokens += entry->started() ? 0 : entry->prefillTokens;
            }
        });
        load.queueSeconds = tokens / pool.selfQueueing->placement.tokensPerSecond() / std::max(1U, load.upstreams);
    }
    return result;
}

std::vector<PeerWork> RequestScheduler::Impl::localWork() const
{
    std::vector<PeerWork> result;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.upstream.pool.empty() || upstream.running.empty()) {
            continue;
        }
        PeerWork work{upstream.idHash, 0, upstream.outstanding()};
        for (const auto *it : upstream.running) {
            work.waitingTokens += it->started() ? 0 : static_cast<std::uint32_t>(it->prefillTokens);
        }
        result.push_back(work);
    }
    return result;
}

} // namespace guavafield
