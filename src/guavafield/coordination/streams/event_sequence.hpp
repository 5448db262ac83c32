// Puts the numbered events of several runs together to the stream that one caller gets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace guavafield {

/*! @brief What becomes of an event. */
enum class EventVerdict : std::uint8_t {
    // The caller gets it.
    Pass,
    // The caller has it, from an earlier run.
    Repeated,
    // It does not follow what came before: one is missing, or the run's own numbers repeat or fall.
    OutOfOrder,
};

/*!
 * @brief Decides which events of a stream's runs its caller gets.
 *
 * A run that goes on after an event may send again what the caller has, but its own numbers only rise. Events without a number belong to the
 * numbered one before them, and come again with the run that goes on after that.
 */
class EventSequence
{
public:
    /*! @param last The last event that the caller has from earlier attempts. */
    explicit EventSequence(std::optional<std::uint64_t> last) : m_last(last) { }

    /*! @brief The events from now on are those of another run. */
    void beginRun() noexcept;
    /*!
     * @brief Takes the next event of the run.
     * @param number Empty if it has none.
     * @param hasData Events without data, as comments, are passed on whenever they come.
     */
    [[nodiscard]] EventVerdict take(std::optional<std::uint64_t> number, bool hasData) noexcept;

    /*! @brief Returns whether the stream may be whole at the end of the run, i.e. the run did not end among the events that the caller has. */
    [[nodiscard]] bool mayEnd() const noexcept
    {
        return !m_lastOfRun || !m_last || *m_lastOfRun >= *m_last;
    }
    /*! @brief Returns the last numbered event that the caller has. */
    [[nodiscard]] std::optional<std::uint64_t> last() const noexcept
    {
        return m_last;
    }

private:
    [[nodiscard]] EventVerdict takeNumbered(std::uint64_t number) noexcept;
    [[nodiscard]] EventVerdict takeUnnumbered() noexcept;

    std::optional<std::uint64_t> m_last;
    // Events without a number that the caller got after m_last.
    std::size_t m_unnumbered{0};
    // Last number of the run; empty before the first one.
    std::optional<std::uint64_t> m_lastOfRun;
    // So many of m_unnumbered have come again in the run.
    std::size_t m_unnumberedAgain{0};
};

} // namespace guavafield
