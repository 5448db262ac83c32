// Table of known members and the rules for merging statements about them.
#pragma once

#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/coordination/membership/replay_window.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Members other than this host, by id. */
class MemberTable
{
public:
    /*! @brief A member and the local state kept for it, which is not shared with peers. */
    struct Entry
    {
        Member member;
        // Reset when member.incarnation changes.
        ReplayWindow window;
        // Time of the last change of state, address or incarnation.
        SteadyTime changed;
        // Set only while the member is suspected.
        std::optional<SteadyTime> suspicionEnds;
    };

    /*! @brief Effect of a statement on the table. */
    enum class Effect {
        // Superseded, or about an unknown host that is dead or has no address.
        Ignored,
        // Only the revision was newer.
        Refreshed,
        // State, address or incarnation changed.
        Changed,
    };

    explicit MemberTable(DataCentreId dataCentre) : m_dataCentre(std::move(dataCentre)) { }

    /*! @brief Merges a statement about another host. */
    Effect apply(const Member &statement, SteadyTime now);
    /*! @brief Removes members that have been dead since before a time. */
    void removeDeadBefore(SteadyTime time);
    /*! @brief Removes a member if it is dead. */
    void removeDead(std::string_view id);

    [[nodiscard]] Entry *find(std::string_view id);
    [[nodiscard]] const Entry *find(std::string_view id) const;
    [[nodiscard]] const StringMap<Entry> &entries() const noexcept
    {
        return m_entries;
    }

    /*! @brief Returns members of this host's data centre, excluding dead ones. */
    [[nodiscard]] const std::vector<const Member *> &localPeers() const;
    /*! @brief Returns members of other data centres, excluding dead ones. */
    [[nodiscard]] const std::vector<const Member *> &remotePeers() const;
    [[nodiscard]] const std::vector<const Member *> &deadPeers() const;
    [[nodiscard]] const std::vector<const Member *> &suspects() const;
    /*! @brief Returns whether a member that is not dead has this address. */
    [[nodiscard]] bool hasLiveAddress(const PeerAddress &address) const;

private:
    /*! @brief Members by data centre and state; rebuilt on first use after a change. */
    struct Lists
    {
        std::vector<const Member *> local;
        std::vector<const Member *> remote;
        std::vector<const Member *> dead;
        std::vector<const Member *> suspects;
    };

    [[nodiscard]] const Lists &lists() const;

    DataCentreId m_dataCentre;
    StringMap<Entry> m_entries;
    mutable Lists m_lists;
    mutable bool m_listsValid{false};
};

} // namespace guavafield
