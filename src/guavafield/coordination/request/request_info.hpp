// Input and output values of the scheduler: requests, actions, attempt results and reports of upstreams and peers.
#pragma once

#include <guavafield/coordination/request/limits/rate_limit.hpp>
#include <guavafield/coordination/request/placement/relay_targets.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/state/home_regions.hpp>
#include <guavafield/state/result.hpp>
#include <guavafield/state/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief Properties of a request that scheduling decisions depend on. */
struct RequestInfo
{
    // Unique within the host.
    RequestId id;
    TeamId team;
    std::string className;
    // Kind of request; upstreams of a plain service take a similar time for all requests of a kind.
    std::string kind;
    ModelId model;
    Tier tier{tierCount - 1};
    Milliseconds firstTokenTarget{};
    Milliseconds totalTarget{};
    // Longest pause between events of a stream that is in time; 0 means no target.
    Milliseconds gapTarget{};
    // Weight of the team in fair queueing; positive.
    double share{1.0};
    std::uint32_t promptTokens{0};
    // Limit given by the caller; 0 means none.
    std::uint32_t maxOutputTokens{0};
    // May be retried until the first byte is sent to the caller.
    bool repeatable{true};
    // Tokens are numbered, so that another upstream can continue the stream.
    bool resumable{false};
    // Hashes of the prompt's leading blocks, shortest prefix first.
    std::vector<std::uint64_t> prefixHashes;
    // Ids of the prompt's parts that other requests may share, in their order.
    std::vector<std::uint64_t> sharedParts;
    // Digest of team and body, keyed by the fleet secret.
    Digest fingerprint{};
    // Number of tokens of each prefix in prefixHashes, ascending; empty if unknown.
    std::vector<std::uint32_t> prefixTokens;
    // Priority for self-queueing engines; 0 is the highest.
    std::uint8_t enginePriority{0};
    // Maximum number of attempts that upstreams execute; 0 uses the scheduler's limit.
    std::uint32_t maxAttempts{0};
    // Software version that wrote the events which the caller has; only upstreams of this version may go on. Empty for a stream from its start.
    std::optional<SoftwareVersion> origin{};
    // Another host has relayed the request, so that it is not relayed once more.
    bool relayed{false};
    // Upstreams and other hosts must be in these regions.
    HomeRegions homes{};
};

/*! @brief The request is queued for an upstream. */
struct Queued
{
};

/*! @brief The request is refused, or ended without a further attempt. */
struct Refused
{
    ResultCode code{ResultCode::NoUpstream};
    // Delay after which a retry by the caller is likely to be admitted; includes jitter.
    Milliseconds retryAfter{1000};
};

using Admission = std::variant<Queued, Refused>;

/*! @brief Send the request to this upstream. */
struct DispatchAction
{
    RequestId request;
    UpstreamId upstream;
    // Priority passed to the engine; 0 is the highest.
    std::uint8_t enginePriority{0};
    // 1 for the first attempt.
    std::uint32_t attempt{1};
    // Engine to copy the prefix from; empty if no copy is needed.
    UpstreamId fetchFrom{};
    // Expected time to the first token.
    Milliseconds expected{0};
    // What the upstream takes from all hosts together, in requests per second, as far as known at the dispatch.
    double rateLimit{unlimitedRate};
    // Of the upstream, as its entry names it at the dispatch.
    SoftwareVersion softwareVersion{};
    Incarnation incarnation{0};
    // Another process than that of the entry may run it, since there is none at any upstream; the stream then can't go on elsewhere.
    bool anyProcess{false};
};

/*! @brief Refuse a queued request. */
struct ShedAction
{
    RequestId request;
    Refused refusal;
};

/*! @brief Relay the request to this host, since no upstream of its pool can be reached from here; the scheduler has forgotten it. */
struct RelayAction
{
    RequestId request;
    RelayTarget target;
    // Attempts that upstreams may still execute; 0 leaves that to the other host.
    std::uint32_t attemptsLeft{0};
};

/*! @brief Cancel the attempt at this upstream; the scheduler has already requeued the request. */
struct PreemptAction
{
    RequestId request;
    UpstreamId upstream;
    RetryReason reason{RetryReason::Preempted};
};

/*! @brief Send a second attempt to this upstream; the attempt that produces the first token wins, the other is cancelled. */
struct HedgeAction
{
    RequestId request;
    UpstreamId upstream;
    std::uint8_t enginePriority{0};
};

using SchedulerAction = std::variant<DispatchAction, ShedAction, RelayAction, PreemptAction, HedgeAction>;

/*! @brief The attempt completed successfully. */
struct AttemptCompleted
{
};
/*! @brief The attempt failed; the upstream may be down. */
struct AttemptFailed
{
    ResultCode code{ResultCode::UpstreamFailed};
    RetryReason reason{RetryReason::UpstreamError};
    // The upstream's process died while it ran the request.
    bool upstreamCrashed{false};
    // Output has been sent to the caller.
    bool answerStarted{false};
    // It is certain, e.g. stated by the upstream, that the request was not and will not be executed.
    bool notExecuted{false};
    // Bytes of an answer to this request have arrived.
    bool answered{false};
    // The upstream itself refused the request.
    bool rejected{false};
};
/*! @brief The caller disconnected or its key was withdrawn. */
struct AttemptAbandoned
{
};

using AttemptEnd = std::variant<AttemptCompleted, AttemptFailed, AttemptAbandoned>;

/*! @brief The request has ended; there are no further attempts. */
struct RequestDone
{
};
/*! @brief The request is queued again or another attempt still runs; a later step or event ends it. */
struct RetryQueued
{
};

using AttemptResolution = std::variant<RequestDone, RetryQueued, Refused>;

/*! @brief Load of an upstream as reported by itself. */
struct LoadReport
{
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
    double tokensPerSecond{0};
    // Fraction of the KV memory in use, 0 to 1.
    double kvUsed{0};
    // Age of the measurements when the report was received.
    Milliseconds age{0};
    bool leaving{false};
    // Changes on each restart of the upstream's process.
    Incarnation incarnation{0};
    // Factor on the time that work takes there now, 1 is normal; empty if the upstream does not report it.
    std::optional<double> slowdown{};
};

/*! @brief A change of an upstream's prefix cache. */
struct CacheEvent
{
    bool added{true};
    std::uint64_t prefixHash{0};
};

/*! @brief Recent service rate of a team on one host, in cost-weighted tokens per second. */
struct TeamDemand
{
    TeamId team;
    double tokensPerSecond{0};
};

/*! @brief Quarantine of a request that crashed upstreams. */
struct CrashRecord
{
    Digest fingerprint{};
    // Remaining time when the record was created or received.
    Milliseconds remaining{0};
};

} // namespace guavafield
