// Implementation of RequestScheduler, composed of the other classes of this folder.
#pragma once

#include <guavafield/coordination/request/admission/admission_control.hpp>
#include <guavafield/coordination/request/admission/demand_tracker.hpp>
#include <guavafield/coordination/request/admission/service_times.hpp>
#include <guavafield/coordination/request/health/broken_attempts.hpp>
#include <guavafield/coordination/request/health/crash_evidence.hpp>
#include <guavafield/coordination/request/health/crash_tracker.hpp>
#include <guavafield/coordination/request/health/upstream_notices.hpp>
#include <guavafield/coordination/request/limits/retry_budget.hpp>
#include <guavafield/coordination/request/placement/relay_targets.hpp>
#include <guavafield/coordination/request/scheduler/pool.hpp>
#include <guavafield/coordination/request/scheduler/request_scheduler.hpp>

#include <map>
#include <memory>
#include <set>
#include <span>
#include <tuple>
#include <unordered_map>

namespace guavafield {

/*! @brief Implementation of RequestScheduler; functions of the same name are documented there. */
class RequestScheduler::Impl
{
public:
    explicit Impl(SchedulerSettings settings);

    void applyConfiguration(const Configuration &configuration, SteadyTime now);
    void setHosts(std::uint32_t hosts, std::uint32_t hostIndex);
    void setFleetHosts(std::uint32_t hosts, std::uint32_t hostIndex, SteadyTime now);
    void setRememberedHosts(std::uint32_t hosts, std::uint32_t hostIndex, SteadyTime now);
    void setFleetClock(std::chrono::nanoseconds offset, SteadyTime now);
    [[nodiscard]] Admission submit(RequestInfo request, SteadyTime now);
    [[nodiscard]] std::vector<SchedulerAction> step(SteadyTime now);
    [[nodiscard]] std::optional<SteadyTime> nextWakeup() const;
    [[nodiscard]] bool onFirstToken(std::string_view request, std::string_view upstream, SteadyTime now);
    void onTokens(std::string_view request, std::uint32_t count, SteadyTime now);
    void onProcessIdentified(std::string_view request, std::string_view upstream);
    void onProcessReplaced(std::string_view upstream, Incarnation listed, SteadyTime now);
    void onProcessListed(std::string_view upstream, Incarnation listed);
    [[nodiscard]] AttemptResolution onAttemptEnded(std::string_view request, std::string_view upstream, const AttemptEnd &end, SteadyTime now);
    [[nodiscard]] bool mayMove(std::string_view request, SteadyTime now);
    void cancel(std::string_view request, SteadyTime now);
    void onLoadReport(std::string_view upstream, const LoadReport &report, SteadyTime now);
    void onCacheEvents(std::string_view upstream, std::span<const CacheEvent> events);
    void onUpstreamLeaving(std::string_view upstream, Milliseconds notice, SteadyTime now);
    [[nodiscard]] bool onDrainAnnounced(std::string_view upstream, SteadyTime now);
    void onCold(std::string_view upstream, Milliseconds duration, SteadyTime now);
    void onPauseRequested(std::string_view upstream, Milliseconds pause, SteadyTime now);
    [[nodiscard]] bool onRateLimit(std::string_view upstream, double perSecond, SteadyTime statedAt, SteadyTime now);
    [[nodiscard]] bool onRejectionLimit(std::string_view upstream, double perSecond, SteadyTime statedAt, SteadyTime now);
    [[nodiscard]] std::vector<RateLimitObservation> rateLimitNews(SteadyTime now) const
    {
        return m_notices.rateNews(now);
    }
    void onPeerRateLimits(std::span<const RateLimitObservation> limits, SteadyTime now);
    void onPeerWork(std::string_view host, std::span<const PeerWork> work, std::span<const EngineDemand> demand, SteadyTime now);
    [[nodiscard]] std::vector<EngineDemand> engineDemand(SteadyTime now) const;
    [[nodiscard]] std::vector<PeerWork> localWork() const;
    void onPeerCrashes(CrashKnowledge knowledge, SteadyTime now);
    [[nodiscard]] std::vector<ProbeTarget> dueProbes(SteadyTime now);
    void onProbe(std::string_view upstream, ProbeResult result, SteadyTime now);
    [[nodiscard]] std::vector<std::uint64_t> unreachablePools(SteadyTime now) const;
    [[nodiscard]] RelayTargets &relayTargets() noexcept
    {
        return m_relays;
    }
    [[nodiscard]] StringMap<PoolLoad> poolLoads() const;
    [[nodiscard]] CrashEvidence &crashEvidence() noexcept
    {
        return m_evidence;
    }
    void onPeerDemand(std::string_view host, std::span<const TeamDemand> demand, Milliseconds age, SteadyTime now);

