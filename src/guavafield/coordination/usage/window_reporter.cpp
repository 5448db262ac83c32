// Sealing and reporting state of billing windows.
#include <guavafield/coordination/usage/window_reporter.hpp>

#include <algorithm>

namespace guavafield {

std::optional<DueWindow> WindowReporter::due(const WindowAggregator &aggregator, WallTime now) const
{
    if (aggregator.firstWindow() == 0) {
        return std::nullopt;
    }
    const auto first = std::max({aggregator.firstWindow(), aggregator.windowAt(now - m_settings.maxReportAge), m_reportedUpTo + 1});
    for (auto window = first; aggregator.endOf(window) + m_settings.settleTime <= now; ++window) {
        const auto it = m_windows.find(window);
        if (it == m_windows.end()) {
            return DueWindow{window, std::nullopt};
        }
        if (!it->second.reported && now >= it->second.notBefore) {
            return DueWindow{window, it->second.sealed};
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
    // Windows are reported oldest first, so every earlier window has been reported or has become too old to report.
    m_reportedUpTo = std::max(m_reportedUpTo, window);
}

void WindowReporter::onFailed(BillingWindow window, WallTime now)
{
    m_windows[window].notBefore = now + m_settings.retryEvery;
}

} // namespace guavafield
