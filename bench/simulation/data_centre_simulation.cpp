// Event loop and callers of a simulated data centre.
#include <bench/simulation/data_centre_simulation.hpp>

#include <algorithm>
#include <cstring>
#include <tuple>

namespace guavafield::bench {

namespace internal {

constexpr Milliseconds tick{10};
constexpr Milliseconds reportInterval{500};
constexpr Milliseconds gossipInterval{1000};
constexpr Milliseconds gossipDelay{200};
constexpr Milliseconds engineRestartTime{10'000};
constexpr Milliseconds resubmissionDelay{500};
// A refusal counts as avoidable according to the work offered within this window.
constexpr Milliseconds offeredWorkWindow{10'000};
// Fraction of the capacity outside the floors of the three lower tiers.
constexpr double unreservedCapacity = 0.94;
constexpr std::size_t maxGossipedTeams = 16;

Digest makeFingerprint(std::size_t team, std::uint64_t body)
{
    Digest digest{};
    std::memcpy(digest.data(), &team, sizeof(team));
    std::memcpy(digest.data() + sizeof(team), &body, sizeof(body));
    return digest;
}

} // namespace internal

DataCentreSimulation::DataCentreSimulation(const Workload &workload, const Scenario &scenario, PolicyKind policy, std::string dataCentre, std::uint64_t seed)
    : m_workload(workload)
    , m_scenario(scenario)
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
    , m_configuration(makeConfiguration(workload, m_dataCentre))
    , m_arrivals(generateArrivals(workload, scenario, seed))
{
    for (std::uint32_t n = 0; n < workload.hosts; ++n) {
        auto &host = m_hosts.emplace_back(policy, SchedulerSettings{m_dataCentre, workload.hosts, m_random.next()});
        host.apply([&](auto &it) {
            it.setHostsInDataCentre(workload.hosts, now(), n);
            it.applyConfiguration(m_configuration, now());
        });
    }
    m_needsStep.assign(workload.hosts, true);
    auto upstream = m_configuration.upstreams.begin();
    for (const auto &kind : workload.engines) {
        for (std::uint32_t n = 0; n < kind.count; ++n, ++upstream) {
            m_engines.emplace_back(upstream->second, kind);
        }
    }
    scheduleEvents();
}

void DataCentreSimulation::at(Milliseconds time, std::function<void()> action)
{
    m_events.emplace(time, std::move(action));
}

void DataCentreSimulation::scheduleEvents()
{
    for (auto time = internal::reportInterval; time < m_scenario.duration; time += internal::reportInterval) {
        at(time, [this] { sendLoadReports(); });
    }
    for (auto time = internal::gossipInterval; time < m_scenario.duration; time += internal::gossipInterval) {
        at(time, [this] { sendGossip(); });
    }
    scheduleFaults();
}

void DataCentreSimulation::scheduleFaults()
{
    if (m_scenario.slowEngine >= 0) {
        auto &engine = m_engines.at(static_cast<std::size_t>(m_scenario.slowEngine));
        at(m_scenario.slowFrom, [this, &engine] { engine.setSlowdown(m_scenario.slowFactor); });
        at(m_scenario.slowTo, [&engine] { engine.setSlowdown(1); });
    }
    if (!m_scenario.reclaimZone.empty()) {
        scheduleReclaim();
    }
    if (!m_scenario.crashTeam.empty()) {
        scheduleCrashingRequest();
    }
}

void DataCentreSimulation::scheduleReclaim()
{
    for (std::size_t n = 0; n < m_engines.size(); ++n) {
        if (m_engines[n].upstream().zone != m_scenario.reclaimZone) {
            continue;
        }
        const auto id = m_engines[n].upstream().id;
        at(m_scenario.reclaimAt, [this, id] {
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                m_hosts[host].apply([&](auto &it) { it.onUpstreamLeaving(id, m_scenario.reclaimNotice, now()); });
                m_needsStep[host] = true;
            }
        });
        at(m_scenario.reclaimAt + m_scenario.reclaimNotice, [this, n] { failEngine(n, false); });
        at(m_scenario.reclaimBack, [this, n] {
            m_engines[n].start();
            for (auto &host : m_hosts) {
                host.apply([&](auto &it) { it.applyConfiguration(m_configuration, now()); });
            }
        });
    }
}

void DataCentreSimulation::scheduleCrashingRequest()
{
    at(m_scenario.crashAt, [this] {
        const auto team = std::ranges::find(m_workload.teams, m_scenario.crashTeam, &TeamLoad::name);
        Arrival arrival;
        arrival.time = m_now;
        arrival.team = static_cast<std::size_t>(team - m_workload.teams.begin());
        arrival.kind = team->parts.front().kind;
        arrival.host = m_random.below(m_hosts.size());
        arrival.promptTokens = 500;
        arrival.outputTokens = 100;
        arrival.crashesEngine = true;
        submit(arrival, 0);
    });
}

void DataCentreSimulation::run(RunMetrics &metrics, FairShareAccounting &shares)
{
    // Requests in flight at the end of the scenario are given time to finish.
    const auto drainDeadline = m_scenario.duration + Milliseconds{120'000};
    for (; m_now < drainDeadline; m_now += internal::tick) {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        submitArrivals();
        stepHosts();
        advanceEngines();
        abandonTimedOutCalls();
        if (m_now > m_scenario.duration && m_callTimeouts.empty()) {
            break;
        }
    }
    collectMetrics(metrics, shares);
}

void DataCentreSimulation::submitArrivals()
{
    for (; m_nextArrival < m_arrivals.size() && m_arrivals[m_nextArrival].time <= m_now; ++m_nextArrival) {
        submit(std::move(m_arrivals[m_nextArrival]), 0);
    }
}

RequestInfo DataCentreSimulation::makeRequestInfo(const Call &call) const
{
    const auto &kind = kindOf(call);
    const auto &team = m_workload.teams[call.arrival.team];
    RequestInfo info;
    info.id = call.id;
    info.team = team.name;
    info.className = kind.name;
    info.model = workloadModel;
    info.tier = kind.tier;
    info.firstTokenTarget = kind.firstTokenTarget;
    info.totalTarget = kind.totalTarget;
    info.share = team.share;
    info.promptTokens = call.arrival.promptTokens;
    info.maxOutputTokens = kind.maxOutput;
    info.resumable = kind.resumable;
    info.prefixHashes = call.arrival.prefixes;
    const auto body = call.arrival.crashesEngine ? 0 : static_cast<std::uint64_t>(m_calls.size());
    info.fingerprint = internal::makeFingerprint(call.arrival.team, body);
    return info;
}

void DataCentreSimulation::recordOfferedWork(const Call &call)
{
    const auto tier = kindOf(call).tier;
    const double work = referenceSlotSeconds(m_workload, call.arrival.promptTokens, call.arrival.outputTokens);
    m_offeredWork.emplace_back(m_now, tier, work);
    m_offeredWorkByTier[tier] += work;
    while (std::get<0>(m_offeredWork.front()) <= m_now - internal::offeredWorkWindow) {
        m_offeredWorkByTier[std::get<1>(m_offeredWork.front())] -= std::get<2>(m_offeredWork.front());
        m_offeredWork.pop_front();
    }
}

bool DataCentreSimulation::fitsUnreservedCapacity(Tier tier)
{
    double offered = 0;
    for (Tier it = 0; it <= tier; ++it) {
        offered += m_offeredWorkByTier[it];
    }
    double slots = 0;
    for (const auto &it : m_engines) {
        slots += it.up() ? it.kind().slots : 0;
    }
    const double window = std::chrono::duration<double>(internal::offeredWorkWindow).count();
    return offered <= internal::unreservedCapacity * slots * window;
}

void DataCentreSimulation::submit(Arrival arrival, std::uint32_t resubmissions)
{
    auto &call = m_calls.emplace_back();
    call.id = std::to_string(m_calls.size() - 1);
    call.arrival = std::move(arrival);
    call.resubmissions = resubmissions;
    recordOfferedWork(call);
    const auto admission = m_hosts[call.arrival.host].apply([&](auto &it) { return it.submit(makeRequestInfo(call), now()); });
    m_needsStep[call.arrival.host] = true;
    if (const auto *refusal = std::get_if<Refused>(&admission)) {
        call.avoidablyRefused = refusal->code != ResultCode::CrashSuspectRefused && fitsUnreservedCapacity(kindOf(call).tier);
        recordRefusal(call, State::Refused, *refusal);
        return;
    }
    call.admitted = true;
    const auto patience = kindOf(call).totalTarget.count() * m_workload.patience;
    m_callTimeouts.emplace(m_now + Milliseconds{static_cast<std::int64_t>(patience)}, m_calls.size() - 1);
}

void DataCentreSimulation::recordRefusal(Call &call, State state, const Refused &refusal)
{
    call.state = state;
    call.end = m_now;
    ++m_refusals[static_cast<unsigned>(refusal.code)];
    m_falseSuspectRefusals += !call.arrival.crashesEngine && refusal.code == ResultCode::CrashSuspectRefused ? 1 : 0;
    scheduleResubmission(call);
}

void DataCentreSimulation::scheduleResubmission(const Call &call)
{
    if (!call.arrival.crashesEngine || call.resubmissions >= m_scenario.crashRepeats) {
        return;
    }
    at(m_now + internal::resubmissionDelay, [this, arrival = call.arrival, resubmissions = call.resubmissions + 1]() mutable {
        arrival.time = m_now;
        arrival.host = m_random.below(m_hosts.size());
        submit(arrival, resubmissions);
    });
}

void DataCentreSimulation::advanceEngines()
{
    std::vector<EngineEvent> events;
    for (std::size_t n = 0; n < m_engines.size(); ++n) {
        events.clear();
        const bool alive = m_engines[n].advance(std::chrono::duration<double>(internal::tick).count(), events);
        for (const auto &it : events) {
            onEngineEvent(n, it);
        }
        if (!alive) {
            ++m_engineCrashes;
            failEngine(n, true);
            at(m_now + internal::engineRestartTime, [this, n] { m_engines[n].start(); });
        }
    }
}

void DataCentreSimulation::onEngineEvent(std::size_t engine, const EngineEvent &event)
{
    auto &call = m_calls[event.request];
    call.computedPrompt += event.prefilledTokens;
    call.computedOutput += event.tokens;
    if (m_engines[engine].upstream().kind == UpstreamKind::Cheap) {
        call.cheapOutput += event.tokens;
    }
    if (event.tokens == 0 || std::ranges::find(call.engines, engine) == call.engines.end()) {
        return;
    }
    auto &host = m_hosts[call.arrival.host];
    if (call.engines.size() > 1) {
        const auto other = call.engines[0] == engine ? call.engines[1] : call.engines[0];
        cancelAttempt(call, other);
    }
    if (call.firstToken < Milliseconds{0}) {
        call.firstToken = m_now;
    }
    if (call.computedPromptAtFirstToken < 0) {
        call.computedPromptAtFirstToken = call.computedPrompt;
    }
    host.apply([&](auto &it) {
        if (call.state == State::Waiting) {
            std::ignore = it.onFirstToken(call.id, m_engines[engine].upstream().id, now());
        }
        it.onTokens(call.id, event.tokens, now());
    });
    call.state = State::Running;
    call.delivered += event.tokens;
    if (event.finished) {
        const auto resolution = host.apply([&](auto &it) { return it.onAttemptEnded(call.id, m_engines[engine].upstream().id, AttemptCompleted{}, now()); });
        m_needsStep[call.arrival.host] = true;
        call.engines.clear();
        finishCall(call, std::holds_alternative<RequestDone>(resolution) ? State::Done : State::Failed);
    }
}

void DataCentreSimulation::finishCall(Call &call, State state)
{
    const auto &kind = kindOf(call);
    call.end = m_now + internal::tick;
    const bool withinTargets =
        call.firstToken + internal::tick - call.arrival.time <= kind.firstTokenTarget && call.end - call.arrival.time <= kind.totalTarget;
    call.state = state == State::Done && !withinTargets ? State::Late : state;
}

void DataCentreSimulation::failEngine(std::size_t engine, bool crashed)
{
    for (const auto request : m_engines[engine].stop()) {
        failAttempt(m_calls[request], engine, true, crashed);
    }
}

void DataCentreSimulation::failAttempt(Call &call, std::size_t engine, bool connected, bool crashed)
{
    std::erase(call.engines, engine);
    AttemptFailed failure{ResultCode::UpstreamFailed, RetryReason::UpstreamCrashed, crashed, call.delivered > 0};
    if (!connected) {
        failure.code = ResultCode::UpstreamUnreachable;
        failure.reason = RetryReason::ConnectFailed;
    }
    const auto &upstream = m_engines[engine].upstream().id;
    const auto resolution = m_hosts[call.arrival.host].apply([&](auto &it) { return it.onAttemptEnded(call.id, upstream, failure, now()); });
    m_needsStep[call.arrival.host] = true;
    if (const auto *refusal = std::get_if<Refused>(&resolution)) {
        recordRefusal(call, State::Failed, *refusal);
    } else if (std::holds_alternative<RetryQueued>(resolution)) {
        call.state = State::Waiting;
        ++m_retries;
    } else {
        finishCall(call, State::Failed);
    }
}

void DataCentreSimulation::cancelAttempt(Call &call, std::size_t engine)
{
    m_engines[engine].cancel(static_cast<std::size_t>(std::stoul(call.id)));
    std::erase(call.engines, engine);
}

void DataCentreSimulation::abandonTimedOutCalls()
{
    while (!m_callTimeouts.empty() && m_callTimeouts.begin()->first <= m_now) {
        auto &call = m_calls[m_callTimeouts.begin()->second];
        m_callTimeouts.erase(m_callTimeouts.begin());
        if (call.state != State::Waiting && call.state != State::Running) {
            continue;
        }
        auto &host = m_hosts[call.arrival.host];
        if (call.engines.empty()) {
            host.apply([&](auto &it) { it.cancel(call.id, now()); });
        } else {
            const auto &upstream = m_engines[call.engines.front()].upstream().id;
            (void)host.apply([&](auto &it) { return it.onAttemptEnded(call.id, upstream, AttemptAbandoned{}, now()); });
        }
        while (!call.engines.empty()) {
            cancelAttempt(call, call.engines.front());
        }
        m_needsStep[call.arrival.host] = true;
        call.state = State::Abandoned;
    }
}

void DataCentreSimulation::stepHosts()
{
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        const auto wakeup = m_hosts[n].apply([](auto &it) { return it.nextWakeup(); });
        if (!m_needsStep[n] && (!wakeup || *wakeup > now())) {
            continue;
        }
        m_needsStep[n] = false;
        const auto actions = m_hosts[n].apply([&](auto &it) { return it.step(now()); });
        for (const auto &it : actions) {
            perform(n, it);
        }
    }
}

void DataCentreSimulation::perform(std::size_t host, const SchedulerAction &action)
{
    auto &call = m_calls[std::stoul(std::visit([](const auto &it) { return it.request; }, action))];
    if (const auto *dispatch = std::get_if<DispatchAction>(&action)) {
        startAttempt(call, dispatch->upstream, dispatch->enginePriority);
    } else if (const auto *hedge = std::get_if<HedgeAction>(&action)) {
        ++m_hedges;
        startAttempt(call, hedge->upstream, hedge->enginePriority);
    } else if (const auto *preempt = std::get_if<PreemptAction>(&action)) {
        ++m_preemptions;
        cancelAttempt(call, engineIndex(preempt->upstream));
        call.state = State::Waiting;
    } else if (const auto *shed = std::get_if<ShedAction>(&action)) {
        recordRefusal(call, State::Shed, shed->refusal);
    }
    m_needsStep[host] = m_needsStep[host] || std::holds_alternative<PreemptAction>(action);
}

void DataCentreSimulation::startAttempt(Call &call, std::string_view upstream, std::uint8_t priority)
{
    const auto engine = engineIndex(upstream);
    ++call.attempts;
    call.engines.push_back(engine);
    if (!m_engines[engine].up()) {
        failAttempt(call, engine, false, false);
        return;
    }
    EngineAttempt attempt;
    attempt.request = std::stoul(call.id);
    attempt.priority = priority;
    attempt.remainingPrefill = call.arrival.promptTokens + call.delivered;
    attempt.position = call.delivered;
    attempt.outputTokens = call.arrival.outputTokens;
    attempt.crashesEngine = call.arrival.crashesEngine;
    m_engines[engine].add(attempt, call.arrival.prefixes, tokensPerBlock);
}

std::size_t DataCentreSimulation::engineIndex(std::string_view upstream) const
{
    const auto it = std::ranges::find(m_engines, upstream, [](const Engine &engine) { return std::string_view(engine.upstream().id); });
    return static_cast<std::size_t>(it - m_engines.begin());
}

void DataCentreSimulation::sendLoadReports()
{
    const auto lag = m_scenario.reportLag;
    for (auto &engine : m_engines) {
        if (!engine.up()) {
            continue;
        }
        auto report = engine.report();
        report.age = lag;
        at(m_now + lag, [this, id = engine.upstream().id, report, events = engine.takeCacheEvents()] {
            for (auto &host : m_hosts) {
                host.apply([&](auto &it) {
                    it.onLoadReport(id, report, now());
                    it.onCacheEvents(id, events, now());
                });
            }
        });
    }
}

void DataCentreSimulation::sendGossip()
{
    for (std::size_t from = 0; from < m_hosts.size(); ++from) {
        const auto demand = m_hosts[from].apply([&](auto &it) { return it.localDemand(internal::maxGossipedTeams, now()); });
        const auto records = m_hosts[from].apply([&](auto &it) { return it.crashRecords(now()); });
        at(m_now + internal::gossipDelay, [this, from, demand, records] {
            for (std::size_t to = 0; to < m_hosts.size(); ++to) {
                if (to == from) {
                    continue;
                }
                m_hosts[to].apply([&](auto &it) {
                    it.onPeerDemand("h" + std::to_string(from), demand, internal::gossipDelay, now());
                    for (const auto &record : records) {
                        it.onCrashRecord(record, now());
                    }
                });
            }
        });
    }
}

void DataCentreSimulation::collectMetrics(RunMetrics &metrics, FairShareAccounting &shares) const
{
    for (const auto &call : m_calls) {
        const auto &kind = kindOf(call);
        const double output = call.arrival.outputTokens;
        const bool metTargets = call.state == State::Done;
        const bool complete = metTargets || call.state == State::Late;
        if (!call.arrival.crashesEngine) {
            auto &counts = metrics.classes[kind.name];
            ++counts.offered;
            counts.admitted += call.admitted ? 1 : 0;
            counts.avoidableRefusals += call.avoidablyRefused ? 1 : 0;
            counts.metTargets += metTargets ? 1 : 0;
            counts.late += call.state == State::Late ? 1 : 0;
            counts.lateFirstToken += call.state == State::Late && call.firstToken + internal::tick - call.arrival.time > kind.firstTokenTarget ? 1 : 0;
            counts.shed += call.state == State::Shed ? 1 : 0;
            counts.failed += call.state == State::Failed ? 1 : 0;
            counts.abandoned += call.state == State::Abandoned ? 1 : 0;
            const double tokens = output + 0.1 * call.arrival.promptTokens;
            shares.add(m_dataCentre, call.arrival.time, call.arrival.team, kind.tier, tokens, metTargets ? tokens : 0);
        }
        const double computed = call.computedPrompt + call.computedOutput;
        metrics.goodTokens += metTargets ? output : 0;
        metrics.lateTokens += call.state == State::Late ? output : 0;
        metrics.value += metTargets ? kind.value : 0;
        metrics.computedTokens += computed;
        metrics.wastedTokens += complete ? computed - output - std::max(0.0, call.computedPromptAtFirstToken) : computed;
        metrics.outputTokens += call.computedOutput;
        metrics.cheapTokens += call.cheapOutput;
    }
    const double seconds = std::chrono::duration<double>(m_scenario.duration).count();
    for (const auto &it : m_engines) {
        metrics.cost += it.kind().costPerHour * seconds / 3600;
    }
    for (const auto &[code, count] : m_refusals) {
        metrics.refusals[code] += count;
    }
    metrics.preemptions += m_preemptions;
    metrics.hedges += m_hedges;
    metrics.retries += m_retries;
    metrics.engineCrashes += m_engineCrashes;
    metrics.falseSuspectRefusals += m_falseSuspectRefusals;
}

} // namespace guavafield::bench
