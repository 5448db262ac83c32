// Values that describe a request, an upstream's report and a peer's demand to the scheduler.
#pragma once

#include <guavafield/state/counters.hpp>
#include <guavafield/state/result.hpp>
#include <guavafield/state/types.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief All that the decisions need to know of a request for a model. */
struct RequestInfo
{
    // Unique within the host.
    RequestId id;
    TeamId team;
    std::string className;
    ModelId model;
    Tier tier{tierCount - 1};
    Milliseconds firstTokenTarget{};
    Milliseconds totalTarget{};
    // Weight of the team; positive.
    double share{1.0};
    std::uint32_t promptTokens{0};
    // Limit given by the caller; 0 means none.
    std::uint32_t maxOutputTokens{0};
    // May be sent again before the first byte went to the caller.
    bool repeatable{true};
    // Streamed with token numbers, so that another upstream can continue it.
    bool resumable{false};
    // Hashes of the prompt's leading blocks, shortest prefix first.
    std::vector<std::uint64_t> prefixHashes;
    // Digest of team and body, keyed by the fleet secret.
    Digest fingerprint{};
    // Tokens of each prefix of prefixHashes, rising; empty if they are not known.
    std::vector<std::uint32_t> prefixTokens;
    // For engines that queue by priority themselves; 0 is the highest.
    std::uint8_t enginePriority{0};
    // Upstreams that the request may run on; 0 leaves the bound to the scheduler.
    std::uint32_t maxAttempts{0};
};

/*! @brief The request waits for an upstream. */
struct Queued
{
};

/*! @brief The request is not run, or not any further. */
struct Refused
{
    ResultCode code{ResultCode::NoUpstream};
    // When a repeat is likely to be admitted; includes jitter.
    Milliseconds retryAfter{1000};
};

using Admission = std::variant<Queued, Refused>;

/*! @brief Send the request to this upstream. */
struct DispatchAction
{
    RequestId request;
    UpstreamId upstream;
    // For the engine; 0 is the highest.
    std::uint8_t enginePriority{0};
    // 1 for the first attempt.
    std::uint32_t attempt{1};
    // Engine from which the upstream should copy the prefix; empty if it need not.
    UpstreamId fetchFrom{};
    // Expected time to the first token.
    Milliseconds expected{0};
};

/*! @brief Refuse a request that waits in the queue. */
struct ShedAction
{
    RequestId request;
    Refused refusal;
};

/*! @brief Cancel the attempt at this upstream; the scheduler has queued the request again. */
struct PreemptAction
{
    RequestId request;
    UpstreamId upstream;
    RetryReason reason{RetryReason::Preempted};
};

/*! @brief Send a second attempt to this upstream; the first to give a token wins and the other is cancelled. */
struct HedgeAction
{
    RequestId request;
    UpstreamId upstream;
    std::uint8_t enginePriority{0};
};

using SchedulerAction = std::variant<DispatchAction, ShedAction, PreemptAction, HedgeAction>;

/*! @brief How an attempt ended. */
struct AttemptCompleted
{
};
/*! @brief The attempt failed; the upstream itself may be down. */
struct AttemptFailed
{
    ResultCode code{ResultCode::UpstreamFailed};
    RetryReason reason{RetryReason::UpstreamError};
    // The upstream's process died with the request on it.
    bool upstreamCrashed{false};
    // Bytes have gone to the caller.
    bool answerStarted{false};
    // The upstream said, or it is certain otherwise, that it did not run the request and will not.
    bool notExecuted{false};
};
/*! @brief The caller went away or its key was withdrawn. */
struct AttemptAbandoned
{
};

using AttemptEnd = std::variant<AttemptCompleted, AttemptFailed, AttemptAbandoned>;

/*! @brief What follows the end of an attempt. */
struct RequestDone
{
};
/*! @brief The request waits again and will be dispatched or shed by a later step. */
struct RetryQueued
{
};

using AttemptResolution = std::variant<RequestDone, RetryQueued, Refused>;

/*! @brief An upstream's own report of its load. */
struct LoadReport
{
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
    double tokensPerSecond{0};
    // Share of the KV memory in use, 0 to 1.
    double kvUsed{0};
    // Age of the figures when the report was received.
    Milliseconds age{0};
    bool leaving{false};
    // Changes when the upstream's process restarts.
    Incarnation incarnation{0};
};

/*! @brief A change of an upstream's prefix cache. */
struct CacheEvent
{
    bool added{true};
    std::uint64_t prefixHash{0};
};

/*! @brief Service that a host gave a team lately, in cost-weighted tokens a second. */
struct TeamDemand
{
    TeamId team;
    double tokensPerSecond{0};
};

/*! @brief A request that crashed upstreams and is refused for a time. */
struct CrashRecord
{
    Digest fingerprint{};
    // Time left when the record was made or received.
    Milliseconds remaining{0};
};

} // namespace guavafield
