// Entries of the origin index.
#include <guavafield/coordination/streams/origin_index.hpp>

#include <algorithm>

namespace guavafield {

void OriginIndex::add(const OriginBatch &batch)
{
    for (const auto &group : batch.groups) {
        for (const auto stream : group.streams) {
            const auto [it, added] = m_entries.try_emplace(stream, Entry{group.origin, batch.until});
            if (!added && it->second.origin != group.origin) {
                it->second.origin.reset();
            }
            it->second.until = std::max(it->second.until, batch.until);
        }
    }
}

std::optional<StreamOrigin> OriginIndex::find(StreamHash stream) const
{
    const auto it = m_entries.find(stream);
    return it == m_entries.end() ? std::nullopt : it->second.origin;
}

void OriginIndex::dropEnded(WallTime now)
{
    std::erase_if(m_entries, [now](const auto &it) { return it.second.until <= now; });
}

} // namespace guavafield