    [[nodiscard]] const DemandTracker &demand() const noexcept
    {
        return m_demand;
    }
    [[nodiscard]] CrashTracker &crashes() noexcept
    {
        return m_crashes;
    }
    [[nodiscard]] std::size_t queued() const noexcept;
    [[nodiscard]] std::size_t running() const noexcept;

private:
    using HedgeTimer = std::tuple<SteadyTime, std::uint64_t, RequestEntry *>;

    // Configuration and lookup, in scheduler_core.cpp.
    // An upstream that is new has just started, unless it is among the first that this host learns of.
    void configureUpstream(const Upstream &upstream, const Configuration &configuration, bool amongFirst, SteadyTime now);
    void applyNotice(UpstreamState &upstream, SteadyTime now);
    void applyRateLimit(UpstreamState &upstream, double perSecond, SteadyTime now);
    void restartRateLimits(SteadyTime now);
    // Divides the slots of brittle upstreams between the hosts of the fleet.
    void divideBrittleRoom(SteadyTime now);
    void divideBrittleRoom(const Pool &pool, SteadyTime now);
    void rebuildPools(const Configuration &configuration);
    void configureLimit(UpstreamState &upstream) const;
    void refreshSlots();
    [[nodiscard]] RequestEntry *find(std::string_view request) const;
    [[nodiscard]] Pool &poolOf(const RequestEntry &entry)
    {
        return m_pools.find(entry.info.model)->second;
    }
    [[nodiscard]] UpstreamState *findUpstream(std::string_view upstream);

    // Periodic checks, in scheduler_checks.cpp.
    void runPeriodicChecks(SteadyTime now);
    void checkOutliers(const Pool &pool, SteadyTime now);
    void migrateFromLeaving(SteadyTime now);
    void migrate(RequestEntry &entry, UpstreamState &from, SteadyTime now);
    void endPauses(SteadyTime now);
    [[nodiscard]] bool likelyFinishesWithin(const RequestEntry &entry, double seconds);
    void eraseRemovedUpstreams();

