// How much of an upstream that falls over under rejections one host may use.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstdint>

namespace guavafield {

/*!
 * @brief This host's part of the requests that run at a brittle upstream.
 *
 * The upstream may let fewer requests wait at any moment and falls over when it has to reject more than so many a second, so that nothing may wait there:
 * the hosts divide its slots, each without a message. A rejection halves the part and has the host pause for its part of the rejections that the
 * upstream bears; the part grows again by one request a second.
 */
class BrittleRoom
{
public:
    /*!
     * @param rejectionsPerSecond What the upstream bears from all hosts together.
     * @param share This host's part of the slots.
     * @param hosts Number of hosts that share the upstream; positive.
     */
    BrittleRoom(double rejectionsPerSecond, std::uint32_t share, std::uint32_t hosts, SteadyTime now) noexcept;

    /*! @brief Changes the part and the number of hosts; a pause and a smaller limit stay. */
    void resize(std::uint32_t share, std::uint32_t hosts) noexcept;
    /*! @brief Returns whether one more request may be sent. */
    [[nodiscard]] bool available(std::uint32_t outstanding, SteadyTime now) const noexcept;
    void onRejected(SteadyTime now) noexcept;

    [[nodiscard]] double rejectionsPerSecond() const noexcept
    {
        return m_rejectionsPerSecond;
    }
    [[nodiscard]] std::uint32_t share() const noexcept
    {
        return m_share;
    }

private:
    [[nodiscard]] double limitAt(SteadyTime now) const noexcept;

    double m_rejectionsPerSecond;
    std::uint32_t m_share;
    std::uint32_t m_hosts;
    // At m_limitTime; at most m_share.
    double m_limit;
    SteadyTime m_limitTime;
    SteadyTime m_notBefore{};
};

} // namespace guavafield
