// Finds upstreams that are much slower than their peers and says when to try them again.
#pragma once

#include <guavafield/state/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace guavafield {

/*! @brief The recent token times of one upstream and whether it is ejected. */
class OutlierDetector
{
public:
    /*! @brief Takes the time per token of one arrival of tokens. */
    void onTokenTime(double seconds) noexcept;

    /*! @brief Returns the median of the recent token times, or 0 while there are too few. */
    [[nodiscard]] double median() const noexcept;

    /*! @brief Ejects the upstream, or does so again for longer. */
    void eject(SteadyTime now) noexcept;
    /*! @brief Takes the upstream back. */
    void restore() noexcept;

    [[nodiscard]] bool ejected() const noexcept
    {
        return m_ejected;
    }
    /*! @brief Whether an ejected upstream is due for a trial. */
    [[nodiscard]] bool probeDue(SteadyTime now) const noexcept
    {
        return m_ejected && now >= m_nextProbe;
    }
    /*! @brief How long a trial has been due. */
    [[nodiscard]] SteadyTime nextProbe() const noexcept
    {
        return m_nextProbe;
    }

private:
    static constexpr std::size_t sampleCount = 31;

    // Ring of the last token times in seconds; m_taken counts all that were stored.
    std::array<float, sampleCount> m_samples{};
    std::size_t m_sampleTotal{0};
    bool m_ejected{false};
    SteadyTime m_nextProbe{};
    Milliseconds m_probeInterval{1000};
};

} // namespace guavafield
