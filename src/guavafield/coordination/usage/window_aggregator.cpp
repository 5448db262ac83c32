// Request counts by window, host and team.
#include <guavafield/coordination/usage/window_aggregator.hpp>

#include <algorithm>
#include <set>

namespace guavafield {

namespace internal {

// This host's own counts are stored under the empty host name.
constexpr std::string_view ownHost;
// Number of windows kept, so that a new reporter can report windows that its predecessor did not.
constexpr std::size_t keptWindows = 16;
// Number of earlier windows whose own counts are sent to peers again, in case a report was lost.
constexpr std::uint64_t repeatedWindows = 3;

} // namespace internal

BillingWindow WindowAggregator::windowAt(WallTime time) const noexcept
{
    return static_cast<BillingWindow>(time.time_since_epoch() / m_length);
}

WallTime WindowAggregator::endOf(BillingWindow window) const noexcept
{
    return WallTime{m_length * static_cast<std::int64_t>(window + 1)};
}

WindowAggregator::HostCounts &WindowAggregator::countsOf(BillingWindow window, std::string_view host)
{
    m_firstWindow = m_firstWindow == 0 ? window : std::min(m_firstWindow, window);
    auto &result = m_windows[window].try_emplace(std::string(host)).first->second;
    while (m_windows.size() > internal::keptWindows && m_windows.begin()->first != window) {
        m_windows.erase(m_windows.begin());
    }
    return result;
}

void WindowAggregator::count(const TeamId &team, WallTime time)
{
    ++countsOf(windowAt(time), internal::ownHost)[teamKey(team)];
}

void WindowAggregator::onReport(std::string_view host, std::span<const WindowCounts> windows)
{
    for (const auto &it : windows) {
        if (it.teams.empty()) {
            continue;
        }
        auto &counts = countsOf(it.window, host);
        for (const auto &team : it.teams) {
            auto &known = counts[team.team];
            known = std::max(known, team.requests);
        }
    }
}

std::vector<WindowCounts> WindowAggregator::ownCounts(WallTime time, std::uint64_t turn, BillingWindow reportedUpTo) const
{
    const auto current = windowAt(time);
    // The window that has just ended will be sealed soon, and in a large fleet each host reports rarely, so every report includes it.
    const bool isSettling = time - endOf(current - 1) < Milliseconds{m_length} / 2;
    const auto latest = isSettling ? current - 2 : current - 1;
    std::set<BillingWindow> windows{current, isSettling ? current - 1 : current};
    // A new holder of the duties needs the counts of all windows that its predecessor has not reported.
    const auto unreported = latest - std::min(reportedUpTo, latest);
    if (unreported > 0) {
        windows.insert(latest - turn % std::min(unreported, internal::repeatedWindows));
    }
    std::vector<WindowCounts> result;
    for (const auto window : windows) {
        const auto it = m_windows.find(window);
        const auto own = it == m_windows.end() ? StringMap<HostCounts>::const_iterator{} : it->second.find(internal::ownHost);
        if (it == m_windows.end() || own == it->second.end()) {
            continue;
        }
        auto &counts = result.emplace_back(WindowCounts{window, {}});
        for (const auto &[team, requests] : own->second) {
            counts.teams.push_back({team, requests});
        }
    }
    return result;
}

TeamCounts WindowAggregator::totals(BillingWindow window, std::span<const TeamId> teams) const
{
    TeamCounts result;
    const auto it = m_windows.find(window);
    if (it == m_windows.end()) {
        return result;
    }
    for (const auto &team : teams) {
        std::uint64_t sum = 0;
        for (const auto &[host, counts] : it->second) {
            const auto count = counts.find(teamKey(team));
            sum += count == counts.end() ? 0 : count->second;
        }
        if (sum > 0) {
            result[team] = sum;
        }
    }
    return result;
}

} // namespace guavafield
