// Updates and expiry of entries.
#include <guavafield/coordination/fleet/address_book.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// A host without a report for this long gets no further reports until it sends one.
constexpr Milliseconds addressTimeout{10'000};
// A host may be cut off from this one for so long while it serves its callers.
constexpr Milliseconds rememberedFor{60'000};

} // namespace internal

void AddressBook::updateFromRow(std::string_view host, const PeerAddress &address, SteadyTime now)
{
    const auto [it, added] = m_entries.try_emplace(std::string(host), Entry{address, now});
    if (!added && it->second.address != address) {
        it->second = Entry{address, now};
    }
}

void AddressBook::updateFromReport(std::string_view host, const PeerAddress &address, bool slowLink, SteadyTime now)
{
    m_entries[std::string(host)] = Entry{address, now, true, slowLink};
}

std::vector<PeerAddress> AddressBook::addresses(SteadyTime now) const
{
    std::vector<PeerAddress> result;
    std::vector<PeerAddress> others;
    for (const auto &[host, entry] : m_entries) {
        if (now - entry.lastUpdate < internal::addressTimeout) {
            (entry.hasReported && !entry.slowLink ? result : others).push_back(entry.address);
        }
    }
    result.insert(result.end(), others.begin(), others.end());
    return result;
}

std::vector<HostId> AddressBook::hosts(SteadyTime now) const
{
    std::vector<HostId> result;
    for (const auto &[host, entry] : m_entries) {
        if (now - entry.lastUpdate < internal::addressTimeout) {
            result.push_back(host);
        }
    }
    return result;
}

std::vector<HostId> AddressBook::remembered(SteadyTime now) const
{
    std::vector<HostId> result;
    for (const auto &[host, entry] : m_entries) {
        if (now - entry.lastUpdate < internal::rememberedFor) {
            result.push_back(host);
        }
    }
    return result;
}

void AddressBook::erase(std::string_view host)
{
    if (const auto it = m_entries.find(host); it != m_entries.end()) {
        m_entries.erase(it);
    }
}

std::size_t AddressBook::countResponsive(SteadyTime now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_entries, [now](const auto &it) { return it.second.hasReported && now - it.second.lastUpdate < internal::addressTimeout; }));
}

} // namespace guavafield