    // Self-queueing pools, in scheduler_self_queueing.cpp.
    void configureSelfQueueing(const Configuration &configuration);
    [[nodiscard]] Admission submitSelfQueueing(Pool &pool, std::unique_ptr<RequestEntry> entry, SteadyTime now);
    void dispatchSelfQueueing(Pool &pool, SteadyTime now);
    void dispatchTo(Pool &pool, RequestEntry &entry, const PlacementDecision &decision, SteadyTime now);
    // Lets a request wait for an upstream for its time from now on.
    static void waitAgain(RequestEntry &entry, SteadyTime now);
    // Whether a request that no upstream takes now is refused; a stream that has begun waits longer, as fewer upstreams may go on with it.
    [[nodiscard]] static bool waitIsOver(const Pool &pool, const RequestEntry &entry, SteadyTime now);
    // Returns why no upstream of the pool takes the request now.
    [[nodiscard]] static ResultCode shortageFor(const Pool &pool, const RequestEntry &entry, SteadyTime now);
    // Returns for how long all upstreams of the pool that run are paused; 0 if one is not.
    [[nodiscard]] static Milliseconds commonPause(const Pool &pool, SteadyTime now);
    // Records that a part of the answer has arrived.
    void noteProgress(RequestEntry &entry, const UpstreamState &upstream, SteadyTime now);
    // Returns the suspect that a broken connection makes of the request; empty if its answer had got past the beginning.
    [[nodiscard]] static std::optional<CrashSuspect> suspectOfBreak(const RequestEntry &entry, const UpstreamState &upstream, SteadyTime now);
    [[nodiscard]] AttemptResolution onSelfQueueingFailure(RequestEntry &entry, UpstreamState &upstream, const AttemptFailed &failure, SteadyTime now);
    // Adds (sign 1) or subtracts (sign -1) the work of one report at the upstreams.
    void addPeerWork(std::span<const PeerWork> work, std::span<const EngineDemand> demand, int sign);
    void applyPeerWorkTo(UpstreamState &added);
    void applyPeerDemandTo(std::string_view pool, Placement &placement) const;
    void expirePeerWork(SteadyTime now);

    // Evacuated data centres and cold upstreams, in scheduler_locality.cpp.
    // Applies evacuations, regions and cold phases of a configuration to an upstream.
    void configureLocality(UpstreamState &upstream, const Configuration &configuration, bool started, SteadyTime now);
    [[nodiscard]] ColdStart coldStartOf(const UpstreamState &upstream) const;
    // Divides the rates of cold upstreams between the hosts anew.
    void divideColdRates(SteadyTime now);
    void extendCold(UpstreamState &upstream, SteadyTime until, SteadyTime now);

    // Reach of upstreams, in scheduler_reach.cpp.
    // Notes that the upstream has answered an attempt of the request.
    void noteAnswered(const RequestEntry &entry, UpstreamState &upstream, SteadyTime now);
    // Has an upstream whose connection failed, and a few others, probed.
    void probeAfterFailure(const UpstreamState &upstream, SteadyTime now);
    // Whether an upstream has answered this host just now, so that its links work.
    [[nodiscard]] bool anyAnswers(SteadyTime now) const;
    // Has a few others probed, so that a fault of this host's own links shows soon.
    void probeWitnesses(const UpstreamState &upstream, SteadyTime now);
    void onProbeFailed(UpstreamState &upstream, ProbeResult result, SteadyTime now);
    void takeCrashes(SteadyTime now);

    // Relaying to other hosts, in scheduler_relay.cpp.
    // Whether this host reaches no upstream of the pool that accepts work.
    [[nodiscard]] static bool unreachable(const Pool &pool);
    // Relays a request that no upstream takes to another host; returns whether there is one.
    [[nodiscard]] bool relay(Pool &pool, RequestEntry &entry, SteadyTime now);

    // Dispatch, in scheduler_dispatch.cpp.
    void requeueHeldBack(Pool &pool);
    void shedExpired(SteadyTime now);
    void shed(RequestEntry &entry);
    void dispatchSuspects(Pool &pool, SteadyTime now);
    void dispatchQueues(SteadyTime now);
    [[nodiscard]] bool dispatchNext(Pool &pool, SteadyTime now);
    [[nodiscard]] UpstreamState *chooseUpstream(const Pool &pool, const RequestEntry &entry, SteadyTime now);
    // Takes the next request out of the way of others if it has to wait for its software version; returns whether it stood in their way.
    [[nodiscard]] bool holdBackNext(Pool &pool, SteadyTime now);
    [[nodiscard]] static UpstreamState *freePreviousUpstream(const RequestEntry &entry);
    [[nodiscard]] static bool blockedByReserve(const Pool &pool, Tier tier, SteadyTime now);
    [[nodiscard]] bool dispatchByPreemption(Pool &pool, SteadyTime now);
    [[nodiscard]] bool shouldPreempt(const Pool &pool, Tier tier, SteadyTime now) const;
    [[nodiscard]] UpstreamState *preemptFor(Pool &pool, Tier tier, SteadyTime now);
    void dispatchPick(Pool &pool, const PoolQueue::Pick &pick, UpstreamState &upstream, SteadyTime now);
    void dispatch(Pool &pool, RequestEntry &entry, UpstreamState &upstream, SteadyTime now);
    void sendDueHedges(SteadyTime now);

