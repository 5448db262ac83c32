// Bounded index of the prompt prefixes that upstreams hold.
#include <guavafield/coordination/request/placement/prefix_index.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// Bounds the memory for 275 upstreams in a data centre to a few tens of megabytes.
constexpr std::size_t prefixesPerUpstream = 2048;

} // namespace internal

void PrefixIndex::add(std::uint64_t prefix, UpstreamState &upstream)
{
    auto &indexed = m_byUpstream[&upstream];
    if (!indexed.prefixes.insert(prefix).second) {
        return;
    }
    m_holders[prefix].push_back(&upstream);
    indexed.order.push_back(prefix);
    if (indexed.order.size() > internal::prefixesPerUpstream) {
        const auto oldest = indexed.order.front();
        indexed.order.pop_front();
        remove(oldest, upstream);
    }
}

void PrefixIndex::remove(std::uint64_t prefix, UpstreamState &upstream)
{
    const auto indexed = m_byUpstream.find(&upstream);
    if (indexed == m_byUpstream.end() || indexed->second.prefixes.erase(prefix) == 0) {
        return;
    }
    auto &holders = m_holders[prefix];
    std::erase(holders, &upstream);
    if (holders.empty()) {
        m_holders.erase(prefix);
    }
}

void PrefixIndex::removeAll(UpstreamState &upstream)
{
    const auto indexed = m_byUpstream.find(&upstream);
    if (indexed == m_byUpstream.end()) {
        return;
    }
    const auto prefixes = indexed->second.prefixes;
    for (const auto it : prefixes) {
        remove(it, upstream);
    }
    m_byUpstream.erase(indexed);
}

const PrefixIndex::Holders &PrefixIndex::holders(std::uint64_t prefix) const
{
    static const Holders none;
    const auto it = m_holders.find(prefix);
    return it != m_holders.end() ? it->second : none;
}

} // namespace guavafield
