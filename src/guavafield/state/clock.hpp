// Time as an interface, so that tests and experiments run on a manual clock.
#pragma once

#include <guavafield/state/types.hpp>

#include <atomic>

namespace guavafield {

/*! @brief Source of steady and wall-clock time. */
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    /*! @brief Returns the time of a clock that never goes back. */
    [[nodiscard]] virtual SteadyTime now() const noexcept = 0;
    /*! @brief Returns the time of day; only for billing windows and log lines. */
    [[nodiscard]] virtual WallTime wallNow() const noexcept = 0;
};

/*! @brief The clocks of the machine. */
class SystemClock final : public Clock
{
public:
    [[nodiscard]] SteadyTime now() const noexcept override;
    [[nodiscard]] WallTime wallNow() const noexcept override;
};

/*! @brief The clocks of the machine, of which the first also counts the time during which the machine was suspended. */
class BootClock final : public Clock
{
public:
    [[nodiscard]] SteadyTime now() const noexcept override;
    [[nodiscard]] WallTime wallNow() const noexcept override;
};

/*! @brief A clock that moves only when told to. Safe to read from several threads. */
class ManualClock final : public Clock
{
public:
    [[nodiscard]] SteadyTime now() const noexcept override;
    [[nodiscard]] WallTime wallNow() const noexcept override;

    /*!
     * @brief Moves both times forward.
     * @param step How far.
     */
    void advance(std::chrono::nanoseconds step) noexcept;

private:
    // Nanoseconds since the start; the steady time and the wall time share it.
    std::atomic<std::int64_t> m_elapsed{0};
};

} // namespace guavafield
