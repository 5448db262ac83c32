// The learned distribution of output lengths of one team, class and model.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace guavafield {

/*!
 * @brief Survival curve of output lengths over buckets of a quarter octave.
 *
 * An answer counts for each bucket that it reaches while its tokens arrive, so that long answers shift the curve before
 * they end. Answers that are cut off count as far as they came.
 */
class LengthModel
{
public:
    static constexpr std::size_t bucketCount = 72;

    /*! @brief Starts with a log-normal prior around a median length in tokens. */
    explicit LengthModel(double priorMedian);

    /*! @brief Returns the bucket of a length; 0 for less than two tokens. */
    [[nodiscard]] static std::size_t bucketOf(std::uint32_t tokens) noexcept;
    /*! @brief Returns the first length of a bucket. */
    [[nodiscard]] static double bucketLowerBound(std::size_t bucket) noexcept;

    /*! @brief Counts an answer whose first token came. */
    void onStarted() noexcept;
    /*! @brief Counts an answer that went on from one bucket to a later one. */
    void onReached(std::size_t fromBucket, std::size_t toBucket) noexcept;
    /*! @brief Counts an answer that ended in a bucket which it was counted to have reached. */
    void onEnded(std::size_t bucket) noexcept;

    /*!
     * @brief Returns the length that a part of the answers does not exceed.
     * @param part Between 0 and 1.
     * @param delivered Tokens that the answer has already.
     */
    [[nodiscard]] double quantile(double probability, std::uint32_t delivered = 0) const noexcept;
    /*! @brief Returns the expected number of further tokens. */
    [[nodiscard]] double meanRemaining(std::uint32_t delivered = 0) const noexcept;

private:
    [[nodiscard]] double endProbability(std::size_t bucket) const noexcept;

    // Answers that came to the bucket, and those that ended in it; halving can leave the second above the first.
    std::array<float, bucketCount> m_reached{};
    std::array<float, bucketCount> m_ended{};
};

} // namespace guavafield
