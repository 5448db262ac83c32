// Addresses of the other hosts of the fleet, from their table rows and reports.
#pragma once

#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/state/types.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace guavafield {

/*!
 * @brief Addresses by host, which expire for hosts that send no reports.
 *
 * Table rows are used as well, since gossip alone takes about one second per host until all know each other. Not thread-safe.
 */
class AddressBook
{
public:
    /*! @brief Applies a row of the hosts table; does not renew an expired entry unless the address changed. */
    void updateFromRow(std::string_view host, const PeerAddress &address, SteadyTime now);
    /*! @brief Applies the source address of a report and renews the entry. */
    void updateFromReport(std::string_view host, const PeerAddress &address, bool slowLink, SteadyTime now);

    /*! @brief Returns the addresses to which reports are sent; hosts known to have fast links come first. */
    [[nodiscard]] std::vector<PeerAddress> addresses(SteadyTime now) const;
    /*! @brief Returns the hosts to which reports are sent. */
    [[nodiscard]] std::vector<HostId> hosts(SteadyTime now) const;
    /*! @brief Returns the hosts that may still send requests, also those that are not heard now; hosts that have said that they leave are not among them. */
    [[nodiscard]] std::vector<HostId> remembered(SteadyTime now) const;
    /*! @brief Forgets a host that has said that it leaves. */
    void erase(std::string_view host);
    /*! @brief Returns the number of hosts that reported recently. */
    [[nodiscard]] std::size_t countResponsive(SteadyTime now) const;

private:
    struct Entry
    {
        PeerAddress address;
        // Time of the last report, or of the first row with this address if there was no report since.
        SteadyTime lastUpdate{};
        bool hasReported{false};
        bool slowLink{false};
    };

    StringMap<Entry> m_entries;
};

} // namespace guavafield
