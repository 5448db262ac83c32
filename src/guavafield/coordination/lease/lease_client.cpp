// State machine of a lease.
#include <guavafield/coordination/lease/lease_client.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace internal {

// Largest clock drift. The holder shortens the lease by it and a candidate lengthens it, so that their views cannot overlap.
constexpr int maxDriftPercent = 5;
// Candidates with a lower rank poll the row; the others read it only when a take-over may be due.
constexpr std::uint32_t pollingRanks = 3;
// Bounds the pause after failures at 16 times the first one.
constexpr int maxDoublings = 4;
constexpr std::uint32_t maxStaggeredRank = 40;

bool contains(const std::vector<LeaseHolder> &list, const LeaseHolder &holder)
{
    return std::ranges::find(list, holder) != list.end();
}

} // namespace internal

LeaseClient::LeaseClient(LeaseSettings settings, LeaseCodec codec) : m_settings(std::move(settings)), m_codec(codec), m_key{"lease", m_settings.name} { }

std::vector<LeaseAction> LeaseClient::step(SteadyTime now)
{
    if (m_firstStep == SteadyTime{}) {
        m_firstStep = now;
    }
    return advance(now);
}

std::vector<LeaseAction> LeaseClient::onTransaction(const TransactionReply &reply, SteadyTime now)
{
    m_outstanding = false;
    std::visit(Overloaded{
                   [&](const TransactionCommitted &committed) {
                       m_failures = 0;
                       applyRecord(m_pendingRecord, committed.versions.at(0), now);
                   },
                   [&](const TransactionConflict &conflict) { applyRow(conflict.current, now); },
                   [&](const TransactionUnknown &) { m_mustRead = true; },
                   [&](const TransactionRejected &) {
                       m_pendingRenewals.erase(m_pendingRecord.renewal);
                       backOff(now);
                   },
               },
               reply);
    return advance(now);
}

std::vector<LeaseAction> LeaseClient::onRead(const ReadReply &reply, SteadyTime now)
{
    m_outstanding = false;
    const auto *rows = std::get_if<ReadRows>(&reply);
    if (rows == nullptr || rows->rows.size() != 1) {
        backOff(now);
        return advance(now);
    }
    m_failures = 0;
    m_mustRead = false;
    // An older version than the known one is a stale read; a conditional write on the known version detects whether it is current.
    if (!m_rowKnown || rows->rows[0].version >= m_version) {
        applyRow(rows->rows[0], now);
    }
    return advance(now);
}

std::vector<LeaseAction> LeaseClient::onHosts(std::span<const ListedHost> hosts, SteadyTime now)
{
    m_listOutstanding = false;
    m_nextList = now + m_settings.retryEvery;
    for (const auto &it : m_record.unreleased) {
        const bool gone = std::ranges::any_of(
            hosts, [&](const ListedHost &listed) { return listed.state == HostState::Gone && listed.id == it.host && listed.incarnation >= it.incarnation; });
        if (gone) {
            confirmGone(it);
        }
    }
    return advance(now);
}

void LeaseClient::backOff(SteadyTime now) noexcept
{
    // The recorded holder is needed again at once when the service returns; of the others, one is enough.
    const auto factor = isRecordedHolder() ? 1 : 1 << std::min(m_failures, internal::maxDoublings);
    ++m_failures;
    m_notBefore = now + m_settings.retryEvery * factor;
}

bool LeaseClient::waitsForAnnouncement(SteadyTime now) const noexcept
{
    return m_rank >= internal::pollingRanks && (holderRecentlyAnnounced(now) || now < m_firstStep + m_settings.takeOverDelayPerRank * m_rank);
}

void LeaseClient::setRank(std::uint32_t rank) noexcept
{
    m_rank = std::min(rank, internal::maxStaggeredRank);
}

void LeaseClient::confirmGone(const LeaseHolder &holder)
{
    if (!internal::contains(m_confirmedGone, holder)) {
        m_confirmedGone.push_back(holder);
        m_mustRead = m_mustRead || !isRecordedHolder();
    }
}

void LeaseClient::stop() noexcept
{
    m_stopping = true;
}

bool LeaseClient::stopped() const noexcept
{
    return m_stopping && !m_outstanding && !m_mustRead && !isRecordedHolder() && !internal::contains(m_record.unreleased, m_settings.self);
}

std::optional<Fence> LeaseClient::fence(SteadyTime now) const noexcept
{
    return holds(now) ? std::optional(m_record.fence) : std::nullopt;
}

