// Outlier detection based on the median token time.
#include <guavafield/coordination/request/health/outlier_detector.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

constexpr std::size_t minSamples = 9;
constexpr Milliseconds initialProbeInterval{1000};
constexpr Milliseconds maxProbeInterval{30'000};

} // namespace internal

void OutlierDetector::onTokenTime(double seconds) noexcept
{
    m_samples[m_sampleTotal++ % sampleCount] = static_cast<float>(seconds);
}

double OutlierDetector::median() const noexcept
{
    const auto count = std::min(m_sampleTotal, sampleCount);
    if (count < internal::minSamples) {
        return 0;
    }
    auto samples = m_samples;
    const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(samples.begin(), middle, samples.begin() + static_cast<std::ptrdiff_t>(count));
    return *middle;
}

void OutlierDetector::eject(SteadyTime now) noexcept
{
    m_ejected = true;
    m_sampleTotal = 0;
    m_nextProbe = now + m_probeInterval;
    m_probeInterval = std::min(m_probeInterval * 2, internal::maxProbeInterval);
}

void OutlierDetector::restore() noexcept
{
    m_ejected = false;
    m_sampleTotal = 0;
    m_probeInterval = internal::initialProbeInterval;
}

} // namespace guavafield
