// Token bucket that limits an average rate and allows bursts.
#pragma once

#include <guavafield/state/types.hpp>

#include <algorithm>

namespace guavafield {

/*! @brief Token bucket that can be overdrawn by at most one burst, which bounds the recovery time after a flood. */
class TokenBucket
{
public:
    TokenBucket(double perSecond, double burst, SteadyTime now) : m_perSecond(perSecond), m_burst(burst), m_tokens(burst), m_refilled(now) { }

    /*! @brief Refills the bucket and returns the available tokens; negative if overdrawn. */
    [[nodiscard]] double available(SteadyTime now) noexcept
    {
        const std::chrono::duration<double> elapsed = now - m_refilled;
        m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_perSecond);
        m_refilled = now;
        return m_tokens;
    }

    /*! @brief Takes tokens even if fewer are available. */
    void spend(double tokens) noexcept
    {
        m_tokens = std::max(-m_burst, m_tokens - tokens);
    }

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    SteadyTime m_refilled;
};

} // namespace guavafield
