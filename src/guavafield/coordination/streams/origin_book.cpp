// Entries of the origin book.
#include <guavafield/coordination/streams/origin_book.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

void OriginBook::add(BegunStream stream, SteadyTime now)
{
    dropOld(now);
    const auto hash = stream.stream;
    const auto [it, added] = m_entries.try_emplace(hash);
    if (!added) {
        auto &known = it->second.stream;
        known.certain = known.certain && stream.certain && known.origin == stream.origin;
        return;
    }
    it->second.stream = std::move(stream);
    m_order.push_back(hash);
    m_unsaved.push_back(hash);
}

std::optional<StreamOrigin> OriginBook::find(StreamHash stream, SteadyTime now) const
{
    const auto it = m_entries.find(stream);
    if (it == m_entries.end() || !it->second.stream.certain || it->second.stream.until <= now) {
        return std::nullopt;
    }
    return it->second.stream.origin;
}

bool OriginBook::isUncertain(StreamHash stream) const
{
    const auto it = m_entries.find(stream);
    return it != m_entries.end() && !it->second.stream.certain;
}

void OriginBook::onConfiguration(const Configuration &configuration, SteadyTime certainUntil)
{
    for (auto &[hash, entry] : m_entries) {
        const auto upstream = configuration.upstreams.find(entry.stream.upstream);
        if (entry.stream.identified || upstream == configuration.upstreams.end() || entry.stream.dispatched <= certainUntil) {
            continue;
        }
        const bool replaced = upstream->second.incarnation != entry.stream.incarnation && upstream->second.softwareVersion != entry.stream.origin.version;
        entry.stream.certain = entry.stream.certain && !replaced;
    }
}

std::vector<BegunStream> OriginBook::takeUnsaved(const std::function<bool(const BegunStream &)> &wanted, std::size_t limit, SteadyTime now)
{
    std::vector<BegunStream> taken;
    std::deque<StreamHash> kept;
    for (const auto hash : m_unsaved) {
        const auto it = m_entries.find(hash);
        if (it == m_entries.end() || it->second.saved || !it->second.stream.certain || it->second.stream.until <= now) {
            continue;
        }
        if (taken.size() < limit && wanted(it->second.stream)) {
            it->second.saved = true;
            taken.push_back(it->second.stream);
        } else {
            kept.push_back(hash);
        }
    }
    m_unsaved = std::move(kept);
    return taken;
}

void OriginBook::returnUnsaved(const std::vector<BegunStream> &streams)
{
    for (const auto &stream : streams) {
        if (const auto it = m_entries.find(stream.stream); it != m_entries.end() && it->second.saved) {
            it->second.saved = false;
            m_unsaved.push_back(stream.stream);
        }
    }
}

void OriginBook::forgetSaved()
{
    m_unsaved = m_order;
    for (auto &[hash, entry] : m_entries) {
        entry.saved = false;
    }
}

void OriginBook::dropOld(SteadyTime now)
{
    while (!m_order.empty()) {
        const auto it = m_entries.find(m_order.front());
        const bool ended = it->second.stream.until <= now;
        if (!ended && m_entries.size() < m_capacity) {
            return;
        }
        m_entries.erase(it);
        m_order.pop_front();
    }
}

} // namespace guavafield
