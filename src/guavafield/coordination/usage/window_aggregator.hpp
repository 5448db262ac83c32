// Aggregates requests by team and billing window from this host's counts and the reports of other hosts.
#pragma once

#include <guavafield/coordination/fleet/host_report.hpp>
#include <guavafield/state/types.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace guavafield {

using BillingWindow = std::uint64_t;

/*! @brief Requests by team. */
using TeamCounts = StringMap<std::uint64_t>;

/*!
 * @brief Aggregates the request counts of recent windows.
 *
 * Each host reports its counts of a window repeatedly. Counts only increase, so the largest reported value is used. Not safe for several threads.
 */
class WindowAggregator
{
public:
    /*! @param length Length of a window; must be positive. */
    explicit WindowAggregator(std::chrono::seconds length) : m_length(length) { }

    [[nodiscard]] BillingWindow windowAt(WallTime time) const noexcept;
    [[nodiscard]] WallTime endOf(BillingWindow window) const noexcept;

    /*! @brief Counts a request of this host. */
    void count(const TeamId &team, WallTime time);
    /*!
     * @brief Merges a report of another host.
     * @param host Name of one incarnation of the host.
     */
    void onReport(std::string_view host, std::span<const WindowCounts> windows);

    /*!
     * @brief Returns the host's own counts to be sent to peers: those of the current window, in its first half those of the previous one, and those of
     * one earlier window that is not known to be reported.
     * @param turn Selects the earlier window. Increase it with each call.
     * @param reportedUpTo Last window that is known to be reported.
     */
    [[nodiscard]] std::vector<WindowCounts> ownCounts(WallTime time, std::uint64_t turn, BillingWindow reportedUpTo) const;
    /*! @brief Returns the sum of all hosts' counts of a window for the listed teams. */
    [[nodiscard]] TeamCounts totals(BillingWindow window, std::span<const TeamId> teams) const;
    /*! @brief Returns the first window with a count; 0 before the first count. */
    [[nodiscard]] BillingWindow firstWindow() const noexcept
    {
        return m_firstWindow;
    }

private:
    using HostCounts = std::map<std::uint64_t, std::uint32_t>;

    HostCounts &countsOf(BillingWindow window, std::string_view host);

    std::chrono::seconds m_length;
    std::map<BillingWindow, StringMap<HostCounts>> m_windows;
    BillingWindow m_firstWindow{0};
};

} // namespace guavafield
