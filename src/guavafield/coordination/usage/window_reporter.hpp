// Decides which billing window is sealed or reported next.
#pragma once

#include <guavafield/coordination/usage/window_aggregator.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace guavafield {

/*! @brief Times of a window's report. */
struct WindowReporterSettings
{
    // After the end of a window, for the last counts to arrive.
    Milliseconds settle{2'500};
    // A window that is older is not reported any more.
    Milliseconds giveUp{60'000};
    // After a failed call.
    Milliseconds retryEvery{1'000};
};

/*! @brief The window at hand. */
struct DueWindow
{
    BillingWindow window{0};
    // The sealed figures; empty if the window has to be sealed first.
    std::optional<TeamCounts> sealed;
};

/*!
 * @brief Takes each window through sealing and reporting.
 *
 * Only sealed figures are reported, so that every report of a window, by whichever host, has the same ones. Not safe for several threads.
 */
class WindowReporter
{
public:
    explicit WindowReporter(WindowReporterSettings settings) : m_settings(settings) { }

    /*! @brief Returns the oldest window that is due; empty if there is none. */
    [[nodiscard]] std::optional<DueWindow> due(const WindowAggregator &aggregator, WallTime now) const;
    /*! @brief The store holds these figures for a window. */
    void onSealed(BillingWindow window, TeamCounts figures);
    void onReported(BillingWindow window);
    /*! @brief Another host has reported all windows up to this one. */
    void onReportedUpTo(BillingWindow window) noexcept
    {
        m_reportedUpTo = std::max(m_reportedUpTo, window);
    }
    [[nodiscard]] BillingWindow reportedUpTo() const noexcept
    {
        return m_reportedUpTo;
    }
    /*! @brief A call for a window failed or its outcome is not known. */
    void onFailed(BillingWindow window, WallTime now);

private:
    struct State
    {
        std::optional<TeamCounts> sealed;
        bool reported{false};
        WallTime notBefore{};
    };

    WindowReporterSettings m_settings;
    std::map<BillingWindow, State> m_windows;
    BillingWindow m_reportedUpTo{0};
};

} // namespace guavafield
