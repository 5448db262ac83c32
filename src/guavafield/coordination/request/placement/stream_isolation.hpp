// Keeps streams with short pause targets away from engines that prefill long prompts.
#pragma once

#include <guavafield/coordination/request/decaying_sum.hpp>
#include <guavafield/coordination/request/request_entry.hpp>

#include <cstdint>

namespace guavafield {

/*! @brief Engine time that recent requests of a pool needed on one host. Integers, so that subtracting a report cancels its addition exactly. */
struct EngineDemand
{
    // stableIdHash() of the pool.
    std::uint64_t pool{0};
    std::uint32_t longMilliseconds{0};
    std::uint32_t otherMilliseconds{0};
    // Streams that would be late beside long prompts.
    std::uint32_t sensitiveStreams{0};
};

/*!
 * @brief Range of engines on which a group of requests is preferably placed.
 *
 * Engines are numbered by their rank, a fraction from 0 to 1 that follows from the hash of their ids and is the same on all hosts.
 */
struct EngineRange
{
    double from{0};
    double to{1};
    // Cost in seconds of an engine outside of the range.
    double penaltySeconds{0};

    [[nodiscard]] bool contains(double rank) const noexcept
    {
        return rank >= from && rank < to;
    }
};

/*!
 * @brief Divides the engines of a pool between long prompts and other requests where long prompts would cause late pauses.
 *
 * Engines prefill prompts in chunks between the tokens of running streams, so each chunk delays the next token of all of them. If all tokens of one
 * event are delayed, the pause may exceed the target of a stream. The division follows the engine time that both groups need. It is a preference: a
 * request leaves its range when the queues there cost more than the penalty.
 */
class StreamIsolation
{
public:
    /*! @param tokensPerEvent Tokens that engines send in one event of a stream; 0 if unknown, which disables the division. */
    explicit StreamIsolation(std::uint32_t tokensPerEvent) noexcept;

    /*!
     * @brief Records a dispatch.
     * @param prefillSeconds Engine time to prefill the part of the prompt that is not cached.
     */
    void onDispatch(const RequestInfo &request, double prefillSeconds, SteadyTime now);
    /*!
     * @brief Records a finished run.
     * @param slotFraction Fraction of an engine that one of its slots stands for.
     */
    void onEnded(const RequestInfo &request, double runSeconds, double slotFraction, SteadyTime now);
    /*! @brief Records the time between two events of a stream, from which the duration of an engine's step is learned. */
    void onPause(double seconds) noexcept;
    /*!
     * @brief Updates the division if demand has changed enough.
     * @param tokensPerSecond Prefill rate of an engine.
     */
    void update(double tokensPerSecond, SteadyTime now);

    /*! @brief Returns the recent demand of this host; the pool is not set. */
    [[nodiscard]] EngineDemand localDemand(SteadyTime now) const noexcept;
    /*! @brief Adds (sign 1) or subtracts (sign -1) the demand that another host reported. */
    void addPeerDemand(const EngineDemand &demand, int sign) noexcept;

    /*! @brief Returns the engines that a request is preferably placed on. */
    [[nodiscard]] EngineRange rangeFor(const RequestInfo &request) const noexcept;
    /*! @brief Returns the fraction of engines that are kept free of long prompts; 0 while there is no division. */
    [[nodiscard]] double reservedFraction() const noexcept
    {
        return m_boundary;
    }
    /*! @brief Whether the prompt is long enough to delay several tokens of other streams. */
    [[nodiscard]] static bool hasLongPrompt(const RequestInfo &request) noexcept;

private:
    // Whether a stream would be late if it ran beside long prompts.
    [[nodiscard]] bool isSensitive(const RequestInfo &request) const noexcept;
    [[nodiscard]] DecayingSum &demandOf(const RequestInfo &request) noexcept
    {
        return hasLongPrompt(request) ? m_longDemand : m_otherDemand;
    }

    std::uint32_t m_tokensPerEvent;
    // Seconds from one token of a stream to the next without prefills beside it.
    double m_stepSeconds;
    // Engine seconds needed by each group.
    DecayingSum m_longDemand;
    DecayingSum m_otherDemand;
    // Streams for which the disturbed pause would be too long.
    DecayingSum m_sensitiveStreams;
    // Sums of the latest reports of other hosts, in milliseconds and streams.
    std::int64_t m_peerLong{0};
    std::int64_t m_peerOther{0};
    std::int64_t m_peerSensitive{0};
    // Longest pause that prefills of other requests cause, in seconds; 0 if unknown.
    double m_disturbedPause{0};
    // Engines with a lower rank are kept free of long prompts; 0 while there is no division.
    double m_boundary{0};
};

} // namespace guavafield
