// Decides which billing window is sealed or reported next.
#pragma once

#include <guavafield/coordination/usage/window_aggregator.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace guavafield {

/*! @brief Settings of a WindowReporter. */
struct WindowReporterSettings
{
    // Delay after the end of a window before it is sealed, for the last counts to arrive.
    Milliseconds settleTime{2'500};
    // A window older than this is no longer reported.
    Milliseconds maxReportAge{60'000};
    // Delay after a failed call.
    Milliseconds retryEvery{1'000};
};

/*! @brief A window that has to be sealed or reported. */
struct DueWindow
{
    BillingWindow window{0};
    // The sealed figures; empty if the window has to be sealed first.
    std::optional<TeamCounts> sealed;
    // A report of it was sent, so that it must not be sealed again.
    bool reportSent{false};
};

/*!
 * @brief Decides which window has to be sealed or reported next.
 *
 * Only sealed figures are reported, so that all reports of a window contain the same figures, whichever host sends them. Not safe for several threads.
 */
class WindowReporter
{
public:
    explicit WindowReporter(WindowReporterSettings settings) : m_settings(settings) { }

    /*! @brief Returns the oldest window that is due; empty if there is none. */
    [[nodiscard]] std::optional<DueWindow> due(const WindowAggregator &aggregator, WallTime now);
    /*! @brief Records the sealed figures of a window; the first ones are kept. */
    void onSealed(BillingWindow window, TeamCounts figures);
    /*! @brief Records that a report of a window is sent, by this host or, of this one and all before, by another. */
    void onReportSent(BillingWindow window) noexcept
    {
        m_reportSentUpTo = std::max(m_reportSentUpTo, window);
    }
    [[nodiscard]] BillingWindow reportSentUpTo() const noexcept
    {
        return m_reportSentUpTo;
    }
    /*! @brief Records that a window is reported, or that it never will be. */
    void onReported(BillingWindow window);
    /*! @brief Records that other hosts have reported all windows up to this one. */
    void onReportedUpTo(BillingWindow window) noexcept
    {
        m_reportedUpTo = std::max(m_reportedUpTo, window);
    }
    /*! @brief Returns the window up to which all are reported or too old to be. */
    [[nodiscard]] BillingWindow reportedUpTo() const noexcept
    {
        return m_reportedUpTo;
    }
    /*! @brief Records that a call for a window failed or that its outcome is unknown. */
    void onFailed(BillingWindow window, WallTime now);

private:
    struct State
    {
        std::optional<TeamCounts> sealed;
        bool reported{false};
        WallTime notBefore{};
    };

    WindowReporterSettings m_settings;
    // Without those that are too old to be reported.
    std::map<BillingWindow, State> m_windows;
    BillingWindow m_reportedUpTo{0};
    BillingWindow m_reportSentUpTo{0};
};

} // namespace guavafield
