// Comparison of numbers within a run and with what the caller has.
#include <guavafield/coordination/streams/event_sequence.hpp>

namespace guavafield {

void EventSequence::beginRun() noexcept
{
    m_lastOfRun.reset();
    m_unnumberedAgain = 0;
}

EventVerdict EventSequence::take(std::optional<std::uint64_t> number, bool hasData) noexcept
{
    if (number) {
        return takeNumbered(*number);
    }
    return hasData ? takeUnnumbered() : EventVerdict::Pass;
}

EventVerdict EventSequence::takeNumbered(std::uint64_t number) noexcept
{
    if (m_lastOfRun && number <= *m_lastOfRun) {
        return EventVerdict::OutOfOrder;
    }
    m_lastOfRun = number;
    if (m_last && number <= *m_last) {
        m_unnumberedAgain = 0;
        return EventVerdict::Repeated;
    }
    if (m_last && number != *m_last + 1) {
        return EventVerdict::OutOfOrder;
    }
    m_last = number;
    m_unnumbered = 0;
    m_unnumberedAgain = 0;
    return EventVerdict::Pass;
}

EventVerdict EventSequence::takeUnnumbered() noexcept
{
    // The run is still among the events that the caller has.
    if (m_lastOfRun && m_last && *m_lastOfRun < *m_last) {
        return EventVerdict::Repeated;
    }
    if (m_unnumberedAgain < m_unnumbered) {
        ++m_unnumberedAgain;
        return EventVerdict::Repeated;
    }
    ++m_unnumbered;
    ++m_unnumberedAgain;
    return EventVerdict::Pass;
}

} // namespace guavafield
