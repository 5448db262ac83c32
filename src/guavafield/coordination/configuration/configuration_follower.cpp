// Polling, fetching and application of changes, and withdrawals ahead of their change.
#include <guavafield/coordination/configuration/configuration_follower.hpp>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace guavafield {

namespace internal {

// Withdrawals of keys that the configuration does not contain are kept, since the change that creates the key may still arrive.
constexpr std::size_t maxEarlyWithdrawals = 4096;
constexpr std::chrono::minutes unknownKeyRetention{10};
constexpr std::size_t maxRecentWithdrawals = 64;

/*! @brief Returns the poll offset of a host; hashing the host id spreads the polls of all hosts over the interval. */
Milliseconds pollPhase(const HostId &host, Milliseconds interval)
{
    const auto hash = XXH3_64bits(host.data(), host.size());
    return Milliseconds(static_cast<Milliseconds::rep>(hash % static_cast<std::uint64_t>(interval.count())));
}

Milliseconds elapsedSince(SteadyTime then, SteadyTime now)
{
    return std::chrono::duration_cast<Milliseconds>(std::max(now - then, SteadyTime::duration::zero()));
}

/*! @brief Returns the keys that were valid before and are withdrawn or removed after. */
std::vector<KeyId> stoppedKeys(const Configuration &before, const Configuration &after)
{
    std::vector<KeyId> stopped;
    auto next = after.keys.begin();
    for (const auto &[id, key] : before.keys) {
        while (next != after.keys.end() && next->first < id) {
            ++next;
        }
        if (!key.withdrawn && (next == after.keys.end() || next->first != id || next->second.withdrawn)) {
            stopped.push_back(id);
        }
    }
    return stopped;
}

} // namespace internal

ConfigurationFollower::ConfigurationFollower(FollowerSettings settings, SteadyTime now)
    : m_settings(std::move(settings)), m_committed(std::make_shared<const Configuration>()), m_effective(m_committed), m_nextPoll(now), m_nextFetch(now)
{
}

std::vector<FollowerAction> ConfigurationFollower::step(SteadyTime now)
{
    m_lastStep = now;
    std::vector<FollowerAction> actions;
    poll(now, actions);
    fetch(now, actions);
    updateReadiness(now);
    if (std::exchange(m_publishPending, false)) {
        actions.emplace_back(PublishAction{m_effective});
    }
    if (!m_stoppedKeys.empty()) {
        actions.emplace_back(StopKeysAction{std::exchange(m_stoppedKeys, {})});
    }
    return actions;
}

SteadyTime ConfigurationFollower::nextWakeup() const noexcept
{
    auto next = m_nextPoll;
    if (m_fetch) {
        next = std::min(next, m_fetch->deadline);
    } else if (m_newestRevision > m_committed->revision) {
        next = std::min(next, m_nextFetch);
    }
    if (m_firstPeerRevisionAt && *m_firstPeerRevisionAt + m_settings.peerSettleTime > m_lastStep) {
        next = std::min(next, *m_firstPeerRevisionAt + m_settings.peerSettleTime);
    }
    return next;
}

void ConfigurationFollower::poll(SteadyTime now, std::vector<FollowerAction> &actions)
{
    if (now < m_nextPoll) {
        return;
    }
    m_headRead = HeadRead{++m_lastFetchId, now};
    actions.emplace_back(ReadHeadAction{m_headRead->id});
    const auto phase = internal::pollPhase(m_settings.host, m_settings.pollInterval);
    const auto cycles = (now.time_since_epoch() - phase) / m_settings.pollInterval;
    m_nextPoll = SteadyTime(phase + (cycles + 1) * m_settings.pollInterval);
    if (m_nextPoll <= now) {
        m_nextPoll += m_settings.pollInterval;
    }
}

