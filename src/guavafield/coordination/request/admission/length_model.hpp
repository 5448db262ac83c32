// Learned distribution of the output lengths of one team, class and model.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace guavafield {

/*!
 * @brief Survival curve of output lengths over buckets of a quarter octave.
 *
 * An answer is counted in each bucket as it reaches it, so that long answers shift the curve before they end. Aborted
 * answers are censored observations: they count only in the buckets that they reached.
 */
class LengthModel
{
public:
    static constexpr std::size_t bucketCount = 72;

    /*! @brief Creates a model with a log-normal prior of the given median length in tokens. */
    explicit LengthModel(double priorMedian);

    /*! @brief Returns the bucket of a length; 0 for fewer than two tokens. */
    [[nodiscard]] static std::size_t bucketOf(std::uint32_t tokens) noexcept;
    /*! @brief Returns the lower bound of a bucket in tokens. */
    [[nodiscard]] static double bucketLowerBound(std::size_t bucket) noexcept;

    /*! @brief Counts an answer whose first token arrived. */
    void onStarted() noexcept;
    /*! @brief Counts an answer in the buckets after the first one given, up to the second. */
    void onReached(std::size_t fromBucket, std::size_t toBucket) noexcept;
    /*! @brief Counts the end of an answer in a bucket; the answer must have been counted as reaching it. */
    void onEnded(std::size_t bucket) noexcept;

    /*!
     * @brief Returns a quantile of the output length.
     * @param probability Between 0 and 1.
     * @param delivered Tokens delivered so far; the quantile is conditional on them.
     */
    [[nodiscard]] double quantile(double probability, std::uint32_t delivered = 0) const noexcept;
    /*! @brief Returns the expected number of remaining tokens. */
    [[nodiscard]] double meanRemaining(std::uint32_t delivered = 0) const noexcept;

private:
    [[nodiscard]] double endProbability(std::size_t bucket) const noexcept;

    // Answers that reached each bucket, and answers that ended in it. After halving, the second can exceed the first.
    std::array<float, bucketCount> m_reached{};
    std::array<float, bucketCount> m_ended{};
};

} // namespace guavafield
