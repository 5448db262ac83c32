// Placement of requests on self-queueing upstreams.
#include <guavafield/coordination/request/placement/placement.hpp>

#include <guavafield/coordination/request/decaying_sum.hpp>
#include <guavafield/coordination/request/placement/stream_binding.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace guavafield {

namespace internal {

constexpr double initialTokensPerSecond = 50'000;
constexpr double minTokensPerSecond = 2'000;
constexpr double maxTokensPerSecond = 1'000'000;
constexpr double initialServiceSeconds = 0.02;
constexpr double initialMeanTokens = 2'000;
// Kinds of request of earlier configurations are forgotten with all others when there are more.
constexpr std::size_t maxKinds = 2'048;
constexpr double learningWeight = 0.05;
// Network and engine overhead before the first token; excluded when the prefill rate is learned.
constexpr double firstTokenOverheadSeconds = 0.03;
// Shorter prompts do not yield a meaningful prefill rate.
constexpr double minTokensToLearn = 1'000;
// A new upstream owns prefixes immediately, but is assumed to hold them only after this time of use by the fleet.
constexpr Milliseconds settleTime{10'000};
// Recomputing a prefix displaces other work and is charged for; both are counted as this multiple of the prefill time.
constexpr double recomputeFactor = 4;
// The same multiple for copying a prefix from another engine.
constexpr double fetchFactor = 1.2;
constexpr double fetchSetupSeconds = 0.01;
// Smaller prefixes are recomputed rather than copied.
constexpr double minTokensToFetch = 1'000;
// Fraction of a prefix that its holder is expected to lack if this host has not sent the prefix there itself.
constexpr double unconfirmedFraction = 0.15;
// Traffic between data centres is charged for.
constexpr double remoteDataCentreSeconds = 0.004;
constexpr double nonHolderPenaltySeconds = 0.06;
constexpr double saturationSeconds = 0.5;
// Each running request slightly slows down the others.
constexpr double runningSeconds = 0.002;
// Fraction of the prefill of lower-priority prompts that delays a higher-priority request.
constexpr double interferenceFraction = 0.5;
constexpr double failureSeconds = 0.3;
constexpr double latencyRatioWeight = 0.2;
constexpr double latencyRatioHalfLifeSeconds = 5;
constexpr double maxLatencyRatio = 8;
// Half-life of the weight given to a reported queue length.
constexpr double reportHalfLifeSeconds = 0.5;
// Upstreams whose costs differ by less are chosen by chance, so that hosts with the same reports do not choose alike.
constexpr double similarCosts = 0.05;

std::uint64_t mix(std::uint64_t value) noexcept
{
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

bool probeDue(const UpstreamState &upstream, SteadyTime now)
{
    return upstream.downSince && upstream.outlier.probeDue(now) && upstream.accepting() && upstream.outstanding() == 0;
}

void learn(double &value, double sample) noexcept
{
    value += learningWeight * (sample - value);
}

// Returns a fraction from 0 to 1 that differs between requests and between upstreams.
double fractionOf(std::uint64_t requestHash, std::uint64_t upstream) noexcept
{
    return static_cast<double>(mix(requestHash ^ upstream) >> 11U) * 0x1.0p-53;
}

// The ratio decays to 1 without new samples, so that a slow upstream is used again.
double decayedLatencyRatio(const UpstreamState &upstream, SteadyTime now)
{
    const double age = secondsBetween(upstream.latencyRatioTime, now);
    return 1 + (upstream.latencyRatio - 1) * std::exp2(-age / latencyRatioHalfLifeSeconds);
}

} // namespace internal

// FNV-1a, since std::hash may differ between hosts.
std::uint64_t stableIdHash(std::string_view id) noexcept
{
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    for (const char it : id) {
        hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001B3ULL;
    }
    return hash ^ (hash >> 29U);
}

std::uint64_t rendezvousWeight(std::uint64_t prefix, std::uint64_t upstream) noexcept
{
    return internal::mix(prefix ^ internal::mix(upstream));
}

Placement::Placement(DataCentreId localDataCentre, std::optional<EngineFacts> engine)
    : m_local(std::move(localDataCentre))
    , m_engine(engine)
    , m_tokensPerSecond(internal::initialTokensPerSecond)
    , m_serviceSeconds(internal::initialServiceSeconds)
    , m_meanTokens(internal::initialMeanTokens)
    , m_isolation(m_engine ? m_engine->tokensPerEvent : 0)
{
}

Placement::Prefix Placement::findPrefix(const PoolUpstreams &upstreams, const RequestEntry &entry, const EngineRange &range, SteadyTime now) const
{
    Prefix prefix;
    if (!m_engine || m_engine->linkMegabitsPerSecond <= 0 || entry.info.prefixHashes.empty() || entry.info.prefixTokens.empty()) {
        return prefix;
    }
    prefix.hash = entry.info.prefixHashes.back();
    prefix.tokens = entry.info.prefixTokens.back();
    // Engines of the range go first, whatever their weight.
    std::pair<bool, std::uint64_t> ownerWeight;
    std::pair<bool, std::uint64_t> holderWeight;
    upstreams.forEach([&](const UpstreamState &it) {
        if (!mayRunOn(entry, it)) {
            return;
        }
        const std::pair weight(range.contains(it.rank), rendezvousWeight(prefix.hash, it.idHash));
        if (it.usable() && (prefix.owner == nullptr || weight > ownerWeight)) {
            prefix.owner = &it;
            ownerWeight = weight;
        }
        const bool settled = !it.downSince && !it.evacuated && now - it.addedAt >= internal::settleTime;
        if (settled && (prefix.holder == nullptr || weight > holderWeight)) {
            prefix.holder = &it;
            holderWeight = weight;
        }
    });
    if (prefix.holder == nullptr) {
        prefix.holder = prefix.owner;
    }
    return prefix;
}

double Placement::indexedPrefixTokens(const UpstreamState &upstream, const PrefixIndex &prefixes, const RequestEntry &entry)
{
    const auto &hashes = entry.info.prefixHashes;
    const auto &tokens = entry.info.prefixTokens;
    for (std::size_t n = std::min(hashes.size(), tokens.size()); n > 0; --n) {
        const auto &holders = prefixes.holders(hashes[n - 1]);
        if (std::ranges::find(holders, &upstream) != holders.end()) {
            return tokens[n - 1];
        }
    }
    return 0;
}

double Placement::serviceSeconds(const std::string &kind) const
{
    const auto it = m_serviceSecondsByKind.find(kind);
    return it == m_serviceSecondsByKind.end() ? internal::initialServiceSeconds : it->second;
}

double Placement::occupancy(const UpstreamState &upstream, SteadyTime now)
{
    const double reported = upstream.outstanding() + upstream.peerRunning;
    if (!upstream.slowdown.known() || !upstream.reportTime) {
        return reported;
    }
    const double weight = std::exp2(-secondsBetween(*upstream.reportTime, now) / internal::reportHalfLifeSeconds);
    return upstream.outstanding() + weight * upstream.othersAtReport + (1 - weight) * upstream.peerRunning;
}

Placement::Contention Placement::contention(const UpstreamState &upstream, const RequestEntry &entry, SteadyTime now) const
{
    const double running = m_engine ? upstream.outstanding() + upstream.peerRunning : occupancy(upstream, now);
    const double slots = std::max(1U, upstream.upstream.slots);
    if (!m_engine) {
        const double queued = std::max(0.0, running + 1 - slots);
        return {m_serviceSeconds * queued / slots, m_serviceSeconds * internal::saturationSeconds * running / slots};
    }
    double tokens = upstream.peerWaitingTokens;
    double waiting = upstream.peerWaitingTokens / m_meanTokens;
    for (const auto *it : upstream.running) {
        if (!it->started()) {
            // Lower-priority prompts do not delay the first token, but increase the time between later ones.
            tokens += it->prefillTokens * (it->info.enginePriority <= entry.info.enginePriority ? 1 : internal::interferenceFraction);
            ++waiting;
        }
    }
    if (upstream.reportTime) {
        const double reportWeight = std::exp2(-secondsBetween(*upstream.reportTime, now) / internal::reportHalfLifeSeconds);
        tokens += std::max(0.0, upstream.report.waiting - waiting) * m_meanTokens * reportWeight;
    }
    const double saturation = running >= slots ? internal::saturationSeconds * (1 + running - slots) : 0;
    return {tokens / m_tokensPerSecond + saturation, internal::runningSeconds * running};
}

const UpstreamState *Placement::fetchSourceFor(const UpstreamState &upstream, double confirmedTokens, const PrefixIndex &prefixes, const RequestEntry &entry)
{
    const auto &hashes = entry.info.prefixHashes;
    const auto &tokens = entry.info.prefixTokens;
    for (std::size_t n = std::min(hashes.size(), tokens.size()); n > 0 && tokens[n - 1] >= confirmedTokens + internal::minTokensToFetch; --n) {
        for (const auto *it : prefixes.holders(hashes[n - 1])) {
            if (it != &upstream && !it->downSince && !it->evacuated && mayRunOn(entry, *it)) {
                return it;
            }
        }
    }
    return nullptr;
}

PlacementDecision Placement::choose(const PoolUpstreams &upstreams, const PrefixIndex &prefixes, const RequestEntry &entry, SteadyTime now) const
{
    const auto range = m_isolation.rangeFor(entry.info);
    const auto prefix = findPrefix(upstreams, entry, range, now);
    const bool probeAllowed = entry.info.repeatable && !entry.started();
    const double prompt = entry.info.promptTokens;
    const bool allReplaced = guavafield::allReplaced(upstreams);
    const auto requestHash = stableIdHash(entry.info.id);
    PlacementDecision best;
    double lowestCost = std::numeric_limits<double>::infinity();
    upstreams.forEach([&](UpstreamState &it) {
        const bool probe = probeAllowed && internal::probeDue(it, now);
        const bool takes = (it.usable() || probe) && it.withinRate(now, entry.info.enginePriority) && it.hasRoom(now) && !entry.hasTried(it.idHash);
        if (!takes || !mayRunOn(entry, it) || !mayBeginOn(entry, it, allReplaced)) {
            return;
        }
        const double confirmedTokens = indexedPrefixTokens(it, prefixes, entry);
        const double assumedTokens = &it == prefix.holder ? std::max(confirmedTokens, prefix.tokens) : confirmedTokens;
        const double missingTokens = prefix.tokens - assumedTokens;
        const bool fetch = prefix.holder != nullptr && prefix.holder != &it && missingTokens >= internal::minTokensToFetch;
        PlacementDecision decision{&it, fetch ? prefix.holder : fetchSourceFor(it, confirmedTokens, prefixes, entry), 0, 0};
        decision.tokens = std::max(0.0, prompt - prefix.tokens) + (fetch ? 0 : missingTokens);
        decision.tokens += &it == prefix.holder && decision.fetchFrom == nullptr ? internal::unconfirmedFraction * (assumedTokens - confirmedTokens) : 0;
        double penalty = 0;
        double copySeconds = 0;
        if (fetch) {
            copySeconds =
                internal::fetchSetupSeconds + missingTokens * static_cast<double>(m_engine->bytesPerToken) * 8 / (m_engine->linkMegabitsPerSecond * 1e6);
            // The owner needs the prefix in any case, so copying it there is free of a penalty.
            penalty = &it == prefix.owner ? 0 : internal::fetchFactor * missingTokens / m_tokensPerSecond;
        } else {
            penalty = internal::recomputeFactor * missingTokens / m_tokensPerSecond;
        }
        const auto others = contention(it, entry, now);
        decision.slowdown = it.slowdown.expected(now, m_slowdowns);
        const double latencyRatio = internal::decayedLatencyRatio(it, now) * decision.slowdown;
        const double slowdown = others.slowdown * latencyRatio;
        decision.queueSeconds = others.queue * latencyRatio;
        decision.seconds = decision.queueSeconds + decision.tokens / m_tokensPerSecond * latencyRatio + copySeconds;
        decision.seconds += m_engine ? slowdown + internal::firstTokenOverheadSeconds : serviceSeconds(entry.info.kind) * decision.slowdown;
        const double remote = it.upstream.dataCentre == m_local ? 0 : internal::remoteDataCentreSeconds;
        // Prefix copies known only to this host should not move requests away from the holder that all hosts agree on.
        const bool exemptFromPenalty = prefix.holder == nullptr || prefix.holder == &it || prefix.tokens < internal::minTokensToFetch;
        const double nonHolderPenalty = exemptFromPenalty ? 0 : internal::nonHolderPenaltySeconds;
        const double rangePenalty = range.contains(it.rank) ? 0 : range.penaltySeconds;
        double cost = decision.seconds + penalty + remote + nonHolderPenalty + rangePenalty + internal::failureSeconds * it.failures.valueAt(now);
        // A plain service is only assumed to become slower, so that its upstreams are used evenly.
        cost += m_engine ? 0 : slowdown;
        if (it.slowdown.known()) {
            cost *= 1 + internal::similarCosts * internal::fractionOf(requestHash, it.idHash);
        }
        if (probe || cost < lowestCost) {
            best = decision;
            lowestCost = probe ? -1 : cost;
        }
    });
    return best;
}

void Placement::onLoadReport(UpstreamState &upstream, const LoadReport &report, SteadyTime now) noexcept
{
    if (report.slowdown) {
        upstream.slowdown.onSample(*report.slowdown, now - report.age, m_slowdowns);
    }
}

void Placement::onDispatch(const RequestEntry &entry, SteadyTime now)
{
    if (m_engine) {
        m_isolation.onDispatch(entry.info, entry.prefillTokens / m_tokensPerSecond, now);
        m_isolation.update(m_tokensPerSecond, now);
    }
}

void Placement::onEnded(const RequestEntry &entry, const UpstreamState &upstream, SteadyTime dispatched, SteadyTime now)
{
    if (m_engine) {
        m_isolation.onEnded(entry.info, secondsBetween(dispatched, now), 1.0 / std::max(1U, upstream.upstream.slots), now);
    }
}

void Placement::learnServiceTime(const std::string &kind, double seconds)
{
    internal::learn(m_serviceSeconds, seconds);
    if (m_serviceSecondsByKind.size() >= internal::maxKinds && !m_serviceSecondsByKind.contains(kind)) {
        m_serviceSecondsByKind.clear();
    }
    internal::learn(m_serviceSecondsByKind.try_emplace(kind, internal::initialServiceSeconds).first->second, seconds);
}

void Placement::onFirstToken(const RequestEntry &entry, UpstreamState &upstream, double seconds, SteadyTime now)
{
    if (entry.expectedSeconds > 0) {
        const double ratio = std::clamp(seconds / entry.expectedSeconds, 0.25, internal::maxLatencyRatio);
        const double before = internal::decayedLatencyRatio(upstream, now);
        upstream.latencyRatio = std::max(1.0, before + internal::latencyRatioWeight * (ratio - before));
        upstream.latencyRatioTime = now;
    }
    if (!m_engine) {
        // What arrives later than the deadline was held up by a pause of this host.
        const double allowed = std::max(0.0, seconds - secondsBetween(entry.deadline, now));
        learnServiceTime(entry.info.kind, std::min(seconds, allowed) / entry.slowdown);
        return;
    }
    internal::learn(m_meanTokens, std::max(1.0, entry.prefillTokens));
    const double prefillSeconds = seconds - internal::firstTokenOverheadSeconds;
    if (entry.dispatchedToIdle && entry.prefillTokens >= internal::minTokensToLearn && prefillSeconds > 0) {
        internal::learn(m_tokensPerSecond, std::clamp(entry.prefillTokens / prefillSeconds, internal::minTokensPerSecond, internal::maxTokensPerSecond));
    }
}

} // namespace guavafield
