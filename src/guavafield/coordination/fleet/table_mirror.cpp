// Merges versions of mirrored rows.
#include <guavafield/coordination/fleet/table_mirror.hpp>

#include <algorithm>
#include <set>

namespace guavafield {

namespace internal {

// Number of removed rows that are kept for peers that missed the removal.
constexpr std::size_t maxRemovedRows = 1'024;

} // namespace internal

bool TableMirror::applyRow(const MirroredRow &row)
{
    const auto it = m_rows.find(row.key);
    if (it != m_rows.end() && it->second.version >= row.version) {
        return false;
    }
    const bool hadValue = it != m_rows.end() && it->second.value.has_value();
    m_content = std::max(m_content, row.version);
    if (!row.value && it == m_rows.end()) {
        return false;
    }
    m_rows[row.key] = row;
    ++m_changes;
    if (!row.value && hadValue) {
        recordRemoval(row.key);
    }
    return true;
}

void TableMirror::recordRemoval(const std::string &removed)
{
    m_removed.push_back(removed);
    while (m_removed.size() > internal::maxRemovedRows) {
        const auto it = m_rows.find(m_removed.front());
        if (it != m_rows.end() && !it->second.value) {
            m_compactedVersion = std::max(m_compactedVersion, it->second.version);
            m_rows.erase(it);
        }
        m_removed.pop_front();
    }
}

bool TableMirror::apply(std::span<const MirroredRow> rows, RowVersion complete, SteadyTime confirmed)
{
    bool changed = false;
    for (const auto &it : rows) {
        changed |= applyRow(it);
    }
    confirm(complete, confirmed);
    return changed;
}

bool TableMirror::replace(std::span<const MirroredRow> rows, RowVersion complete, SteadyTime confirmed)
{
    if (m_confirmed && complete < m_complete) {
        return false;
    }
    std::set<std::string_view> present;
    bool changed = false;
    for (const auto &it : rows) {
        present.insert(it.key);
        changed |= applyRow(it);
    }
    std::vector<std::string> missing;
    for (const auto &[key, row] : m_rows) {
        if (row.value && row.version <= complete && !present.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const auto &it : missing) {
        changed |= applyRow(MirroredRow{it, complete, std::nullopt});
    }
    if (!m_confirmed) {
        // Removals before this read are unknown. The raised content version tells this mirror apart from one that missed them.
        m_compactedVersion = complete;
        advanceContent(complete);
    }
    confirm(complete, confirmed);
    return changed;
}

void TableMirror::confirm(RowVersion complete, SteadyTime confirmed)
{
    m_complete = std::max(m_complete, complete);
    m_confirmed = m_confirmed ? std::max(*m_confirmed, confirmed) : confirmed;
}

void TableMirror::advanceContent(RowVersion content)
{
    m_content = std::max(m_content, content);
}

std::optional<std::vector<MirroredRow>> TableMirror::changesAfter(RowVersion version) const
{
    if (version < m_compactedVersion) {
        return std::nullopt;
    }
    std::vector<MirroredRow> changes;
    for (const auto &[key, row] : m_rows) {
        if (row.version > version) {
            changes.push_back(row);
        }
    }
    return changes;
}

std::vector<MirroredRow> TableMirror::rows() const
{
    std::vector<MirroredRow> result;
    for (const auto &[key, row] : m_rows) {
        if (row.value) {
            result.push_back(row);
        }
    }
    return result;
}

TableKnowledge TableMirror::knowledge(SteadyTime now) const
{
    TableKnowledge result{m_content, m_complete, Milliseconds::max()};
    if (m_confirmed) {
        result.age = std::chrono::ceil<Milliseconds>(std::max(now - *m_confirmed, SteadyTime::duration::zero()));
    }
    return result;
}

} // namespace guavafield
