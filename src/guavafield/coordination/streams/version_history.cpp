// Versions of each pool.
#include <guavafield/coordination/streams/version_history.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

using Versions = std::map<SoftwareVersion, std::optional<WallTime>>;

StringMap<Versions> presentVersions(const Configuration &configuration)
{
    StringMap<Versions> present;
    for (const auto &[id, upstream] : configuration.upstreams) {
        if (!upstream.pool.empty()) {
            present[upstream.pool][upstream.softwareVersion] = std::nullopt;
        }
    }
    return present;
}

StringMap<Milliseconds> reaches(const Configuration &configuration)
{
    StringMap<Milliseconds> result;
    for (const auto &[id, route] : configuration.routes) {
        const auto *target = std::get_if<PoolTarget>(&route.target);
        if (target == nullptr) {
            continue;
        }
        for (const auto &share : target->pools) {
            auto &reach = result[share.pool];
            reach = std::max(reach, VersionHistory::takeUpMargin + route.timeout);
        }
    }
    return result;
}

} // namespace internal

void VersionHistory::onConfiguration(const Configuration &configuration, WallTime now)
{
    const auto present = internal::presentVersions(configuration);
    for (const auto &[id, versions] : present) {
        m_pools[id].seen = true;
    }
    const auto reaches = internal::reaches(configuration);
    for (auto &[id, pool] : m_pools) {
        // Streams of a longer limit may be under way after it was shortened.
        const auto reach = reaches.find(id);
        pool.reach = std::max(pool.reach, reach == reaches.end() ? Milliseconds{0} : reach->second);
        const auto versions = present.find(id);
        takePresent(pool, versions == present.end() ? internal::Versions() : versions->second, now);
    }
    m_observed = true;
    m_observedSince = m_observedSince.value_or(now);
}

void VersionHistory::onBegan(const PoolId &pool, const SoftwareVersion &version, WallTime now)
{
    const auto [it, added] = m_pools[pool].versions.try_emplace(version, now);
    if (!added && it->second) {
        it->second = std::max(*it->second, now);
    }
}

void VersionHistory::takePresent(PoolHistory &pool, const internal::Versions &present, WallTime now)
{
    for (const auto &[version, left] : present) {
        pool.versions[version] = std::nullopt;
    }
    for (auto &[version, left] : pool.versions) {
        if (!left && !present.contains(version)) {
            left = now;
        }
    }
    std::erase_if(pool.versions, [&](const auto &it) { return it.second && *it.second + pool.reach < now; });
}

void VersionHistory::takeRow(PoolHistory &pool, const VersionRecord &record, bool present, WallTime now)
{
    for (const auto &it : record.versions) {
        const auto [own, added] = pool.versions.try_emplace(it.version, it.left);
        if (!added && own->second) {
            own->second = std::max(*own->second, it.left.value_or(now));
        } else if (added && !it.left && present) {
            // It left while nobody looked.
            own->second = now;
        }
    }
}

void VersionHistory::onRow(const PoolId &id, RowVersion version, const std::optional<VersionRecord> &record, WallTime now)
{
    auto &pool = m_pools[id];
    const bool current = record && record->epoch == (version >> versionBits);
    if (record) {
        takeRow(pool, *record, m_observed, now);
    }
    // A row that may have come back older says nothing of what happened since it was written; this host's own memory does, if it has any.
    const auto own = std::min(pool.since.value_or(now), m_observedSince.value_or(now));
    pool.since = current ? std::min(own, record->since) : own;
    pool.row = record;
    pool.rowVersion = version;
    pool.rowKnown = true;
}

void VersionHistory::onGap()
{
    for (auto &[id, pool] : m_pools) {
        pool.rowKnown = false;
        pool.since.reset();
    }
    m_observed = false;
    m_observedSince.reset();
}

void VersionHistory::forgetRows()
{
    for (auto &[id, pool] : m_pools) {
        pool.rowKnown = false;
    }
}

bool VersionHistory::areRowsKnown() const
{
    return m_observed && std::ranges::all_of(m_pools, [](const auto &it) { return it.second.rowKnown || !it.second.seen; });
}

std::vector<PoolId> VersionHistory::pools() const
{
    std::vector<PoolId> result;
    for (const auto &[id, pool] : m_pools) {
        if (pool.seen) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<PoolId> VersionHistory::due() const
{
    std::vector<PoolId> pools;
    for (const auto &[id, pool] : m_pools) {
        if (!m_observed || !pool.seen || !pool.rowKnown) {
            continue;
        }
        const auto row = pool.row.value_or(VersionRecord{});
        const auto isSame = [&](const auto &own) {
            const auto it = std::ranges::find(row.versions, own.first, &VersionSpan::version);
            return it != row.versions.end() && (own.second ? it->left && *it->left >= *own.second : !it->left);
        };
        const bool stale = !pool.row || row.epoch != (pool.rowVersion >> versionBits);
        if (stale || !std::ranges::all_of(pool.versions, isSame)) {
            pools.push_back(id);
        }
    }
    return pools;
}

VersionRecord VersionHistory::record(const PoolId &id) const
{
    VersionRecord record;
    const auto it = m_pools.find(id);
    if (it == m_pools.end()) {
        return record;
    }
    record.since = it->second.since.value_or(WallTime{});
    record.epoch = it->second.rowVersion >> versionBits;
    for (const auto &[version, left] : it->second.versions) {
        record.versions.push_back({version, left});
    }
    return record;
}

RowVersion VersionHistory::rowVersion(const PoolId &pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? 0 : it->second.rowVersion;
}

std::optional<SoftwareVersion> VersionHistory::sole(const PoolId &id, WallTime now) const
{
    const auto it = m_pools.find(id);
    if (!m_observed || it == m_pools.end() || !it->second.rowKnown || !it->second.since) {
        return std::nullopt;
    }
    const auto &pool = it->second;
    if (now - *pool.since < pool.reach) {
        return std::nullopt;
    }
    std::optional<SoftwareVersion> result;
    for (const auto &[version, left] : pool.versions) {
        if (left && *left + pool.reach < now) {
            continue;
        }
        if (result || left) {
            return std::nullopt;
        }
        result = version;
    }
    return result;
}

Milliseconds VersionHistory::reach(const PoolId &pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? takeUpMargin : it->second.reach;
}

} // namespace guavafield
