// Lifecycle of attempts: start, tokens and end, with retries, crash classification and cost accounting.
#include <guavafield/coordination/request/placement/stream_binding.hpp>
#include <guavafield/coordination/request/scheduler/scheduler_core.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

constexpr Tier lowestHedgedTier = 1;
// A hedge is due after this multiple of the expected time to the first token, but not before a fraction of the target.
constexpr double hedgeAfterExpected = 3;
constexpr double hedgeAfterTargetFraction = 0.4;
constexpr std::uint32_t failuresBeforeEjection = 3;
constexpr std::uint32_t maxAttempts = 6;
// A single crash as sole suspect may be caused by a request of another host, as hosts do not see each other's requests.
constexpr std::uint32_t soleSuspectCrashesBeforeQuarantine = 2;
// A reclaimed upstream may terminate slightly earlier than announced.
constexpr Milliseconds reclaimTolerance{1000};
constexpr Milliseconds replacedProbeInterval{1000};

// Whether a request that upstreams have executed so often may be sent once more.
bool attemptsLeft(const RequestEntry &entry, std::uint32_t attemptsRun) noexcept
{
    return (entry.info.maxAttempts == 0 || attemptsRun < entry.info.maxAttempts) && entry.attemptsMade < maxAttempts;
}

} // namespace internal

void RequestScheduler::Impl::startAttempt(RequestEntry &entry, UpstreamState &upstream, SteadyTime now)
{
    entry.attempts.push_back({&upstream, now, upstream.upstream.incarnation, upstream.upstream.softwareVersion});
    ++entry.attemptsMade;
    entry.lastTokens = {};
    upstream.addAttempt(entry, now);
    if (upstream.rateLimit) {
        upstream.rateLimit->use(now);
    }
    upstream.cold.use(now);
    for (const auto it : entry.info.prefixHashes) {
        m_router.prefixes().add(it, upstream);
    }
}

void RequestScheduler::Impl::endAttempt(RequestEntry &entry, UpstreamState &upstream, SteadyTime now)
{
    auto &pool = poolOf(entry);
    std::erase_if(entry.attempts, [&](const Attempt &it) {
        if (it.upstream == &upstream && pool.selfQueueing) {
            pool.selfQueueing->placement.onEnded(entry, upstream, it.dispatched, now);
        }
        return it.upstream == &upstream;
    });
    upstream.removeAttempt(entry, now);
    pool.releases.add(1, now);
}

void RequestScheduler::Impl::removeFromRunning(RequestEntry &entry)
{
    auto &pool = poolOf(entry);
    auto &stats = pool.tiers[entry.info.tier];
    --stats.running;
    if (entry.byFloor) {
        --stats.protectedByFloor;
        entry.byFloor = false;
    }
    pool.preemptable.erase(&entry);
    cancelHedge(entry);
}

void RequestScheduler::Impl::requeue(RequestEntry &entry)
{
    auto &pool = poolOf(entry);
    entry.queued = true;
    entry.requeued = entry.attemptsMade > 0;
    refundUnusedCharge(entry);
    if (entry.started() && !pool.selfQueueing) {
        // The caller already has part of the answer; a late completion is better than none.
        entry.latestStart = SteadyTime::max();
    }
    if (pool.selfQueueing) {
        pool.selfQueueing->waiting.insert(&entry);
    } else if (entry.suspect) {
        pool.suspects.insert(&entry);
    } else {
        pool.queue.tier(entry.info.tier).push(entry);
    }
}

void RequestScheduler::Impl::refundUnusedCharge(RequestEntry &entry)
{
    if (entry.charged > entry.used) {
        poolOf(entry).queue.tier(entry.info.tier).charge(entry.info, entry.used - entry.charged);
        entry.charged = entry.used;
    }
}

void RequestScheduler::Impl::erase(RequestEntry &entry, SteadyTime now)
{
    const bool ran = !entry.queued;
    while (!entry.attempts.empty()) {
        endAttempt(entry, *entry.attempts.back().upstream, now);
    }
    if (ran) {
        removeFromRunning(entry);
    } else if (auto &selfQueueing = poolOf(entry).selfQueueing) {
        selfQueueing->waiting.erase(&entry);
    } else if (poolOf(entry).suspects.erase(&entry) == 0 && poolOf(entry).heldBack.erase(&entry) == 0) {
        poolOf(entry).queue.tier(entry.info.tier).remove(entry);
    }
    refundUnusedCharge(entry);
    m_requests.erase(m_requests.find(entry.info.id));
}

