// Handling of received membership messages.
#include <guavafield/coordination/membership/membership.hpp>

#include <algorithm>

namespace guavafield {

namespace {

// Encoding overhead of the list of members in a SyncReply, which is filled up to the largest datagram.
constexpr std::size_t syncListBytes = 10;
// Limit on concurrent probes on behalf of other hosts.
constexpr std::size_t maxRelayed = 64;
constexpr Milliseconds reconnectTime{60'000};
// Delay before another pass when the last one found new members.
constexpr Milliseconds syncPassInterval{10'000};

} // namespace

Membership::Actions Membership::onMessage(const PeerMessage &message, const PeerAddress &from, SteadyTime now)
{
    resumeIfPaused(now);
    if (admit(message, from, now)) {
        applyContents(message, now);
        handleKind(message, from, now);
    }
    return takeActions(now);
}

bool Membership::admit(const PeerMessage &message, const PeerAddress &from, SteadyTime now)
{
    if (now < m_ignoreUntil) {
        reject("received while this process was paused");
        return false;
    }
    if (message.self.id == m_self.id) {
        m_superseded = m_superseded || message.self.incarnation > m_self.incarnation;
        reject("the sender has the id of this host");
        return false;
    }
    if (message.recipient != recipientTag(m_self.id, m_self.incarnation)) {
        answerMisaddressedProbe(message, from, now);
        return false;
    }
    const auto *known = m_table.find(message.self.id);
    if (known != nullptr && message.self.incarnation < known->member.incarnation) {
        reject("the incarnation of the sender is outdated");
        return false;
    }
    // A new incarnation or an unknown sender has an empty window, so its first datagram is accepted.
    if (known != nullptr && message.self.incarnation == known->member.incarnation && !m_table.find(message.self.id)->window.accept(message.counter)) {
        reject("the counter was received before or is too old");
        return false;
    }
    return true;
}

void Membership::reject(std::string_view reason)
{
    m_actions.emplace_back(MessageRejected{std::string(reason)});
}

void Membership::answerMisaddressedProbe(const PeerMessage &message, const PeerAddress &from, SteadyTime now)
{
    // The sender does not know the current incarnation of this host, and the Ack tells it. The datagram itself is not applied,
    // since one that is addressed to another incarnation may be a replay.
    if (message.kind != PeerMessageKind::Probe || m_misaddressedAcks.available(now) < 1) {
        reject("the recipient is another host or incarnation");
        return;
    }
    m_misaddressedAcks.spend(1);
    auto answer = compose(PeerMessageKind::Ack, message.probe);
    answer.recipient = recipientTag(message.self.id, message.self.incarnation);
    send(std::move(answer), from, nullptr, now);
}

void Membership::applyContents(const PeerMessage &message, SteadyTime now)
{
    const auto *before = m_table.find(message.self.id);
    const bool newIncarnation = before == nullptr || before->member.incarnation < message.self.incarnation;
    const bool sync = message.kind == PeerMessageKind::SyncReply;
    applyStatement(message.self, true, now);
    if (auto *entry = m_table.find(message.self.id); newIncarnation && entry != nullptr) {
        static_cast<void>(entry->window.accept(message.counter));
    }
    for (const auto &it : message.updates) {
        applyStatement(it, !sync, now);
    }
    if (message.newestRevision) {
        const auto old = newestRevision(now);
        confirmRevision(*message.newestRevision, now);
        const auto merged = newestRevision(now);
        if (!old || merged->revision > old->revision || merged->age < old->age) {
            m_actions.emplace_back(RevisionReceived{message.self.id, *message.newestRevision});
        }
    }
    for (const auto &it : message.withdrawals) {
        if (m_piggyback.queueWithdrawal(it, now)) {
            m_urgentUpdatesDue = true;
            m_actions.emplace_back(WithdrawalReceived{it});
        }
    }
    for (const auto &it : message.crashes) {
        if (m_piggyback.queueCrash(it, now)) {
            m_urgentUpdatesDue = true;
            m_actions.emplace_back(CrashReceived{it});
        }
    }
    for (const auto &it : message.demand) {
        if (it.host != m_self.id && m_piggyback.recordDemand(it, now)) {
            m_actions.emplace_back(DemandReceived{it});
        }
    }
}

void Membership::applyStatement(const Member &statement, bool queue, SteadyTime now)
{
    if (statement.id == m_self.id) {
        refute(statement);
        return;
    }
    const auto *before = m_table.find(statement.id);
    const bool wasDead = before != nullptr && before->member.state == MemberState::Dead;
    const bool wasAbsent = before == nullptr || wasDead;
    if (m_table.apply(statement, now) != MemberTable::Effect::Changed) {
        return;
    }
    auto *entry = m_table.find(statement.id);
    const bool isDead = entry->member.state == MemberState::Dead;
    if (wasAbsent && !isDead) {
        ++(queue ? m_joinedMembers : m_syncNewMembers);
        m_reconnectUntil = wasDead ? now + reconnectTime : m_reconnectUntil;
    }
    m_urgentUpdatesDue = m_urgentUpdatesDue || isDead;
    if (entry->member.state == MemberState::Suspect) {
        entry->suspicionEnds = now + m_settings.indirectSuspicionTimeout;
    }
    if (queue) {
        m_piggyback.queueMember(statement.id);
    }
    m_actions.emplace_back(MemberChanged{entry->member});
}

void Membership::refute(const Member &statement)
{
    m_superseded = m_superseded || statement.incarnation > m_self.incarnation;
    const bool claimsFailure = statement.state == MemberState::Suspect || statement.state == MemberState::Dead;
    if (claimsFailure && statement.incarnation == m_self.incarnation && statement.refutation >= m_self.refutation) {
        m_self.refutation = statement.refutation + 1;
        m_urgentUpdatesDue = true;
    }
}

void Membership::handleKind(const PeerMessage &message, const PeerAddress &from, SteadyTime now)
{
    const auto *sender = m_table.find(message.self.id);
    switch (message.kind) {
    case PeerMessageKind::Probe:
        send(compose(PeerMessageKind::Ack, message.probe), from, sender != nullptr ? &sender->member : nullptr, now);
        break;
    case PeerMessageKind::Ack:
        handleAck(message, now);
        break;
    case PeerMessageKind::IndirectProbe:
        handleIndirectProbe(message, from, now);
        break;
    case PeerMessageKind::SyncRequest:
        handleSyncRequest(message, from, now);
        break;
    case PeerMessageKind::SyncReply:
        handleSyncReply(message, now);
        break;
    case PeerMessageKind::Notice:
    case PeerMessageKind::Report:
    case PeerMessageKind::Count:
        break;
    }
}

void Membership::handleAck(const PeerMessage &message, SteadyTime now)
{
    if (const auto relayed = m_relayed.find(message.probe); relayed != m_relayed.end()) {
        const auto *origin = m_table.find(relayed->second.originId);
        if (origin != nullptr) {
            send(compose(PeerMessageKind::Ack, relayed->second.originProbe), relayed->second.origin, &origin->member, now);
        }
        m_relayed.erase(relayed);
        return;
    }
    const auto it = m_probes.find(message.probe);
    if (it == m_probes.end()) {
        return;
    }
    const auto &probe = it->second;
    const bool incarnationWasUnknown = probe.target.empty() || probe.incarnation != message.self.incarnation;
    const bool answers = probe.target.empty() || message.self.id == probe.target || std::ranges::find(probe.proxies, message.self.id) != probe.proxies.end();
    if (!answers) {
        return;
    }
    const bool direct = probe.target.empty() || message.self.id == probe.target;
    m_probes.erase(it);
    // The peer answered without applying the probe. Now that its incarnation is known, it is probed again with the right recipient.
    if (const auto *entry = m_table.find(message.self.id); direct && incarnationWasUnknown && entry != nullptr) {
        sendProbe(entry->member, now);
    }
}

void Membership::handleIndirectProbe(const PeerMessage &message, const PeerAddress &from, SteadyTime now)
{
    if (m_relayed.size() >= maxRelayed || message.target.port == 0) {
        return;
    }
    const auto number = ++m_lastProbe;
    m_relayed[number] = RelayedProbe{from, message.self.id, message.probe, now};
    auto probe = compose(PeerMessageKind::Probe, number);
    probe.recipient = message.targetTag;
    send(std::move(probe), message.target, nullptr, now);
}

void Membership::handleSyncRequest(const PeerMessage &message, const PeerAddress &from, SteadyTime now)
{
    // The byte budget is used up; the requester retries with another peer.
    if (m_syncBytes.available(now) < 0) {
        return;
    }
    const auto *sender = m_table.find(message.self.id);
    auto reply = compose(PeerMessageKind::SyncReply, 0);
    auto it = m_table.entries().upper_bound(message.cursor);
    for (; it != m_table.entries().end(); ++it) {
        const auto &member = it->second.member;
        if (member.state == MemberState::Dead || member.state == MemberState::Suspect || member.id == message.self.id) {
            continue;
        }
        // Reserves room for the cursor, which is the id of this member or of the one before it.
        if (encodedBound(reply) + encodedBound(member) + syncListBytes + encodedBound(KeyId(member.id)) > maxDatagramBytes) {
            break;
        }
        reply.updates.push_back(member);
    }
    if (it != m_table.entries().end() && !reply.updates.empty()) {
        reply.cursor = reply.updates.back().id;
    }
    send(std::move(reply), from, sender != nullptr ? &sender->member : nullptr, now);
}

void Membership::handleSyncReply(const PeerMessage &message, SteadyTime now)
{
    if (!m_nextSync) {
        return;
    }
    m_syncCursor = message.cursor;
    const bool passComplete = m_syncWrapped && (message.cursor.empty() || message.cursor >= m_self.id);
    m_syncWrapped = m_syncWrapped || message.cursor.empty();
    if (!passComplete) {
        return;
    }
    if (m_syncNewMembers > 0) {
        startSync(now + syncPassInterval);
    } else {
        m_nextSync.reset();
    }
}

} // namespace guavafield
