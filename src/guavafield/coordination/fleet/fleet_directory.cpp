// Decodes changed rows and delays the removal of entries that expired in an outage.
#include <guavafield/coordination/fleet/fleet_directory.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

// After this long without a confirmation, entries may have expired only because they could not be written.
constexpr Milliseconds outageThreshold{1'200};
// Time after an outage in which a running upstream has rewritten its entry.
constexpr Milliseconds expiryGrace{2'500};
// An entry that a restored table brings back has expired by then if its upstream is gone.
constexpr Milliseconds oldEntryGrace{5'000};

} // namespace internal

std::shared_ptr<const Configuration> FleetDirectory::update(const TableMirror &document, const TableMirror &upstreams, SteadyTime now)
{
    const bool upstreamsChanged = updateUpstreams(upstreams, now);
    const bool evacuationsChanged = updateEvacuations(document, now);
    const bool documentChanged = updateDocument(document);
    if (m_document.revision == 0 || !(documentChanged || evacuationsChanged || upstreamsChanged)) {
        return nullptr;
    }
    auto result = std::make_shared<Configuration>(m_document);
    result->upstreamsVersion = upstreams.content();
    result->evacuated = m_evacuated;
    for (const auto &[id, known] : m_upstreams) {
        if (known.upstream && result->pools.contains(known.upstream->pool)) {
            result->upstreams.emplace(id, *known.upstream);
        }
    }
    return result;
}

bool FleetDirectory::updateDocument(const TableMirror &mirror)
{
    if (std::exchange(m_documentChanges, mirror.changes()) == mirror.changes()) {
        return false;
    }
    bool changed = false;
    for (const auto &row : mirror.rows()) {
        if (row.key != m_codec.documentKey || row.version <= m_documentVersion) {
            continue;
        }
        m_documentVersion = row.version;
        auto decoded = capture([&] { return m_codec.document(*row.value); });
        if (!decoded) {
            m_faults.push_back({row.key, row.version, std::move(decoded.error)});
        } else if (decoded.value->revision >= m_document.revision) {
            m_document = std::move(*decoded.value);
            changed = true;
        }
    }
    return changed;
}

std::set<DataCentreId, std::less<>> FleetDirectory::listedEvacuations(const TableMirror &mirror) const
{
    std::set<DataCentreId, std::less<>> listed;
    if (m_codec.evacuationPrefix.empty()) {
        return listed;
    }
    for (const auto &row : mirror.rows()) {
        // The value is not read, so that one that is malformed does not return the data centre to service.
        if (row.key.starts_with(m_codec.evacuationPrefix)) {
            listed.insert(row.key.substr(m_codec.evacuationPrefix.size()));
        }
    }
    return listed;
}

bool FleetDirectory::updateEvacuations(const TableMirror &mirror, SteadyTime now)
{
    const bool due = m_keepEvacuationsUntil && now >= *m_keepEvacuationsUntil;
    if (m_documentChanges == mirror.changes() && !due) {
        if (m_keepEvacuationsUntil) {
            m_wakeup = std::min(m_wakeup.value_or(*m_keepEvacuationsUntil), *m_keepEvacuationsUntil);
        }
        return false;
    }
    const auto epoch = epochStart(mirror.complete());
    if (std::exchange(m_documentEpoch, epoch) != epoch && !m_evacuated.empty()) {
        m_keepEvacuationsUntil = now + internal::oldEntryGrace;
    }
    auto evacuated = listedEvacuations(mirror);
    if (m_keepEvacuationsUntil && now < *m_keepEvacuationsUntil) {
        evacuated.insert(m_evacuated.begin(), m_evacuated.end());
        m_wakeup = std::min(m_wakeup.value_or(*m_keepEvacuationsUntil), *m_keepEvacuationsUntil);
    } else {
        m_keepEvacuationsUntil.reset();
    }
    return std::exchange(m_evacuated, evacuated) != evacuated;
}

void FleetDirectory::detectOutage(const TableMirror &mirror, SteadyTime now)
{
    // Without a failed reading the gap is this host's own, e.g. while the host that reads for the others is replaced: entries were renewed all the time.
    const bool readFailed = m_lastReadFailure && m_lastConfirmed && *m_lastReadFailure > *m_lastConfirmed;
    if (readFailed && mirror.confirmed() && *mirror.confirmed() - *m_lastConfirmed > internal::outageThreshold) {
        m_outageEnd = now;
    }
    m_lastConfirmed = mirror.confirmed();
}

void FleetDirectory::detectRestoration(const TableMirror &mirror, SteadyTime now)
{
    const auto epoch = epochStart(mirror.complete());
    if (epoch == m_epoch) {
        return;
    }
    if (m_lastConfirmed) {
        m_restoredAt = now;
        // Upstreams that the copy lacks write their entries again.
        m_outageEnd = now;
    }
    m_epoch = epoch;
}

bool FleetDirectory::mayHoldOldEntries(SteadyTime now) const noexcept
{
    return m_restoredAt && now - *m_restoredAt < internal::oldEntryGrace;
}

bool FleetDirectory::updateUpstreams(const TableMirror &mirror, SteadyTime now)
{
    detectRestoration(mirror, now);
    detectOutage(mirror, now);
    const bool rowsChanged = std::exchange(m_upstreamChanges, mirror.changes()) != mirror.changes();
    if (!rowsChanged && (!m_wakeup || now < *m_wakeup)) {
        return false;
    }
    bool changed = false;
    m_wakeup.reset();
    const auto rows = mirror.rows();
    for (const auto &row : rows) {
        changed |= applyEntry(row, now);
    }
    for (auto it = m_upstreams.begin(); it != m_upstreams.end();) {
        auto &known = it->second;
        const auto row = std::ranges::lower_bound(rows, it->first, {}, &MirroredRow::key);
        if (row != rows.end() && row->key == it->first) {
            known.removeAt.reset();
            ++it;
            continue;
        }
        const bool mayReturn = known.upstream && !known.upstream->leaving && m_outageEnd && now - *m_outageEnd < internal::expiryGrace;
        if (!known.removeAt) {
            known.removeAt = mayReturn ? *m_outageEnd + internal::expiryGrace : now;
            if (mayReturn) {
                m_kept.push_back({it->first, std::chrono::ceil<Milliseconds>(*known.removeAt - now)});
            }
        }
        if (now >= *known.removeAt) {
            changed |= known.upstream.has_value();
            if (known.upstream) {
                m_removed.add(*known.upstream, mirror.complete(), now);
            }
            it = m_upstreams.erase(it);
        } else {
            m_wakeup = std::min(m_wakeup.value_or(*known.removeAt), *known.removeAt);
            ++it;
        }
    }
    return changed;
}

bool FleetDirectory::applyEntry(const MirroredRow &row, SteadyTime now)
{
    auto &known = m_upstreams[row.key];
    if (known.version >= row.version) {
        return false;
    }
    const bool fromEarlierEpoch = epochStart(known.version) < epochStart(row.version);
    auto decoded = capture([&] { return m_codec.upstream(row.key, *row.value); });
    if (decoded && !known.upstream && mayHoldOldEntries(now)) {
        m_removed.onEntry(row.key, row.version);
        if (m_removed.isFromCopy(decoded.value->upstream, row.version)) {
            const auto due = *m_restoredAt + internal::oldEntryGrace;
            m_wakeup = std::min(m_wakeup.value_or(due), due);
            return false;
        }
    }
    known.version = row.version;
    if (!decoded) {
        m_faults.push_back({row.key, row.version, std::move(decoded.error)});
        const bool used = known.upstream.has_value();
        known.upstream.reset();
        return used;
    }
    auto upstream = std::move(decoded.value->upstream);
    if (decoded.value->leavesIn) {
        upstream.leavesAt = now + *decoded.value->leavesIn;
    }
    if (decoded.value->coldFor) {
        upstream.coldUntil = now + *decoded.value->coldFor;
    }
    if (fromEarlierEpoch && known.upstream && known.upstream->leaving && known.upstream->incarnation == upstream.incarnation) {
        // The copy may be from before the upstream announced that it leaves.
        upstream.leaving = true;
    }
    if (known.upstream && known.upstream->leavesAt && upstream.leavesAt) {
        upstream.leavesAt = std::min(*known.upstream->leavesAt, *upstream.leavesAt);
    }
    const bool changed = known.upstream != upstream;
    known.upstream = std::move(upstream);
    return changed;
}

std::vector<InvalidDirectoryRow> FleetDirectory::takeInvalidRows()
{
    return std::exchange(m_faults, {});
}

std::vector<KeptUpstream> FleetDirectory::takeKeptUpstreams()
{
    return std::exchange(m_kept, {});
}

} // namespace guavafield
