// Where the other hosts of the fleet are, as their rows and their reports say.
#pragma once

#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/state/types.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace guavafield {

/*!
 * @brief Addresses by host; those of hosts that stay silent are dropped.
 *
 * Gossip alone takes about a second a host until all know each other. Not safe for several threads.
 */
class AddressBook
{
public:
    /*! @brief Takes a row of the hosts' table; a host that was dropped needs to be heard to come back. */
    void updateFromRow(std::string_view host, const PeerAddress &address, SteadyTime now);
    /*! @brief Takes the address of a host that was heard. */
    void updateFromReport(std::string_view host, const PeerAddress &address, bool slowLink, SteadyTime now);

    /*! @brief Returns where reports go; hosts known to have fast links come first. */
    [[nodiscard]] std::vector<PeerAddress> addresses(SteadyTime now) const;
    /*! @brief Returns the number of hosts that were heard lately. */
    [[nodiscard]] std::size_t countResponsive(SteadyTime now) const;

private:
    struct Entry
    {
        PeerAddress address;
        // When it was heard, or learnt if it was not heard yet.
        SteadyTime lastUpdate{};
        bool hasReported{false};
        bool slowLink{false};
    };

    StringMap<Entry> m_entries;
};

} // namespace guavafield