void ConfigurationFollower::fetch(SteadyTime now, std::vector<FollowerAction> &actions)
{
    if (m_fetch && now >= m_fetch->deadline) {
        endFetch(m_fetch->id, false, now);
    }
    if (m_fetch || m_newestRevision <= m_committed->revision || now < m_nextFetch) {
        return;
    }
    const auto sources = fetchSources();
    m_sourceIndex = std::min(m_sourceIndex, sources.size() - 1);
    m_fetch = Fetch{++m_lastFetchId, now + m_settings.fetchTimeout};
    actions.push_back(makeFetchAction(sources[m_sourceIndex], m_fetch->id));
}

auto ConfigurationFollower::fetchSources() const -> std::vector<Source>
{
    if (m_newestRevision - m_committed->revision <= snapshotInterval) {
        // Falls back to a peer snapshot: a peer that started from a snapshot has no earlier changes, and the platform may be down.
        return {Source::PeerChanges, Source::TableChanges, Source::PeerSnapshot};
    }
    return {Source::PeerSnapshot, Source::NewestSnapshot, Source::PreviousSnapshot, Source::TableChanges};
}

FollowerAction ConfigurationFollower::makeFetchAction(Source source, FetchId id) const
{
    const auto revision = m_committed->revision;
    const auto newestSnapshot = m_newestRevision - m_newestRevision % snapshotInterval;
    switch (source) {
    case Source::PeerChanges:
        return FetchPeerChangesAction{id, revision};
    case Source::PeerSnapshot:
        return FetchPeerSnapshotAction{id};
    case Source::NewestSnapshot:
        return FetchSnapshotAction{id, newestSnapshot};
    case Source::PreviousSnapshot:
        return FetchSnapshotAction{id, newestSnapshot - snapshotInterval};
    case Source::TableChanges:
        break;
    }
    return FetchChangesAction{id, revision, std::min(m_newestRevision, revision + snapshotInterval)};
}

void ConfigurationFollower::onHead(FetchId id, const ConfigurationHead &head)
{
    const bool current = m_headRead && m_headRead->id == id;
    if (head.revision >= m_newestRevision) {
        m_minimumSchema = std::max(m_minimumSchema, head.minimumSchema);
    }
    updateNewestRevision(head.revision, current ? std::optional(m_headRead->sentAt) : std::nullopt);
    m_headReceived = true;
    if (current) {
        m_headRead.reset();
    }
}

void ConfigurationFollower::onHeadFailed(FetchId id)
{
    if (m_headRead && m_headRead->id == id) {
        m_headRead.reset();
    }
}

void ConfigurationFollower::onPeerRevision(Revision revision, Milliseconds age, SteadyTime now)
{
    m_firstPeerRevisionAt = m_firstPeerRevisionAt.value_or(now);
    updateNewestRevision(revision, now - age);
}

void ConfigurationFollower::updateNewestRevision(Revision revision, std::optional<SteadyTime> at)
{
    if (revision < m_newestRevision) {
        return;
    }
    m_newestRevision = revision;
    if (at && (!m_newestRevisionAt || *m_newestRevisionAt < *at)) {
        m_newestRevisionAt = at;
    }
    updateConfirmation();
}

void ConfigurationFollower::updateConfirmation()
{
    if (m_committed->revision >= m_newestRevision && m_newestRevisionAt) {
        m_confirmedAt = std::max(m_confirmedAt.value_or(*m_newestRevisionAt), *m_newestRevisionAt);
    }
}

void ConfigurationFollower::updateReadiness(SteadyTime now)
{
    const bool current = m_committed->revision >= m_newestRevision;
    const bool peersSettled = m_firstPeerRevisionAt && now - *m_firstPeerRevisionAt >= m_settings.peerSettleTime;
    m_hasBeenReady = m_hasBeenReady || (current && (m_headReceived || peersSettled));
}

void ConfigurationFollower::onChanges(FetchId id, std::vector<ChangeRecord> records, SteadyTime now)
{
    applyChanges(id, std::move(records), now);
}

