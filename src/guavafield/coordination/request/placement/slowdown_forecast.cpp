// Regression between consecutive samples, and the forecast from it.
#include <guavafield/coordination/request/placement/slowdown_forecast.hpp>

#include <algorithm>
#include <cmath>

namespace guavafield {

namespace internal {

constexpr std::chrono::milliseconds firstBucket{16};
// Weight of a new pair of samples.
constexpr double pairWeight = 0.02;
// Before there are samples, half of a deviation is expected to be gone after this time.
constexpr double initialHalfLifeSeconds = 0.2;
// Variance of the assumed samples; small, so that real ones soon outweigh them.
constexpr double initialVariance = 0.01;
constexpr double meanTimeSeconds = 5;
constexpr double minSlowdown = 0.1;
constexpr double maxSlowdown = 20;

} // namespace internal

SlowdownPersistence::SlowdownPersistence() noexcept
{
    for (std::size_t n = 0; n < bucketCount; ++n) {
        const double seconds = std::chrono::duration<double>(internal::firstBucket).count() * std::exp2(static_cast<double>(n));
        m_buckets[n] = {internal::initialVariance * std::exp2(-seconds / internal::initialHalfLifeSeconds), internal::initialVariance};
    }
}

std::size_t SlowdownPersistence::bucketOf(std::chrono::nanoseconds age) noexcept
{
    std::size_t n = 0;
    for (std::chrono::nanoseconds limit = internal::firstBucket; n + 1 < bucketCount && age > limit; limit *= 2) {
        ++n;
    }
    return n;
}

void SlowdownPersistence::learn(double before, double after, std::chrono::nanoseconds between) noexcept
{
    auto &bucket = m_buckets[bucketOf(between)];
    bucket.covariance += internal::pairWeight * (before * after - bucket.covariance);
    bucket.variance += internal::pairWeight * (before * before - bucket.variance);
}

double SlowdownPersistence::remaining(std::chrono::nanoseconds age) const noexcept
{
    // Longer ages than the last bucket's are not told apart from the mean.
    if (age > internal::firstBucket * (1 << (bucketCount - 1))) {
        return 0;
    }
    const auto &bucket = m_buckets[bucketOf(age)];
    return bucket.variance > 0 ? std::clamp(bucket.covariance / bucket.variance, 0.0, 1.0) : 0;
}

void SlowdownForecast::onSample(double slowdown, SteadyTime now, SlowdownPersistence &persistence) noexcept
{
    slowdown = std::clamp(slowdown, internal::minSlowdown, internal::maxSlowdown);
    if (m_known && now > m_lastAt) {
        persistence.learn(m_last - m_mean, slowdown - m_mean, now - m_lastAt);
        // Weighted by time, as an upstream is asked more often while it is fast.
        const double seconds = std::chrono::duration<double>(now - m_lastAt).count();
        m_mean += (1 - std::exp(-seconds / internal::meanTimeSeconds)) * (m_last - m_mean);
    }
    m_known = true;
    m_last = slowdown;
    m_lastAt = now;
}

double SlowdownForecast::expected(SteadyTime now, const SlowdownPersistence &persistence) const noexcept
{
    if (!m_known) {
        return 1;
    }
    return m_mean + persistence.remaining(std::max(now - m_lastAt, std::chrono::nanoseconds{0})) * (m_last - m_mean);
}

} // namespace guavafield
