// Merges statements and builds the lists of members by state.
#include <guavafield/coordination/membership/member_table.hpp>

#include <algorithm>

namespace guavafield {

MemberTable::Effect MemberTable::apply(const Member &statement, SteadyTime now)
{
    const auto it = m_entries.find(statement.id);
    if (it == m_entries.end()) {
        const bool reachable = statement.address.port != 0 && statement.state != MemberState::Dead;
        if (!reachable) {
            return Effect::Ignored;
        }
        m_entries.emplace(statement.id, Entry{statement, {}, now, {}});
        m_listsValid = false;
        return Effect::Changed;
    }
    auto &entry = it->second;
    auto &known = entry.member;
    const bool sameIncarnation = statement.incarnation == known.incarnation;
    if (!supersedes(statement, known)) {
        const bool refreshed = sameIncarnation && statement.revision > known.revision;
        known.revision = refreshed ? statement.revision : known.revision;
        return refreshed ? Effect::Refreshed : Effect::Ignored;
    }
    if (!sameIncarnation) {
        entry.window = ReplayWindow();
        known.revision = 0;
    }
    if (statement.state != MemberState::Suspect) {
        entry.suspicionEnds.reset();
    }
    known.incarnation = statement.incarnation;
    known.refutation = statement.refutation;
    known.state = statement.state;
    known.revision = std::max(known.revision, statement.revision);
    if (statement.address.port != 0) {
        known.address = statement.address;
        known.dataCentre = statement.dataCentre;
    }
    entry.changed = now;
    m_listsValid = false;
    return Effect::Changed;
}

void MemberTable::removeDeadBefore(SteadyTime time)
{
    const auto removed = std::erase_if(m_entries, [&](const auto &it) { return it.second.member.state == MemberState::Dead && it.second.changed < time; });
    m_listsValid = m_listsValid && removed == 0;
}

void MemberTable::removeDead(std::string_view id)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && it->second.member.state == MemberState::Dead) {
        m_entries.erase(it);
        m_listsValid = false;
    }
}

MemberTable::Entry *MemberTable::find(std::string_view id)
{
    const auto it = m_entries.find(id);
    return it != m_entries.end() ? &it->second : nullptr;
}

const MemberTable::Entry *MemberTable::find(std::string_view id) const
{
    const auto it = m_entries.find(id);
    return it != m_entries.end() ? &it->second : nullptr;
}

const std::vector<const Member *> &MemberTable::localPeers() const
{
    return lists().local;
}

const std::vector<const Member *> &MemberTable::remotePeers() const
{
    return lists().remote;
}

const std::vector<const Member *> &MemberTable::deadPeers() const
{
    return lists().dead;
}

const std::vector<const Member *> &MemberTable::suspects() const
{
    return lists().suspects;
}

bool MemberTable::hasLiveAddress(const PeerAddress &address) const
{
    return std::ranges::any_of(m_entries, [&](const auto &it) { return it.second.member.address == address && it.second.member.state != MemberState::Dead; });
}

const MemberTable::Lists &MemberTable::lists() const
{
    if (m_listsValid) {
        return m_lists;
    }
    m_lists = {};
    for (const auto &[id, entry] : m_entries) {
        const auto &member = entry.member;
        if (member.state == MemberState::Dead) {
            m_lists.dead.push_back(&member);
            continue;
        }
        (member.dataCentre == m_dataCentre ? m_lists.local : m_lists.remote).push_back(&member);
        if (member.state == MemberState::Suspect) {
            m_lists.suspects.push_back(&member);
        }
    }
    m_listsValid = true;
    return m_lists;
}

} // namespace guavafield
