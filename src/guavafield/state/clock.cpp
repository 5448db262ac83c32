// Implementation of the machine's clocks and of the manual clock.
#include <guavafield/state/clock.hpp>

#include <ctime>

namespace guavafield {

SteadyTime SystemClock::now() const noexcept
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const noexcept
{
    return std::chrono::system_clock::now();
}

SteadyTime BootClock::now() const noexcept
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return SteadyTime{std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec}};
}

WallTime BootClock::wallNow() const noexcept
{
    return std::chrono::system_clock::now();
}

SteadyTime ManualClock::now() const noexcept
{
    return SteadyTime{std::chrono::nanoseconds{m_elapsed.load(std::memory_order_acquire)}};
}

WallTime ManualClock::wallNow() const noexcept
{
    return WallTime{std::chrono::duration_cast<WallTime::duration>(std::chrono::nanoseconds{m_elapsed.load(std::memory_order_acquire)})};
}

void ManualClock::advance(std::chrono::nanoseconds step) noexcept
{
    m_elapsed.fetch_add(step.count(), std::memory_order_acq_rel);
}

} // namespace guavafield
