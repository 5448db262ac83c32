// Estimates the distribution of output lengths from a survival curve.
#include <guavafield/coordination/request/admission/length_model.hpp>

#include <algorithm>
#include <cmath>

namespace guavafield {

namespace internal {

constexpr double bucketsPerOctave = 4;
// Weight of the prior, as a number of answers.
constexpr double priorWeight = 6;
constexpr double priorSigma = 0.8;
// All counts are halved above this weight, so that the curve adapts to changes.
constexpr float halvingWeight = 1000;

double logNormalBelow(double length, double median) noexcept
{
    return 0.5 * std::erfc(-std::log(length / median) / (priorSigma * std::sqrt(2.0)));
}

} // namespace internal

LengthModel::LengthModel(double priorMedian)
{
    const double median = std::max(2.0, priorMedian);
    for (std::size_t n = 0; n < bucketCount; ++n) {
        const double cumulativeBefore = n == 0 ? 0.0 : internal::logNormalBelow(bucketLowerBound(n), median);
        m_reached[n] = static_cast<float>(internal::priorWeight * (1 - cumulativeBefore));
        m_ended[n] = static_cast<float>(internal::priorWeight * (internal::logNormalBelow(bucketLowerBound(n + 1), median) - cumulativeBefore));
    }
}

std::size_t LengthModel::bucketOf(std::uint32_t tokens) noexcept
{
    if (tokens < 2) {
        return 0;
    }
    return std::min<std::size_t>(bucketCount - 1, static_cast<std::size_t>(internal::bucketsPerOctave * std::log2(tokens)));
}

double LengthModel::bucketLowerBound(std::size_t bucket) noexcept
{
    return std::exp2(static_cast<double>(bucket) / internal::bucketsPerOctave);
}

void LengthModel::onReached(std::size_t fromBucket, std::size_t toBucket) noexcept
{
    for (auto n = fromBucket + 1; n <= toBucket; ++n) {
        m_reached[n] += 1;
    }
}

void LengthModel::onEnded(std::size_t bucket) noexcept
{
    m_ended[bucket] += 1;
}

void LengthModel::onStarted() noexcept
{
    m_reached[0] += 1;
    if (m_reached[0] > internal::halvingWeight) {
        for (std::size_t n = 0; n < bucketCount; ++n) {
            m_reached[n] /= 2;
            m_ended[n] /= 2;
        }
    }
}

double LengthModel::endProbability(std::size_t bucket) const noexcept
{
    return m_reached[bucket] > 0.01F ? std::clamp(static_cast<double>(m_ended[bucket]) / m_reached[bucket], 0.0, 1.0) : 1.0;
}

double LengthModel::quantile(double probability, std::uint32_t delivered) const noexcept
{
    double survival = 1;
    for (auto n = bucketOf(delivered); n < bucketCount; ++n) {
        survival *= 1 - endProbability(n);
        if (1 - survival >= probability) {
            return bucketLowerBound(n + 1);
        }
    }
    return bucketLowerBound(bucketCount);
}

double LengthModel::meanRemaining(std::uint32_t delivered) const noexcept
{
    double survival = 1;
    double mean = 0;
    double position = std::max<double>(delivered, 1);
    for (auto n = bucketOf(delivered); n < bucketCount && survival > 0.001; ++n) {
        const double end = std::max(position, bucketLowerBound(n + 1));
        const double ends = endProbability(n);
        mean += survival * (end - position) * (1 - ends / 2);
        survival *= 1 - ends;
        position = end;
    }
    return mean;
}

} // namespace guavafield
