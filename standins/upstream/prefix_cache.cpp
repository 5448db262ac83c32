// Lookup, eviction and event log of the prefix cache.
#include "standins/upstream/prefix_cache.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace guavafield::standin {

std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    for (std::size_t size = prefixBlockBytes; size <= prompt.size(); size += prefixBlockBytes) {
        hashes.push_back(XXH3_64bits(prompt.data(), size));
    }
    return hashes;
}

PrefixCache::PrefixCache(std::size_t capacity, double eventLagMs, std::uint64_t gapEvery) : m_capacity(capacity), m_eventLagMs(eventLagMs), m_gapEvery(gapEvery)
{
}

std::size_t PrefixCache::cachedBlocks(const std::vector<std::uint64_t> &hashes) const
{
    std::size_t blocks = 0;
    while (blocks < hashes.size() && m_index.contains(hashes[blocks])) {
        ++blocks;
    }
    return blocks;
}

void PrefixCache::insert(const std::vector<std::uint64_t> &hashes, double now)
{
    for (const auto hash : hashes) {
        if (const auto it = m_index.find(hash); it != m_index.end()) {
            m_recency.splice(m_recency.begin(), m_recency, it->second);
            continue;
        }
        m_recency.push_front(hash);
        m_index.emplace(hash, m_recency.begin());
        publish(true, hash, now);
    }
    while (m_recency.size() > m_capacity) {
        publish(false, m_recency.back(), now);
        m_index.erase(m_recency.back());
        m_recency.pop_back();
    }
}

boost::json::object PrefixCache::eventsAfter(std::uint64_t after, double now) const
{
    boost::json::array events;
    std::uint64_t next = after;
    for (const auto &it : m_events) {
        if (it.time + m_eventLagMs > now) {
            break;
        }
        if (it.sequence <= after) {
            continue;
        }
        next = it.sequence;
        if (m_gapEvery != 0 && it.sequence % m_gapEvery == 0) {
            continue;
        }
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(it.hash));
        events.emplace_back(boost::json::object{{"n", it.sequence}, {"op", it.added ? "add" : "drop"}, {"prefix", text}});
    }
    return {{"events", std::move(events)}, {"next", next}};
}

void PrefixCache::publish(bool added, std::uint64_t hash, double now)
{
    m_events.push_back({++m_lastSequence, now, added, hash});
    if (m_events.size() > maxEvents) {
        m_events.pop_front();
    }
}

} // namespace guavafield::standin