void ConfigurationFollower::onPeerChanges(FetchId id, std::vector<ChangeRecord> records, SteadyTime now)
{
    applyChanges(id, std::move(records), now);
}

void ConfigurationFollower::onSnapshot(FetchId id, Configuration snapshot, SteadyTime now)
{
    applySnapshot(id, std::move(snapshot), now);
}

void ConfigurationFollower::onPeerSnapshot(FetchId id, Configuration snapshot, SteadyTime now)
{
    applySnapshot(id, std::move(snapshot), now);
}

void ConfigurationFollower::onFetchFailed(FetchId id, SteadyTime now)
{
    endFetch(id, false, now);
}

void ConfigurationFollower::onCommitted(ChangeRecord record, SteadyTime now)
{
    std::vector<ChangeRecord> records;
    records.push_back(std::move(record));
    applyChanges(0, std::move(records), now);
}

void ConfigurationFollower::applyChanges(FetchId id, std::vector<ChangeRecord> records, SteadyTime now)
{
    const auto before = m_committed->revision;
    const bool applicable = std::ranges::any_of(records, [&](const ChangeRecord &it) { return it.revision == before + 1; });
    if (applicable) {
        auto configuration = *m_committed;
        ConfigurationFaults faults;
        for (auto it = records.begin(); it != records.end() && faults.empty(); ++it) {
            if (it->revision == configuration.revision + 1) {
                faults = applyRecord(configuration, *it);
            }
        }
        if (configuration.revision > before) {
            replaceCommitted(std::move(configuration), now);
        }
        if (!faults.empty()) {
            m_applyFault = std::move(faults.front());
            m_nextFetch = now + m_settings.applyRetryInterval;
        }
    }
    endFetch(id, m_committed->revision > before, now);
}

ConfigurationFaults ConfigurationFollower::applyRecord(Configuration &configuration, ChangeRecord &record)
{
    if (record.schema > schemaVersion) {
        return {{ResultCode::ConfigurationUnknownField, "schema", "the change requires schema version " + std::to_string(record.schema)}};
    }
    if (auto *faults = std::get_if<ConfigurationFaults>(&record.change)) {
        return std::move(*faults);
    }
    auto faults = applyChangeInPlace(configuration, std::get<ConfigurationChange>(record.change));
    if (faults.empty()) {
        m_log.push_back({record.revision, std::move(record.text)});
        if (m_log.size() > snapshotInterval) {
            m_log.pop_front();
        }
    }
    return faults;
}

void ConfigurationFollower::applySnapshot(FetchId id, Configuration snapshot, SteadyTime now)
{
    const bool newer = snapshot.revision > m_committed->revision;
    if (newer) {
        m_log.clear();
        replaceCommitted(std::move(snapshot), now);
    }
    endFetch(id, newer, now);
}

void ConfigurationFollower::replaceCommitted(Configuration configuration, SteadyTime now)
{
    m_committed = std::make_shared<const Configuration>(std::move(configuration));
    m_applyFault.reset();
    updateNewestRevision(std::max(m_newestRevision, m_committed->revision), std::nullopt);
    pruneEarlyWithdrawals(now);
    rebuildEffective(now);
}

void ConfigurationFollower::endFetch(FetchId id, bool progress, SteadyTime now)
{
    if (!m_fetch || m_fetch->id != id) {
        return;
    }
    m_fetch.reset();
    m_sourceIndex = progress ? 0 : m_sourceIndex + 1;
    if (m_newestRevision > m_committed->revision && m_sourceIndex >= fetchSources().size()) {
        m_sourceIndex = 0;
        m_nextFetch = std::max(m_nextFetch, now + m_settings.retryInterval);
    }
}