void RequestScheduler::Impl::scheduleHedge(RequestEntry &entry, SteadyTime now)
{
    if (poolOf(entry).selfQueueing || entry.info.tier > internal::lowestHedgedTier || entry.started() || entry.suspect || !entry.info.repeatable) {
        return;
    }
    const double target = std::chrono::duration<double>(entry.info.firstTokenTarget).count();
    entry.hedgeAt = addSeconds(now, std::max(internal::hedgeAfterExpected * m_times.prefillSeconds(entry.info), internal::hedgeAfterTargetFraction * target));
    entry.hedgePlanned = true;
    m_hedges.emplace(entry.hedgeAt, entry.sequence, &entry);
}

void RequestScheduler::Impl::cancelHedge(RequestEntry &entry)
{
    if (entry.hedgePlanned) {
        m_hedges.erase({entry.hedgeAt, entry.sequence, &entry});
        entry.hedgePlanned = false;
    }
}

bool RequestScheduler::Impl::onFirstToken(std::string_view request, std::string_view upstream, SteadyTime now)
{
    auto *entry = find(request);
    if (entry == nullptr || entry->queued) {
        return false;
    }
    const auto attempts = entry->attempts;
    const auto writer = std::ranges::find_if(attempts, [&](const Attempt &it) { return it.upstream->upstream.id == upstream; });
    if (writer == attempts.end() || !noteWriter(*entry, *writer)) {
        return false;
    }
    cancelHedge(*entry);
    for (const auto &it : attempts) {
        if (it.upstream->upstream.id != upstream) {
            endAttempt(*entry, *it.upstream, now);
            continue;
        }
        noteProgress(*entry, *it.upstream, now);
        noteAnswered(*entry, *it.upstream, now);
        it.upstream->markUp();
        const bool first = entry->lastTokens == SteadyTime{};
        if (auto &selfQueueing = poolOf(*entry).selfQueueing; selfQueueing && first) {
            selfQueueing->placement.onFirstToken(*entry, *it.upstream, secondsBetween(it.dispatched, now), now);
        }
        if (!entry->started()) {
            m_times.onFirstToken(entry->info, secondsBetween(it.dispatched, now), now);
            m_times.lengths(entry->info).onStarted();
        }
    }
    entry->lastTokens = now;
    return true;
}

void RequestScheduler::Impl::noteProgress(RequestEntry &entry, const UpstreamState &upstream, SteadyTime now)
{
    const auto attempt = std::ranges::find(entry.attempts, &upstream, &Attempt::upstream);
    if (!poolOf(entry).selfQueueing || attempt == entry.attempts.end()) {
        return;
    }
    if (!attempt->answerBegan) {
        attempt->answerBegan = now;
    } else if (!attempt->survived && now - *attempt->answerBegan >= CrashEvidence::answerBeginning) {
        attempt->survived = true;
        m_evidence.onSurvived(crashSuspectOf(entry.info), now);
    }
}

void RequestScheduler::Impl::onTokens(std::string_view request, std::uint32_t count, SteadyTime now)
{
    auto *entry = find(request);
    if (entry == nullptr || entry->queued || count == 0) {
        return;
    }
    const auto &model = poolOf(*entry).model;
    const double cost = model.outputCost * count + (entry->started() ? 0 : model.promptCost * entry->info.promptTokens);
    m_times.lengths(entry->info).onReached(LengthModel::bucketOf(entry->deliveredTokens), LengthModel::bucketOf(entry->deliveredTokens + count));
    entry->deliveredTokens += count;
    entry->used += cost;
    if (entry->used > entry->charged) {
        poolOf(*entry).queue.tier(entry->info.tier).charge(entry->info, entry->used - entry->charged);
        entry->charged = entry->used;
    }
    m_demand.onService(entry->info.team, cost, now);
    if (entry->lastTokens != SteadyTime{} && now > entry->lastTokens && !entry->attempts.empty()) {
        const double seconds = secondsBetween(entry->lastTokens, now);
        m_times.onTokens(entry->info, seconds, count);
        entry->attempts.front().upstream->onTokenTime(seconds / count);
        if (auto &selfQueueing = poolOf(*entry).selfQueueing) {
            selfQueueing->placement.onPause(seconds / count);
        }
    }
    entry->lastTokens = now;
    if (!entry->attempts.empty()) {
        const auto &writer = entry->attempts.front();
        writer.upstream->answeredAt = now;
        entry->originUncertain = !noteWriter(*entry, writer) || entry->originUncertain;
        noteProgress(*entry, *writer.upstream, now);
    }
}

