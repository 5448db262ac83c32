// State of a request in the scheduler, from admission to completion.
#pragma once

#include <guavafield/coordination/request/request_info.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace guavafield {

struct UpstreamState;

/*! @brief One attempt to run a request on an upstream. */
struct Attempt
{
    UpstreamState *upstream{nullptr};
    SteadyTime dispatched{};
    // Of the upstream at the dispatch; its entry may name another process later.
    Incarnation incarnation{0};
    SoftwareVersion softwareVersion{};
    // Of the first token; empty before.
    std::optional<SteadyTime> answerBegan{};
    // The process that runs it has named itself as this incarnation.
    bool identified{false};
    // It was sent though another process than that of the entry may run it.
    bool anyProcess{false};
    // The answer has gone on for longer than CrashEvidence::answerBeginning.
    bool survived{false};
};

/*! @brief Classification of a request that was running on a crashed upstream. */
enum class CrashClassification : std::uint8_t {
    None,
    Unrelated,
    Suspect,
    Quarantined,
};

/*! @brief A queued or running request. */
struct RequestEntry
{
    RequestInfo info;
    // Submission order; unique.
    std::uint64_t sequence{0};
    SteadyTime submitted{};
    SteadyTime deadline{};
    // Latest start time that still meets the targets.
    SteadyTime latestStart{};
    // One or two while running; empty while queued.
    std::vector<Attempt> attempts;
    std::uint32_t attemptsMade{0};
    std::uint32_t deliveredTokens{0};
    SteadyTime lastTokens{};
    bool queued{false};
    // Has run before and precedes other requests of its tier.
    bool requeued{false};
    // Upstream that last ran the request and may still cache its prompt; null if there is none.
    UpstreamState *previousUpstream{nullptr};
    // Until this time, a requeued request waits for its previous upstream.
    SteadyTime waitsForPreviousUntil{};
    // Whether the floor of its tier dispatched the request.
    bool byFloor{false};
    bool suspect{false};
    CrashClassification crashClassification{CrashClassification::None};

    // Cost-weighted tokens: expected in total, charged to the team so far, and used so far.
    double expectedCost{0};
    double charged{0};
    double used{0};
    // Software version that wrote the events which the caller has, be they of this answer or of an earlier one; empty if there are none.
    std::optional<SoftwareVersion> origin;
    // The process that wrote the events is not known for certain, so that no upstream may go on with the stream.
    bool originUncertain{false};
    // Expected remaining slot time in seconds.
    double work{0};
    // Dispatch order; set on dispatch.
    std::uint64_t dispatchSequence{0};
    // When the hedge is due; valid only while hedgePlanned is set.
    SteadyTime hedgeAt{};
    bool hedgePlanned{false};
    // Failure of the last attempt; reported if the request is shed because no upstream becomes available.
    std::optional<ResultCode> lastFailure{};

    // The following members are used for self-queueing pools only.
    // Attempts that an upstream may have executed.
    std::uint32_t attemptsRun{0};
    // Hashes of the ids of all upstreams tried so far.
    std::vector<std::uint64_t> tried;
    // Prompt tokens that the running attempt has to prefill, and its expected time to the first token.
    double prefillTokens{0};
    double expectedSeconds{0};
    // Slowdown of the upstream that was expected at the dispatch.
    double slowdown{1};
    // Whether the upstream was idle when the running attempt was sent.
    bool dispatchedToIdle{false};

    /*! @brief Whether tokens have arrived, in which case the caller may have received output. */
    [[nodiscard]] bool started() const noexcept
    {
        return deliveredTokens > 0;
    }
    /*! @brief Whether only upstreams of one software version may run the request, as the caller has events of it. */
    [[nodiscard]] bool bound() const noexcept
    {
        return originUncertain || origin.has_value();
    }
    /*! @brief Whether an upstream, by the hash of its id, has been tried; always false for pools that this host queues for. */
    [[nodiscard]] bool hasTried(std::uint64_t idHash) const noexcept
    {
        return std::ranges::find(tried, idHash) != tried.end();
    }
    /*! @brief Whether the request can be moved to another upstream. */
    [[nodiscard]] bool migratable() const noexcept
    {
        return started() ? info.resumable : info.repeatable;
    }
};

/*! @brief Orders by deadline, then by submission. */
struct ByDeadline
{
    [[nodiscard]] bool operator()(const RequestEntry *left, const RequestEntry *right) const noexcept
    {
        return left->deadline != right->deadline ? left->deadline < right->deadline : left->sequence < right->sequence;
    }
};

/*! @brief Orders by latest start time, then by submission. */
struct ByLatestStart
{
    [[nodiscard]] bool operator()(const RequestEntry *left, const RequestEntry *right) const noexcept
    {
        return left->latestStart != right->latestStart ? left->latestStart < right->latestStart : left->sequence < right->sequence;
    }
};

/*! @brief Orders running requests for preemption: lowest tier first, then most recent dispatch. */
struct ByPreemption
{
    [[nodiscard]] bool operator()(const RequestEntry *left, const RequestEntry *right) const noexcept
    {
        return left->info.tier != right->info.tier ? left->info.tier > right->info.tier : left->dispatchSequence > right->dispatchSequence;
    }
};

} // namespace guavafield
