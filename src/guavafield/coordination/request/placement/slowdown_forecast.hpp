// Forecast of how long work takes at an upstream, from samples that it reports and that lose their value within a second or so.
#pragma once

#include <guavafield/state/types.hpp>

#include <array>
#include <cstddef>

namespace guavafield {

/*!
 * @brief How much a reported slowdown says about the slowdown some time later.
 *
 * Learned for a pool by regression of each sample's deviation from the mean on that of the sample before, by the time between the two. So a report is
 * trusted for as long as reports have proved to predict, whatever causes the changes. Not thread-safe.
 */
class SlowdownPersistence
{
public:
    SlowdownPersistence() noexcept;

    /*! @brief Learns from two consecutive samples of an upstream, as deviations from its mean. */
    void learn(double before, double after, std::chrono::nanoseconds between) noexcept;
    /*! @brief Returns the fraction of a deviation that is expected to remain at an age, 0 to 1. */
    [[nodiscard]] double remaining(std::chrono::nanoseconds age) const noexcept;

private:
    struct Bucket
    {
        double covariance{0};
        double variance{0};
    };

    // Ages double from one bucket to the next.
    static constexpr std::size_t bucketCount = 8;

    [[nodiscard]] static std::size_t bucketOf(std::chrono::nanoseconds age) noexcept;

    std::array<Bucket, bucketCount> m_buckets;
};

/*! @brief Slowdown of one upstream, as a factor on the time that work takes; 1 is normal. */
class SlowdownForecast
{
public:
    /*! @brief Takes a sample that the upstream has just reported. */
    void onSample(double slowdown, SteadyTime now, SlowdownPersistence &persistence) noexcept;
    /*! @brief Returns the slowdown that is expected now: that of the last sample at first, the upstream's mean later. */
    [[nodiscard]] double expected(SteadyTime now, const SlowdownPersistence &persistence) const noexcept;
    /*! @brief Whether the upstream reports its slowdown. */
    [[nodiscard]] bool known() const noexcept
    {
        return m_known;
    }
    /*! @brief Forgets all samples, as another process may run on another machine. */
    void reset() noexcept
    {
        *this = {};
    }

private:
    bool m_known{false};
    double m_mean{1};
    double m_last{1};
    SteadyTime m_lastAt{};
};

} // namespace guavafield
