// Ejection state of upstreams that are much slower than their peers, with probes at exponentially growing intervals.
#pragma once

#include <guavafield/state/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace guavafield {

/*! @brief Recent token times and ejection state of one upstream. */
class OutlierDetector
{
public:
    /*! @brief Records the time per token of one batch of tokens. */
    void onTokenTime(double seconds) noexcept;

    /*! @brief Returns the median of the recent token times, or 0 if there are too few samples. */
    [[nodiscard]] double median() const noexcept;

    /*! @brief Ejects the upstream until the next probe and doubles the probe interval. */
    void eject(SteadyTime now) noexcept;
    /*! @brief Ends the ejection and resets the probe interval. */
    void restore() noexcept;

    [[nodiscard]] bool ejected() const noexcept
    {
        return m_ejected;
    }
    /*! @brief Whether a probe of an ejected upstream is due. */
    [[nodiscard]] bool probeDue(SteadyTime now) const noexcept
    {
        return m_ejected && now >= m_nextProbe;
    }
    /*! @brief Returns the time from which the next probe is due. */
    [[nodiscard]] SteadyTime nextProbe() const noexcept
    {
        return m_nextProbe;
    }

private:
    static constexpr std::size_t sampleCount = 31;

    // Ring buffer of the last token times in seconds; m_sampleTotal counts all samples ever stored.
    std::array<float, sampleCount> m_samples{};
    std::size_t m_sampleTotal{0};
    bool m_ejected{false};
    SteadyTime m_nextProbe{};
    Milliseconds m_probeInterval{1000};
};

} // namespace guavafield