void RequestScheduler::Impl::onProcessIdentified(std::string_view request, std::string_view upstream)
{
    auto *entry = find(request);
    if (entry == nullptr) {
        return;
    }
    for (auto &it : entry->attempts) {
        it.identified |= it.upstream->upstream.id == upstream;
    }
}

void RequestScheduler::Impl::onProcessReplaced(std::string_view upstream, Incarnation listed, SteadyTime now)
{
    auto *state = findUpstream(upstream);
    if (state == nullptr || state->upstream.incarnation != listed) {
        return;
    }
    state->replacedIncarnation = listed;
    extendCold(*state, now + coldStartOf(*state).duration, now);
    // What listens there may change again.
    m_probes.schedule(state->idHash, now + internal::replacedProbeInterval);
}

void RequestScheduler::Impl::onProcessListed(std::string_view upstream, Incarnation listed)
{
    auto *state = findUpstream(upstream);
    if (state != nullptr && state->replacedIncarnation == listed) {
        state->replacedIncarnation = 0;
    }
}

AttemptResolution RequestScheduler::Impl::onAttemptEnded(std::string_view request, std::string_view upstream, const AttemptEnd &end, SteadyTime now)
{
    auto *entry = find(request);
    if (entry == nullptr) {
        return RequestDone{};
    }
    if (std::holds_alternative<AttemptAbandoned>(end)) {
        erase(*entry, now);
        return RequestDone{};
    }
    auto *state = findUpstream(upstream);
    const bool known = state != nullptr && std::ranges::find(entry->attempts, state, &Attempt::upstream) != entry->attempts.end();
    if (!known) {
        return RetryQueued{};
    }
    if (const auto *failure = std::get_if<AttemptFailed>(&end)) {
        return poolOf(*entry).selfQueueing ? onSelfQueueingFailure(*entry, *state, *failure, now) : onFailure(*entry, *state, *failure, now);
    }
    m_times.onEnded(entry->info, entry->deliveredTokens, now);
    m_crashes.clear(entry->info.fingerprint);
    if (poolOf(*entry).selfQueueing) {
        m_evidence.onSurvived(crashSuspectOf(entry->info), now);
    }
    noteAnswered(*entry, *state, now);
    state->markUp();
    erase(*entry, now);
    return RequestDone{};
}

AttemptResolution RequestScheduler::Impl::onFailure(RequestEntry &entry, UpstreamState &upstream, const AttemptFailed &failure, SteadyTime now)
{
    const bool reclaimed = upstream.leavesAt && now >= *upstream.leavesAt - internal::reclaimTolerance;
    if (failure.upstreamCrashed && !reclaimed && !upstream.downSince) {
        classifyCrash(upstream, now);
    }
    const bool unreachable = failure.upstreamCrashed || failure.reason == RetryReason::ConnectFailed;
    if (upstream.downSince && upstream.outlier.probeDue(now)) {
        upstream.outlier.eject(now);
    } else if (!upstream.downSince && (unreachable || ++upstream.consecutiveFailures >= internal::failuresBeforeEjection)) {
        upstream.markDown(now);
        m_router.prefixes().removeAll(upstream);
        refreshSlots();
    }
    const auto classification = std::exchange(entry.crashClassification, CrashClassification::None);
    endAttempt(entry, upstream, now);
    if (classification == CrashClassification::Quarantined || classification == CrashClassification::Suspect) {
        return afterCrash(entry, classification, failure.answerStarted, now);
    }
    if (!entry.attempts.empty()) {
        return RetryQueued{};
    }
    // A failed connection put no load on the upstream, which receives no more work until its probe.
    const bool bypassBudget = reclaimed || classification == CrashClassification::Unrelated || failure.reason == RetryReason::ConnectFailed;
    return retry(entry, failure, bypassBudget, now);
}

