// Replay protection based on the counter in the sender's datagrams.
#pragma once

#include <cstdint>

namespace guavafield {

/*! @brief Sliding window over one sender's counters, as in IPsec; counters older than the window are rejected. */
class ReplayWindow
{
public:
    /*!
     * @brief Records a counter.
     * @return False if the counter was received before or is older than the window.
     */
    [[nodiscard]] bool accept(std::uint64_t counter) noexcept
    {
        if (counter > m_highest) {
            const auto shift = counter - m_highest;
            m_received = shift < width ? (m_received << shift) | 1U : 1U;
            m_highest = counter;
            return true;
        }
        const auto behind = m_highest - counter;
        if (behind >= width || (m_received >> behind & 1U) != 0) {
            return false;
        }
        m_received |= std::uint64_t{1} << behind;
        return true;
    }

private:
    static constexpr std::uint64_t width = 64;

    // Counters start at 1; 0 is never accepted.
    std::uint64_t m_highest{0};
    // Bit n is set if m_highest - n was received.
    std::uint64_t m_received{1};
};

} // namespace guavafield