void ConfigurationFollower::onWithdrawal(const KeyId &key, SteadyTime now)
{
    const auto it = m_committed->keys.find(key);
    const bool known = it != m_committed->keys.end();
    if ((known && it->second.withdrawn) || m_earlyWithdrawals.contains(key)) {
        return;
    }
    if (!known && m_earlyWithdrawals.size() >= internal::maxEarlyWithdrawals) {
        return;
    }
    m_earlyWithdrawals.emplace(key, now);
    if (known) {
        rebuildEffective(now);
    } else {
        addRecentWithdrawal(key, now);
    }
}

void ConfigurationFollower::pruneEarlyWithdrawals(SteadyTime now)
{
    std::erase_if(m_earlyWithdrawals, [&](const auto &entry) {
        const auto it = m_committed->keys.find(entry.first);
        return it == m_committed->keys.end() ? now - entry.second >= internal::unknownKeyRetention : it->second.withdrawn;
    });
}

void ConfigurationFollower::rebuildEffective(SteadyTime now)
{
    const auto before = m_effective;
    std::shared_ptr<Configuration> changed;
    for (const auto &[id, since] : m_earlyWithdrawals) {
        if (m_committed->keys.contains(id)) {
            changed = changed ? changed : std::make_shared<Configuration>(*m_committed);
            changed->keys.find(id)->second.withdrawn = true;
        }
    }
    m_effective = changed ? changed : m_committed;
    m_publishPending = true;
    for (auto &it : internal::stoppedKeys(*before, *m_effective)) {
        // Removed keys are not gossiped; otherwise their ids would stay blocked on hosts that have already removed them.
        if (m_effective->keys.contains(it)) {
            addRecentWithdrawal(it, now);
        }
        m_stoppedKeys.push_back(std::move(it));
    }
}

void ConfigurationFollower::addRecentWithdrawal(const KeyId &key, SteadyTime now)
{
    m_recentWithdrawals.push_front({key, now});
    if (m_recentWithdrawals.size() > internal::maxRecentWithdrawals) {
        m_recentWithdrawals.pop_back();
    }
}

std::optional<std::vector<std::string>> ConfigurationFollower::changesAfter(Revision revision) const
{
    const auto current = m_committed->revision;
    if (revision >= current) {
        return std::vector<std::string>{};
    }
    if (m_log.empty() || m_log.front().revision > revision + 1) {
        return std::nullopt;
    }
    std::vector<std::string> texts;
    for (const auto &it : m_log) {
        if (it.revision > revision) {
            texts.push_back(it.text);
        }
    }
    return texts;
}

std::optional<KnownRevision> ConfigurationFollower::knownRevision(SteadyTime now) const
{
    if (!m_newestRevisionAt) {
        return std::nullopt;
    }
    return KnownRevision{m_newestRevision, internal::elapsedSince(*m_newestRevisionAt, now)};
}

std::vector<KeyId> ConfigurationFollower::recentWithdrawals(SteadyTime now) const
{
    std::vector<KeyId> keys;
    for (const auto &it : m_recentWithdrawals) {
        if (now - it.since < m_settings.withdrawalGossipTime) {
            keys.push_back(it.key);
        }
    }
    return keys;
}

std::vector<KeyId> ConfigurationFollower::uncommittedWithdrawals() const
{
    std::vector<KeyId> keys;
    for (const auto &[id, since] : m_earlyWithdrawals) {
        if (m_committed->keys.contains(id)) {
            keys.push_back(id);
        }
    }
    return keys;
}

FollowerStatus ConfigurationFollower::status(SteadyTime now) const
{
    FollowerStatus status;
    status.revision = m_committed->revision;
    status.newestKnown = m_newestRevision;
    if (m_confirmedAt) {
        status.confirmationAge = internal::elapsedSince(*m_confirmedAt, now);
    }
    status.unconfirmed = !m_confirmedAt || now - *m_confirmedAt >= m_settings.confirmationLimit;
    status.behind = m_newestRevision > m_committed->revision;
    status.ready = m_hasBeenReady && m_minimumSchema <= schemaVersion;
    status.applyFault = m_applyFault;
    return status;
}

} // namespace guavafield
