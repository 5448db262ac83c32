// All members that a host knows of, and the rules by which statements about them are merged.
#pragma once

#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/coordination/membership/replay_window.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief The other members, by id. */
class MemberTable
{
public:
    /*! @brief A member with what only this host knows of it. */
    struct Entry
    {
        Member member;
        // Belongs to member.incarnation.
        ReplayWindow window;
        // Last change of state.
        SteadyTime changed;
        // Set exactly while the member is a suspect.
        std::optional<SteadyTime> suspicionEnds;
    };

    /*! @brief What a statement did. */
    enum class Effect {
        // Older than what is known, or about an unknown host that is not reachable.
        Ignored,
        // Nothing but the revision was newer.
        Refreshed,
        // State, address or life changed.
        Changed,
    };

    explicit MemberTable(DataCentreId dataCentre) : m_dataCentre(std::move(dataCentre)) { }

    /*! @brief Merges a statement about another host. */
    Effect apply(const Member &statement, SteadyTime now);
    /*! @brief Drops dead members that changed before a time. */
    void removeDeadBefore(SteadyTime time);
    /*! @brief Drops a member if it is dead. */
    void removeDead(std::string_view id);

    [[nodiscard]] Entry *find(std::string_view id);
    [[nodiscard]] const Entry *find(std::string_view id) const;
    [[nodiscard]] const StringMap<Entry> &entries() const noexcept
    {
        return m_entries;
    }

    /*! @brief Returns the members of this host's data centre that are not dead. */
    [[nodiscard]] const std::vector<const Member *> &localPeers() const;
    /*! @brief Returns the members of other data centres that are not dead. */
    [[nodiscard]] const std::vector<const Member *> &remotePeers() const;
    [[nodiscard]] const std::vector<const Member *> &deadPeers() const;
    [[nodiscard]] const std::vector<const Member *> &suspects() const;
    /*! @brief Says whether a member that is not dead has this address. */
    [[nodiscard]] bool hasLiveAddress(const PeerAddress &address) const;

private:
    /*! @brief Lists by state and place, rebuilt after a change. */
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
