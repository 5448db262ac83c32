// Which upstreams this host reaches, and whether those that it does not reach have crashed.
#include <guavafield/coordination/request/scheduler/scheduler_core.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// An upstream that has crashed refuses connections by then, and others have had time to show that the links work.
constexpr Milliseconds crashCheckDelay{150};
constexpr Milliseconds witnessDelay{30};
constexpr std::size_t witnesses = 2;
constexpr Milliseconds recentAnswer{500};
// An evacuated upstream is not probed; how soon it is after its return.
constexpr Milliseconds evacuatedProbeInterval{500};
// An attempt that was dispatched so soon after a crash may have been on its way before it, as the clocks of hosts are compared by ages.
constexpr Milliseconds ageTolerance{250};

} // namespace internal

void RequestScheduler::Impl::noteAnswered(const RequestEntry &entry, UpstreamState &upstream, SteadyTime now)
{
    m_broken.onReached(upstream.idHash, now);
    upstream.answeredAt = now;
    const auto attempt = std::ranges::find(entry.attempts, &upstream, &Attempt::upstream);
    if (attempt != entry.attempts.end() && attempt->incarnation == upstream.upstream.incarnation) {
        upstream.answeredDispatch = std::max(upstream.answeredDispatch, attempt->dispatched);
    }
}

void RequestScheduler::Impl::probeAfterFailure(const UpstreamState &upstream, SteadyTime now)
{
    m_probes.schedule(upstream.idHash, now + internal::crashCheckDelay);
    probeWitnesses(upstream, now);
}

bool RequestScheduler::Impl::anyAnswers(SteadyTime now) const
{
    return std::ranges::any_of(m_upstreams, [now](const auto &it) { return now - it.second.answeredAt < internal::recentAnswer; });
}

void RequestScheduler::Impl::probeWitnesses(const UpstreamState &upstream, SteadyTime now)
{
    std::vector<std::uint64_t> others;
    for (const auto &[id, it] : m_upstreams) {
        if (&it != &upstream && it.accepting() && !it.downSince) {
            others.push_back(it.idHash);
        }
    }
    for (std::size_t n = 0; n < std::min(internal::witnesses, others.size()); ++n) {
        m_probes.schedule(others[(m_nextDispatch + n) % others.size()], now + internal::witnessDelay);
    }
}

std::vector<ProbeTarget> RequestScheduler::Impl::dueProbes(SteadyTime now)
{
    std::vector<ProbeTarget> targets;
    for (const auto hash : m_probes.takeDue(now)) {
        const auto it = m_upstreamsByIdHash.find(hash);
        if (it == m_upstreamsByIdHash.end()) {
            m_probes.erase(hash);
            continue;
        }
        if (it->second->evacuated) {
            m_probes.erase(hash);
            m_probes.schedule(hash, now + internal::evacuatedProbeInterval);
            continue;
        }
        if (it->second->pausedUntil) {
            // A probe brings a request, which the upstream doesn't want now.
            m_probes.erase(hash);
            m_probes.schedule(hash, *it->second->pausedUntil);
            continue;
        }
        it->second->probedAt = now;
        const auto &upstream = it->second->upstream;
        targets.push_back({upstream.id, upstream.address, upstream.port, upstream.incarnation});
    }
    return targets;
}

void RequestScheduler::Impl::onProbe(std::string_view upstream, ProbeResult result, SteadyTime now)
{
    auto *state = findUpstream(upstream);
    if (state == nullptr) {
        return;
    }
    if (result == ProbeResult::Answered) {
        m_probes.onConnected(state->idHash, now);
        m_broken.onReached(state->idHash, now);
        m_broken.onConnected(state->idHash);
        if (state->linkLost) {
            state->markUp();
        }
    } else {
        onProbeFailed(*state, result, now);
    }
    takeCrashes(now);
    refreshSlots();
}

void RequestScheduler::Impl::onProbeFailed(UpstreamState &upstream, ProbeResult result, SteadyTime now)
{
    m_probes.onFailed(upstream.idHash, now);
    if (result == ProbeResult::Refused) {
        m_broken.onRefused(upstream.idHash);
    }
    // An upstream may turn new connections away while it serves those that it has.
    const bool serves = result == ProbeResult::Unanswered && upstream.probedAt.value_or(now) - upstream.answeredAt < internal::recentAnswer;
    if (result == ProbeResult::NotTried || serves) {
        return;
    }
    if (!upstream.downSince) {
        upstream.markDown(now);
        m_router.prefixes().removeAll(upstream);
        probeWitnesses(upstream, now);
    }
    upstream.linkLost = true;
}

void RequestScheduler::Impl::takeCrashes(SteadyTime now)
{
    for (const auto &it : m_broken.takeCrashed(now)) {
        m_evidence.onCrash(it.crash, it.suspect, it.upstreams, it.at);
    }
}

void RequestScheduler::Impl::onPeerCrashes(CrashKnowledge knowledge, SteadyTime now)
{
    const auto lives = [&](const CrashObservation &crash) {
        const auto it = m_upstreamsByIdHash.find(crash.crash.upstream);
        return it != m_upstreamsByIdHash.end() && it->second->upstream.incarnation == crash.crash.incarnation
            && it->second->answeredDispatch > now - crash.age + internal::ageTolerance;
    };
    std::vector<CrashObservation> refuted;
    for (const auto &it : knowledge.crashes) {
        if (lives(it)) {
            refuted.push_back(it);
        }
    }
    std::erase_if(knowledge.crashes, lives);
    m_evidence.merge(knowledge, now);
    for (const auto &it : refuted) {
        m_evidence.refute(it, now);
    }
}

} // namespace guavafield
