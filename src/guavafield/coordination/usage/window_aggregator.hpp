// Requests by team and billing window: this host's own and what the others reported.
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
 * @brief Keeps the counts of the last windows.
 *
 * A host reports its counts of a window again and again; they only rise, so that the largest report holds. Not safe for several threads.
 */
class WindowAggregator
{
public:
    /*! @param length Of a window; positive. */
    explicit WindowAggregator(std::chrono::seconds length) : m_length(length) { }

    [[nodiscard]] BillingWindow windowAt(WallTime time) const noexcept;
    [[nodiscard]] WallTime endOf(BillingWindow window) const noexcept;

    /*! @brief Counts a request of this host. */
    void count(const TeamId &team, WallTime time);
    /*!
     * @brief Takes a report of another host.
     * @param host One life of the host.
     */
    void onReport(std::string_view host, std::span<const WindowCounts> windows);

    /*!
     * @brief Returns the host's own counts of the present window and of one earlier window, for its peers.
     * @param turn Chooses the earlier window in the second half of the present one; before, it is the last. To be raised with each call.
     */
    [[nodiscard]] std::vector<WindowCounts> ownCounts(WallTime time, std::uint64_t turn) const;
    /*! @brief Adds up all hosts' counts of a window; counts of teams that are not listed are left out. */
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