void RequestScheduler::Impl::classifyCrash(UpstreamState &upstream, SteadyTime now)
{
    const bool soleSuspect = upstream.suspects == 1;
    const bool alone = upstream.running.size() == 1;
    for (auto *it : upstream.running) {
        if (soleSuspect && !it->suspect) {
            it->crashClassification = CrashClassification::Unrelated;
            continue;
        }
        it->crashClassification = CrashClassification::Suspect;
        m_crashes.suspect(it->info.fingerprint, now);
        if ((soleSuspect || alone) && m_crashes.onSoleSuspectCrash(it->info.fingerprint, now) >= internal::soleSuspectCrashesBeforeQuarantine) {
            it->crashClassification = CrashClassification::Quarantined;
            m_crashes.quarantine(it->info.fingerprint, CrashTracker::retention, now);
        }
    }
}

AttemptResolution RequestScheduler::Impl::afterCrash(RequestEntry &entry, CrashClassification classification, bool answerStarted, SteadyTime now)
{
    if (classification == CrashClassification::Quarantined) {
        erase(entry, now);
        return Refused{ResultCode::CrashSuspectRefused, CrashTracker::retention};
    }
    // The other attempt of a hedged request may share its upstream with other suspects, so it is ended too.
    while (!entry.attempts.empty()) {
        endAttempt(entry, *entry.attempts.back().upstream, now);
    }
    AttemptFailed failure;
    failure.reason = RetryReason::UpstreamCrashed;
    failure.answerStarted = answerStarted;
    entry.suspect = true;
    return retry(entry, failure, true, now);
}

bool RequestScheduler::Impl::mayMove(std::string_view request, SteadyTime now)
{
    const auto *entry = find(request);
    if (entry == nullptr || entry->queued || !entry->migratable()) {
        return false;
    }
    const auto &pool = poolOf(*entry);
    // The run that goes on counts as well.
    const bool possible = pool.selfQueueing && internal::attemptsLeft(*entry, entry->attemptsRun + 1);
    if (!possible || !m_poolRetries.available(entry->info.className, now)) {
        return false;
    }
    return anotherTakesNow(*entry, pool.upstreams, now);
}

AttemptResolution RequestScheduler::Impl::retry(RequestEntry &entry, const AttemptFailed &failure, bool bypassBudget, SteadyTime now)
{
    const bool started = entry.started() || failure.answerStarted;
    if (!started) {
        // The caller got nothing of what the attempt wrote.
        entry.origin = entry.info.origin;
        entry.originUncertain = false;
    }
    const bool allowed = started ? entry.info.resumable : entry.info.repeatable || failure.notExecuted;
    const bool possible = allowed && internal::attemptsLeft(entry, entry.attemptsRun);
    if (!possible) {
        erase(entry, now);
        return m_admission.refusal(failure.code, 1);
    }
    if (entry.bound() && !anyMayRun(entry, poolOf(entry).upstreams)) {
        erase(entry, now);
        return m_admission.refusal(ResultCode::StreamVersionGone, 1);
    }
    if (!bypassBudget && (saturated(poolOf(entry)) || !(poolOf(entry).selfQueueing ? m_poolRetries : m_retries).take(entry.info.className, now))) {
        erase(entry, now);
        return m_admission.refusal(ResultCode::RetryBudgetExhausted, 1);
    }
    entry.lastFailure = failure.code;
    removeFromRunning(entry);
    requeue(entry);
    return RetryQueued{};
}

bool RequestScheduler::Impl::saturated(const Pool &pool) const
{
    if (pool.queue.size() == 0) {
        return false;
    }
    bool free = false;
    pool.upstreams.forEach([&](const UpstreamState &it) { free |= it.usable() && it.hasFreeSlot(); });
    return !free;
}

void RequestScheduler::Impl::cancel(std::string_view request, SteadyTime now)
{
    if (auto *entry = find(request)) {
        erase(*entry, now);
    }
}

} // namespace guavafield
