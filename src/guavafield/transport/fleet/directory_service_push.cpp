// Changes of upstreams that the reading host tells its peers.
#include <guavafield/transport/fleet/directory_service.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace guavafield {

namespace internal {

// Changes of upstreams are repeated in reports for this long, in case one was lost, and only while they are few.
constexpr Milliseconds changesRepeated{700};
constexpr Milliseconds changesRepeatedLargeFleet{300};
constexpr std::size_t maxChangesBytes = 900;
// More changes at once are read by each host itself. A reader on a slow link that pushed them would delay its own reading and the reports that
// tell the others that it reads.
constexpr std::size_t maxPushedRows = 400;
constexpr std::size_t maxPushedBytes = 1'500'000;
constexpr std::size_t maxPushedBytesSlowLink = 250'000;
// Age of the knowledge in all parts of the changes but the last: what follows is not in them, so that they say nothing about the present.
constexpr std::chrono::hours notConfirmed{24};
constexpr std::size_t rowOverheadBytes = 24;

} // namespace internal

void DirectoryService::announceChange(DirectoryTable table, RowVersion before)
{
    if (table == DirectoryTable::Upstreams) {
        const auto now = m_dependencies.clock.now();
        m_recent.emplace_back(now, before);
        while (now - m_recent.front().first > changesRepeated()) {
            m_recent.pop_front();
        }
    }
    // Followers repeat nothing, or each change would be sent by every host to every other.
    if (reads()) {
        m_dependencies.announce();
    }
}

Milliseconds DirectoryService::changesRepeated() const noexcept
{
    return largeFleet() ? internal::changesRepeatedLargeFleet : internal::changesRepeated;
}

std::vector<HostReport> DirectoryService::changeReports() const
{
    const auto now = m_dependencies.clock.now();
    if (!reads() || m_recent.empty() || now - m_recent.back().first > changesRepeated()) {
        return {};
    }
    const auto base = m_recent.front().second;
    auto changes = mirror(DirectoryTable::Upstreams).changesAfter(base).value_or(std::vector<MirroredRow>());
    if (changes.size() > internal::maxPushedRows) {
        return {};
    }
    const auto rowBytes = [](const MirroredRow &it) { return it.key.size() + (it.value ? it.value->size() : 0) + internal::rowOverheadBytes; };
    std::size_t allBytes = 0;
    for (const auto &it : changes) {
        allBytes += rowBytes(it);
    }
    // A large fleet is reached through relays.
    const auto copies = largeFleet() ? static_cast<std::size_t>(std::ceil(std::sqrt(m_hosts))) : m_hosts;
    if (allBytes * copies > (m_dependencies.slowLink ? internal::maxPushedBytesSlowLink : internal::maxPushedBytes)) {
        return {};
    }
    std::ranges::sort(changes, {}, &MirroredRow::version);
    auto known = mirror(DirectoryTable::Upstreams).knowledge(now);
    std::vector<HostReport> result;
    std::size_t bytes = 0;
    for (auto &it : changes) {
        const auto size = rowBytes(it);
        if (result.empty() || bytes + size > internal::maxChangesBytes) {
            auto &part = result.emplace_back();
            part.changesOnly = true;
            part.changesAfter = result.size() == 1 ? base : result[result.size() - 2].upstreams->content;
            bytes = 0;
        }
        bytes += size;
        result.back().upstreams = TableKnowledge{it.version, it.version, internal::notConfirmed};
        result.back().changes.push_back(std::move(it));
    }
    if (!result.empty()) {
        result.back().upstreams = known;
    }
    return result;
}

} // namespace guavafield