bool LeaseClient::mayOrderWithoutFencing(SteadyTime now) const noexcept
{
    return holds(now) && m_record.unreleased.empty();
}

std::optional<Fence> LeaseClient::beginSend(SendRule rule, SteadyTime now) noexcept
{
    const bool allowed = !m_stopping && (rule == SendRule::Holder ? holds(now) : mayOrderWithoutFencing(now));
    if (!allowed) {
        return std::nullopt;
    }
    ++m_sendsInProgress;
    return m_record.fence;
}

void LeaseClient::endSend() noexcept
{
    --m_sendsInProgress;
}

const std::vector<LeaseHolder> &LeaseClient::unreleased() const noexcept
{
    return m_record.unreleased;
}

bool LeaseClient::holds(SteadyTime now) const noexcept
{
    return now < m_validUntil;
}

bool LeaseClient::isRecordedHolder() const noexcept
{
    return !m_recordLapsed && m_record.holder == m_settings.self;
}

void LeaseClient::onHolderAnnounced(std::string_view holder, Fence fence, SteadyTime now)
{
    if (fence >= m_record.fence) {
        m_announcedHolder = holder;
        m_announcedFence = fence;
        m_holderAnnouncedAt = now;
        m_endedFence.reset();
    }
}

void LeaseClient::onNonHolderAnnounced(std::string_view host) noexcept
{
    if (m_holderAnnouncedAt && host == m_announcedHolder) {
        m_holderAnnouncedAt.reset();
        m_endedFence = m_announcedFence;
        m_lastRead = {};
    }
}

bool LeaseClient::holderRecentlyAnnounced(SteadyTime now) const noexcept
{
    return m_holderAnnouncedAt && now < *m_holderAnnouncedAt + m_settings.term;
}

SteadyTime LeaseClient::takeOverDueAt() const noexcept
{
    // A holder whose own view of its lease has ended sends nothing more under that fence. The record of an earlier epoch may lack a later holder.
    const bool released = !m_record.holder || (!m_settings.recordsUnreleased && m_endedFence == m_record.fence);
    const bool ended = m_recordLapsed ? m_heldWhenLapsed : released;
    const auto longest = m_recordLapsed ? std::max(m_record.term, m_settings.term) : m_record.term;
    const auto term = ended ? Milliseconds{0} : longest * (100 + internal::maxDriftPercent) / 100;
    auto due = m_unchangedSince + term;
    if (m_holderAnnouncedAt) {
        due = std::max(due, *m_holderAnnouncedAt + m_settings.term);
    }
    return due + m_settings.takeOverDelayPerRank * m_rank;
}

std::vector<LeaseAction> LeaseClient::advance(SteadyTime now)
{
    std::vector<LeaseAction> actions;
    if (holds(now) != m_reportedHeld) {
        m_reportedHeld = holds(now);
        actions.emplace_back(LeaseChanged{m_reportedHeld, m_record.fence});
    }
    if (isRecordedHolder() && !m_record.unreleased.empty() && !m_listOutstanding && now >= m_nextList) {
        m_listOutstanding = true;
        actions.emplace_back(ListHostsAction{});
    }
    if (!m_outstanding && now >= m_notBefore) {
        if (auto operation = nextOperation(now)) {
            m_outstanding = true;
            actions.push_back(std::move(*operation));
        }
    }
    return actions;
}

std::optional<LeaseAction> LeaseClient::nextOperation(SteadyTime now)
{
    if (m_mustRead) {
        return m_rowKnown || !waitsForAnnouncement(now) ? std::optional(read(now)) : std::nullopt;
    }
    if (isRecordedHolder()) {
        return nextAsHolder(now);
    }
    const bool selfUnreleased = internal::contains(m_record.unreleased, m_settings.self);
    if ((selfUnreleased && m_sendsInProgress == 0) || hasConfirmedUnreleased()) {
        auto record = m_record;
        if (m_sendsInProgress == 0) {
            std::erase(record.unreleased, m_settings.self);
        }
        removeConfirmedGone(record);
        return write(std::move(record));
    }
    if (selfUnreleased || m_stopping) {
        return std::nullopt;
    }
    return nextAsCandidate(now);
}

