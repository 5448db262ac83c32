// Reads that many callers wait for together.
#pragma once

#include <guavafield/state/clock.hpp>
#include <guavafield/state/types.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace guavafield {

/*! @brief What a shared read works with; the clock outlives it. */
struct SharedReadDependencies
{
    boost::asio::any_io_executor strand;
    const Clock &clock;
    // Least time between the beginnings of two reads.
    std::function<Milliseconds()> interval;
    // Returns whether the read was complete.
    std::function<boost::asio::awaitable<bool>()> read;
};

/*!
 * @brief Gives each caller a read that began after its call, with one read at a time for all of them.
 *
 * Used on its strand. Create it with std::make_shared.
 */
class SharedRead : public std::enable_shared_from_this<SharedRead>
{
public:
    explicit SharedRead(SharedReadDependencies dependencies) : m_dependencies(std::move(dependencies)) { }

    /*! @brief Waits for a read that begins from now on; false if it failed or took too long. */
    [[nodiscard]] boost::asio::awaitable<bool> next(SteadyTime deadline);

    /*! @brief Returns whether the last read was complete. */
    [[nodiscard]] bool lastComplete() const noexcept
    {
        return m_ended > 0 && m_lastComplete == m_ended;
    }

private:
    [[nodiscard]] boost::asio::awaitable<void> run();

    SharedReadDependencies m_dependencies;
    bool m_underWay{false};
    // Numbers of reads, from 1 in the order of their beginnings.
    std::uint64_t m_begun{0};
    std::uint64_t m_ended{0};
    std::uint64_t m_lastComplete{0};
    SteadyTime m_nextAt{};
};

} // namespace guavafield
