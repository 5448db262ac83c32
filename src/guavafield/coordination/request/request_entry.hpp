// A request in the scheduler, from admission to its end.
#pragma once

#include <guavafield/coordination/request/request_info.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace guavafield {

struct UpstreamState;

/*! @brief One sending of a request to an upstream. */
struct Attempt
{
    UpstreamState *upstream{nullptr};
    SteadyTime dispatched{};
};

/*! @brief What a crash of the upstream means for a request that was on it. */
enum class CrashClassification : std::uint8_t {
    None,
    Unrelated,
    Suspect,
    Quarantined,
};

/*! @brief A request between submission and its end. */
struct RequestEntry
{
    RequestInfo info;
    // Order of submission; unique.
    std::uint64_t sequence{0};
    SteadyTime submitted{};
    SteadyTime deadline{};
    // A request that starts later than this misses a target.
    SteadyTime latestStart{};
    // Neither empty nor more than two while running; empty while queued.
    std::vector<Attempt> attempts;
    std::uint32_t attemptsMade{0};
    std::uint32_t deliveredTokens{0};
    SteadyTime lastTokens{};
    bool queued{false};
    // Has run before and goes ahead of the others of its tier.
    bool requeued{false};
    // Upstream that ran the request last and may still have its prompt in the cache; null if there is none.
    UpstreamState *previousUpstream{nullptr};
    // Until then a returned request waits for its home.
    SteadyTime waitsForPreviousUntil{};
    // Dispatched by the floor of its tier.
    bool byFloor{false};
    bool suspect{false};
    CrashClassification crashClassification{CrashClassification::None};

    // Cost-weighted tokens expected, charged to the team and used so far.
    double expectedCost{0};
    double charged{0};
    double used{0};
    // Expected remaining seconds in a slot.
    double work{0};
    // Order of dispatch; set on dispatch.
    std::uint64_t dispatchSequence{0};
    // When a second attempt is due; meaningful while hedgePlanned.
    SteadyTime hedgeAt{};
    bool hedgePlanned{false};
    // Why the last attempt failed; the reason for a refusal if no upstream comes back.
    std::optional<ResultCode> lastFailure{};

    // For pools whose upstreams queue by themselves.
    // Attempts that an upstream may have run.
    std::uint32_t attemptsRun{0};
    // Hashes of the ids of the upstreams that were tried.
    std::vector<std::uint64_t> tried;
    // Prompt tokens that the upstream of the running attempt reads, and the expected time to the first token.
    double prefillTokens{0};
    double expectedSeconds{0};
    // Nothing else waited there when the running attempt was sent.
    bool dispatchedToIdle{false};

    /*! @brief Whether tokens have arrived, so that the caller may have bytes. */
    [[nodiscard]] bool started() const noexcept
    {
        return deliveredTokens > 0;
    }
    /*! @brief Whether another upstream can take the request over. */
    [[nodiscard]] bool migratable() const noexcept
    {
        return started() ? info.resumable : info.repeatable;
    }
};

/*! @brief Order by deadline, then by submission. */
struct ByDeadline
{
    [[nodiscard]] bool operator()(const RequestEntry *left, const RequestEntry *right) const noexcept
    {
        return left->deadline != right->deadline ? left->deadline < right->deadline : left->sequence < right->sequence;
    }
};

/*! @brief Order by the latest start, then by submission. */
struct ByLatestStart
{
    [[nodiscard]] bool operator()(const RequestEntry *left, const RequestEntry *right) const noexcept
    {
        return left->latestStart != right->latestStart ? left->latestStart < right->latestStart : left->sequence < right->sequence;
    }
};

/*! @brief Lowest tier first, then the latest dispatch: the order in which running requests give way. */
struct ByPreemption
{
    [[nodiscard]] bool operator()(const RequestEntry *left, const RequestEntry *right) const noexcept
    {
        return left->info.tier != right->info.tier ? left->info.tier > right->info.tier : left->dispatchSequence > right->dispatchSequence;
    }
};

} // namespace guavafield