    // Attempts, in scheduler_attempts.cpp.
    void startAttempt(RequestEntry &entry, UpstreamState &upstream, SteadyTime now);
    void endAttempt(RequestEntry &entry, UpstreamState &upstream, SteadyTime now);
    void removeFromRunning(RequestEntry &entry);
    void requeue(RequestEntry &entry);
    void erase(RequestEntry &entry, SteadyTime now);
    void scheduleHedge(RequestEntry &entry, SteadyTime now);
    void cancelHedge(RequestEntry &entry);
    void refundUnusedCharge(RequestEntry &entry);
    [[nodiscard]] AttemptResolution onFailure(RequestEntry &entry, UpstreamState &upstream, const AttemptFailed &failure, SteadyTime now);
    [[nodiscard]] AttemptResolution afterCrash(RequestEntry &entry, CrashClassification classification, bool answerStarted, SteadyTime now);
    [[nodiscard]] AttemptResolution retry(RequestEntry &entry, const AttemptFailed &failure, bool bypassBudget, SteadyTime now);
    void classifyCrash(UpstreamState &upstream, SteadyTime now);
    [[nodiscard]] bool saturated(const Pool &pool) const;

    SchedulerSettings m_settings;
    std::uint32_t m_hostIndex{0};
    ServiceTimes m_times;
    AdmissionControl m_admission;
    Router m_router;
    RetryBudget m_retries;
    // Budget for self-queueing pools, whose retries are limited across all hosts.
    RetryBudget m_poolRetries;
    CrashTracker m_crashes;
    // The same for self-queueing pools, whose upstreams also run the requests of other hosts.
    CrashEvidence m_evidence;
    BrokenAttempts m_broken;
    ConnectionProbes m_probes;
    UpstreamNotices m_notices;
    RelayTargets m_relays;
    FleetTurn m_turn;
    // The same over all hosts that may still send, so that parts of a fleet that don't hear each other keep the rate of a cold upstream together.
    FleetTurn m_coldTurn;
    // When the first paused upstream takes requests again.
    SteadyTime m_nextResume{SteadyTime::max()};
    DemandTracker m_demand;
    // Addresses are stable; a removed upstream is kept while attempts run on it.
    StringMap<UpstreamState> m_upstreams;
    StringMap<Pool> m_pools;
    // By pool, for those that have a cold phase.
    StringMap<ColdStart> m_coldStarts;
    StringMap<std::unique_ptr<RequestEntry>> m_requests;
    std::set<HedgeTimer> m_hedges;
    struct PeerWorkReport
    {
        std::vector<PeerWork> work;
        std::vector<EngineDemand> demand;
        SteadyTime at{};
    };

    // Latest report of each peer, included in the sums at the upstreams.
    StringMap<PeerWorkReport> m_peerWork;
    // A report expires after this time, as its sender has died or is cut off and its work is unknown.
    Milliseconds m_peerWorkTtl{4'000};
    // All upstreams by stableIdHash() of their id.
    std::unordered_map<std::uint64_t, UpstreamState *> m_upstreamsByIdHash;
    std::uint64_t m_nextSequence{0};
    std::uint64_t m_nextDispatch{0};
    SteadyTime m_lastStep{};
    SteadyTime m_nextCheck{};
    // Actions of the current step.
    std::vector<SchedulerAction> m_actions;
};

} // namespace guavafield
