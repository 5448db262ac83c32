// Sealing and reporting state of billing windows.
#include <guavafield/coordination/usage/window_reporter.hpp>

#include <algorithm>

namespace guavafield {

std::optional<DueWindow> WindowReporter::due(const WindowAggregator &aggregator, WallTime now)
{
    if (aggregator.firstWindow() == 0) {
        return std::nullopt;
    }
    const auto oldest = aggregator.windowAt(now - m_settings.maxReportAge);
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(oldest));
    const auto first = std::max({aggregator.firstWindow(), oldest, m_reportedUpTo + 1});
    for (auto window = first; aggregator.endOf(window) + m_settings.settleTime <= now; ++window) {
        const auto it = m_windows.find(window);
        if (it == m_windows.end()) {
            return DueWindow{window, std::nullopt, window <= m_reportSentUpTo};
        }
        if (!it->second.reported && now >= it->second.notBefore) {
            return DueWindow{window, it->second.sealed, window <= m_reportSentUpTo};
        }
    }
    return std::nullopt;
}

void WindowReporter::onSealed(BillingWindow window, TeamCounts figures)
{
    auto &state = m_windows[window];
    if (!state.sealed) {
        state.sealed = std::move(figures);
    }
    state.notBefore = {};
    constexpr std::size_t maxKeptStates = 64;
    while (m_windows.size() > maxKeptStates) {
        m_windows.erase(m_windows.begin());
    }
}

void WindowReporter::onReported(BillingWindow window)
{
    m_windows[window].reported = true;
    // A window whose report failed waits while later ones are reported.
    for (auto it = m_windows.upper_bound(m_reportedUpTo); it != m_windows.end() && it->second.reported; ++it) {
        m_reportedUpTo = it->first;
    }
}

void WindowReporter::onFailed(BillingWindow window, WallTime now)
{
    m_windows[window].notBefore = now + m_settings.retryEvery;
}

} // namespace guavafield