std::optional<LeaseAction> LeaseClient::nextAsHolder(SteadyTime now)
{
    if (m_stopping) {
        if (m_sendsInProgress > 0) {
            return std::nullopt;
        }
        // The lease counts as lost from the decision to release, whether or not the write succeeds.
        m_validUntil = {};
        auto record = m_record;
        record.holder.reset();
        return writeAsHolder(std::move(record), now);
    }
    if (now >= m_nextRenewal || hasConfirmedUnreleased()) {
        return writeAsHolder(m_record, now);
    }
    return std::nullopt;
}

std::optional<LeaseAction> LeaseClient::nextAsCandidate(SteadyTime now)
{
    const auto due = takeOverDueAt();
    if (now >= due && m_lastRead >= due) {
        return takeOver(now);
    }
    const bool pollDue = m_rank < internal::pollingRanks && !holderRecentlyAnnounced(now) && now >= m_lastRead + m_settings.renewEvery;
    if (pollDue || now >= due) {
        return read(now);
    }
    return std::nullopt;
}

bool LeaseClient::hasConfirmedUnreleased() const noexcept
{
    return std::ranges::any_of(m_confirmedGone, [&](const LeaseHolder &it) { return internal::contains(m_record.unreleased, it); });
}

LeaseAction LeaseClient::read(SteadyTime now)
{
    m_lastRead = now;
    return ReadAction{{m_key}};
}

LeaseAction LeaseClient::takeOver(SteadyTime now)
{
    auto record = m_record;
    if (record.holder && m_settings.recordsUnreleased) {
        record.unreleased.push_back(*record.holder);
    }
    record.holder = m_settings.self;
    // Fences of all earlier epochs are lower.
    record.fence = std::max(record.fence, epochStart(m_version)) + 1;
    return writeAsHolder(std::move(record), now);
}

LeaseAction LeaseClient::writeAsHolder(LeaseRecord record, SteadyTime now)
{
    removeConfirmedGone(record);
    record.term = m_settings.term;
    record.renewal = uniqueId();
    m_pendingRenewals.emplace(record.renewal, now);
    m_nextRenewal = now + m_settings.renewEvery;
    return write(std::move(record));
}

LeaseAction LeaseClient::write(LeaseRecord record)
{
    m_pendingRecord = std::move(record);
    return TransactAction{{uniqueId(), {{m_key, m_version}}, {{m_key, m_codec.encode(m_pendingRecord)}}}};
}

std::string LeaseClient::uniqueId()
{
    return m_settings.self.host + "/" + std::to_string(m_settings.self.incarnation) + "/" + std::to_string(++m_lastId);
}

void LeaseClient::removeConfirmedGone(LeaseRecord &record) const
{
    std::erase_if(record.unreleased, [&](const LeaseHolder &it) { return internal::contains(m_confirmedGone, it); });
}

void LeaseClient::applyRow(const Row &row, SteadyTime now)
{
    if (withoutEpoch(row.version) == 0) {
        // The fencing token never decreases, even if the row is deleted.
        LeaseRecord absent;
        absent.fence = m_record.fence;
        absent.unreleased = m_record.unreleased;
        applyRecord(std::move(absent), row.version, now);
    } else if (auto record = m_codec.decode(row.value)) {
        applyRecord(std::move(*record), row.version, now);
    } else {
        m_mustRead = true;
        m_notBefore = now + m_settings.retryEvery;
    }
}

void LeaseClient::applyRecord(LeaseRecord record, RowVersion version, SteadyTime now)
{
    const bool lapsed = record.fence < epochStart(version);
    if (!m_rowKnown || record.holder != m_record.holder || record.renewal != m_record.renewal || (lapsed && epochStart(version) > epochStart(m_version))) {
        m_unchangedSince = now;
        m_heldWhenLapsed = lapsed && holds(now);
    }
    m_recordLapsed = lapsed;
    const bool versionChanged = !m_rowKnown || version != m_version;
    m_rowKnown = true;
    m_record = std::move(record);
    m_version = version;
    std::erase_if(m_confirmedGone, [&](const LeaseHolder &it) { return !internal::contains(m_record.unreleased, it); });
    if (!isRecordedHolder()) {
        m_validUntil = {};
    } else if (const auto attempt = m_pendingRenewals.find(m_record.renewal); attempt != m_pendingRenewals.end() && !m_stopping) {
        m_validUntil = attempt->second + m_record.term * (100 - internal::maxDriftPercent) / 100;
    }
    // Every pending renewal was conditional on an earlier version and can no longer take effect.
    if (versionChanged) {
        m_pendingRenewals.clear();
    }
}

} // namespace guavafield
