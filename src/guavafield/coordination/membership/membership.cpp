// Timers of the membership protocol: probe rounds, timeouts, suspicions and synchronization with peers; and sending.
#include <guavafield/coordination/membership/membership.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavafield {

namespace {

constexpr Milliseconds housekeepingInterval{5000};
constexpr Milliseconds syncInterval{1000};
// Wakeups delayed by more than this are taken as a pause of the process, shorter delays as scheduling jitter.
constexpr Milliseconds pauseThreshold{1000};
// Time after a pause in which received datagrams are discarded, since they may have queued in the socket.
constexpr Milliseconds drainTime{100};
// One in this many rounds, on average, also probes a host that is not known to be alive.
constexpr std::uint64_t unreachableProbePeriod = 8;
// Added to an age at each hop, so that transit does not make information look fresher than it is. Exceeds the latency between regions.
constexpr Milliseconds transitAllowance{100};
constexpr std::size_t urgentFanOut = 3;
constexpr std::size_t joinsForSync = 4;
constexpr std::size_t reconnectProbes = 2;
constexpr double misaddressedAcksPerSecond = 20;
constexpr double syncBytesPerSecond = 300;

} // namespace

Membership::Membership(MembershipSettings settings, SteadyTime now)
    : m_settings(std::move(settings))
    , m_self{m_settings.id, m_settings.dataCentre, m_settings.address, m_settings.incarnation, 0, MemberState::Alive, 0}
    , m_table(m_settings.dataCentre)
    , m_piggyback(m_settings.bytesPerSecond, now)
    , m_random(m_settings.seed)
    , m_nextHousekeeping(now + housekeepingInterval)
    , m_reconnectUntil(now)
    , m_misaddressedAcks(misaddressedAcksPerSecond, misaddressedAcksPerSecond, now)
    , m_syncBytes(syncBytesPerSecond, 2 * maxDatagramBytes, now)
    , m_ignoreUntil(now)
{
    const auto interval = static_cast<std::uint64_t>(m_settings.probeInterval.count());
    m_nextRound = now + Milliseconds(m_random() % interval);
    startSync(now);
}

Membership::Actions Membership::step(SteadyTime now)
{
    resumeIfPaused(now);
    checkProbes(now);
    checkSuspicions(now);
    if (now >= m_nextRound) {
        probeRound(now);
    }
    if (m_nextSync && now >= *m_nextSync) {
        requestSync(now);
    }
    if (now >= m_nextHousekeeping) {
        housekeeping(now);
    }
    return takeActions(now);
}

void Membership::housekeeping(SteadyTime now)
{
    m_nextHousekeeping = now + housekeepingInterval;
    m_table.removeDeadBefore(now - m_settings.deadRetention);
    m_piggyback.expire(now);
    std::erase_if(m_relayed, [&](const auto &it) { return it.second.sent + m_settings.probeTimeout < now; });
    // Gossip alone converges slowly when many hosts join at once.
    if (std::exchange(m_joinedMembers, 0) >= joinsForSync && !m_nextSync) {
        startSync(now);
    }
}

SteadyTime Membership::nextWakeup() const
{
    auto next = std::min(m_nextRound, m_nextHousekeeping);
    if (m_nextSync) {
        next = std::min(next, *m_nextSync);
    }
    for (const auto &[number, probe] : m_probes) {
        next = std::min(next, probe.sent + (probe.indirectProbesSent ? m_settings.probeTimeout : m_settings.directTimeout));
    }
    for (const auto *it : m_table.suspects()) {
        next = std::min(next, m_table.find(it->id)->suspicionEnds.value_or(next));
    }
    return next;
}

void Membership::resumeIfPaused(SteadyTime now)
{
    const auto delay = now - nextWakeup();
    if (delay <= pauseThreshold) {
        return;
    }
    // A paused process receives no Ack and no refutation, so a missing answer says nothing about the peer.
    m_probes.clear();
    m_relayed.clear();
    for (const auto *it : m_table.suspects()) {
        auto &ends = m_table.find(it->id)->suspicionEnds;
        ends = ends.value_or(now) + delay;
    }
    m_nextRound = now + drainTime;
    m_nextHousekeeping = now + housekeepingInterval;
    if (m_nextSync) {
        m_nextSync = m_nextRound;
    }
    m_ignoreUntil = now + drainTime;
}

void Membership::checkProbes(SteadyTime now)
{
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        auto &probe = it->second;
        if (!probe.indirectProbesSent && now >= probe.sent + m_settings.directTimeout) {
            sendIndirectProbes(it->first, probe, now);
        }
        if (now >= probe.sent + m_settings.probeTimeout) {
            suspect(probe, now);
            it = m_probes.erase(it);
        } else {
            ++it;
        }
    }
}

void Membership::sendIndirectProbes(std::uint32_t number, PendingProbe &probe, SteadyTime now)
{
    probe.indirectProbesSent = true;
    const auto *target = m_table.find(probe.target);
    if (target == nullptr || target->member.state == MemberState::Dead) {
        return;
    }
    for (const auto *proxy : chooseProxies(probe.target)) {
        auto message = compose(PeerMessageKind::IndirectProbe, number);
        message.target = target->member.address;
        message.targetTag = recipientTag(target->member.id, target->member.incarnation);
        probe.proxies.push_back(proxy->id);
        send(std::move(message), proxy->address, proxy, now);
    }
}

void Membership::suspect(const PendingProbe &probe, SteadyTime now)
{
    auto *entry = m_table.find(probe.target);
    if (entry == nullptr || entry->member.incarnation != probe.incarnation) {
        return;
    }
    auto statement = entry->member;
    // A host that announced that it leaves and no longer answers has stopped.
    statement.state = statement.state == MemberState::Leaving ? MemberState::Dead : MemberState::Suspect;
    applyStatement(statement, true, now);
    if (entry->member.state == MemberState::Suspect) {
        entry->suspicionEnds = std::min(entry->suspicionEnds.value_or(SteadyTime::max()), now + m_settings.suspicionTimeout);
        // Notifies the suspect directly. With 330 hosts, gossip alone reached it too late for a refutation in four of ten cases.
        sendProbe(entry->member, now);
    }
}

void Membership::checkSuspicions(SteadyTime now)
{
    // Copied because declaring a member dead invalidates the list.
    const auto suspects = m_table.suspects();
    for (const auto *it : suspects) {
        auto statement = *it;
        if (now >= m_table.find(statement.id)->suspicionEnds.value_or(now)) {
            statement.state = MemberState::Dead;
            applyStatement(statement, true, now);
        }
    }
}

void Membership::probeRound(SteadyTime now)
{
    // Jitter of a tenth of the interval (0.95 to 1.05) keeps hosts that started together from probing in step.
    const auto interval = static_cast<std::uint64_t>(m_settings.probeInterval.count());
    m_nextRound = now + Milliseconds(interval * 19 / 20 + m_random() % (interval / 10));
    const auto *target = chooseTarget();
    if (target != nullptr) {
        sendProbe(*target, now);
    }
    if (target == nullptr || m_random() % unreachableProbePeriod == 0) {
        probeUnreachable(now);
    }
    for (std::size_t n = 0; n < reconnectProbes && now < m_reconnectUntil && m_piggyback.hasBudget(now); ++n) {
        probeDead(now);
    }
}

void Membership::probeDead(SteadyTime now)
{
    const auto &dead = m_table.deadPeers();
    if (!dead.empty()) {
        sendProbe(*dead[m_random() % dead.size()], now);
    }
}

void Membership::probeUnreachable(SteadyTime now)
{
    std::vector<PeerAddress> addresses;
    for (const auto &list : {m_seeds, m_platformAddresses}) {
        std::ranges::copy_if(list, std::back_inserter(addresses), [&](const PeerAddress &it) { return it != m_self.address && !m_table.hasLiveAddress(it); });
    }
    if (addresses.empty() || (!m_table.deadPeers().empty() && m_random() % 2 == 0)) {
        probeDead(now);
    } else {
        probeAddress(addresses[m_random() % addresses.size()], now);
    }
}

void Membership::startSync(SteadyTime at)
{
    m_nextSync = at;
    m_syncCursor = m_self.id;
    m_syncWrapped = false;
    m_syncNewMembers = 0;
}

void Membership::requestSync(SteadyTime now)
{
    m_nextSync = now + syncInterval;
    const auto *peer = chooseSyncPeer();
    if (peer == nullptr) {
        probeUnreachable(now);
        return;
    }
    auto message = compose(PeerMessageKind::SyncRequest, 0);
    message.cursor = m_syncCursor;
    send(std::move(message), peer->address, peer, now);
}

void Membership::setSeeds(std::vector<PeerAddress> seeds)
{
    m_seeds = std::move(seeds);
}

void Membership::onPlatformHosts(std::span<const PlatformHost> hosts)
{
    m_platformAddresses.clear();
    for (const auto &it : hosts) {
        if (it.terminated) {
            m_table.removeDead(it.id);
        } else if (it.address.port != 0) {
            m_platformAddresses.push_back(it.address);
        }
    }
}

void Membership::setRevision(Revision revision)
{
    m_self.revision = revision;
}

void Membership::confirmRevision(const KnownRevision &knowledge, SteadyTime now)
{
    const ConfirmedRevision received{knowledge.revision, now - knowledge.age};
    if (!m_newestRevision || received.revision > m_newestRevision->revision
        || (received.revision == m_newestRevision->revision && received.confirmed > m_newestRevision->confirmed)) {
        m_newestRevision = received;
    }
}

std::optional<KnownRevision> Membership::newestRevision(SteadyTime now) const
{
    if (!m_newestRevision) {
        return std::nullopt;
    }
    return KnownRevision{m_newestRevision->revision, std::chrono::duration_cast<Milliseconds>(now - m_newestRevision->confirmed)};
}

void Membership::setDemand(std::vector<TeamDemand> teams, SteadyTime now)
{
    m_piggyback.setDemand(std::move(teams), now);
}

Membership::Actions Membership::announceWithdrawal(const KeyId &key, SteadyTime now)
{
    m_urgentUpdatesDue = m_piggyback.queueWithdrawal(key, now) || m_urgentUpdatesDue;
    return takeActions(now);
}

Membership::Actions Membership::announceCrash(const CrashRecord &record, SteadyTime now)
{
    m_urgentUpdatesDue = m_piggyback.queueCrash(record, now) || m_urgentUpdatesDue;
    return takeActions(now);
}

Membership::Actions Membership::leave(SteadyTime now)
{
    if (m_self.state != MemberState::Leaving) {
        m_self.state = MemberState::Leaving;
        ++m_self.refutation;
        m_urgentUpdatesDue = true;
    }
    return takeActions(now);
}

std::uint32_t Membership::hostsInDataCentre() const
{
    const auto &peers = m_table.localPeers();
    const auto leaving = std::ranges::count(peers, MemberState::Leaving, &Member::state);
    return static_cast<std::uint32_t>(peers.size() - static_cast<std::size_t>(leaving) + 1);
}

Membership::Actions Membership::takeActions(SteadyTime now)
{
    if (std::exchange(m_urgentUpdatesDue, false)) {
        sendUrgentUpdates(now);
    }
    return std::exchange(m_actions, {});
}

PeerMessage Membership::compose(PeerMessageKind kind, std::uint32_t probe) const
{
    PeerMessage message;
    message.kind = kind;
    message.self = m_self;
    message.probe = probe;
    return message;
}

void Membership::send(PeerMessage message, const PeerAddress &to, const Member *recipient, SteadyTime now)
{
    message.counter = ++m_lastCounter;
    message.newestRevision = newestRevision(now);
    if (message.newestRevision) {
        message.newestRevision->age += transitAllowance;
    }
    if (message.recipient == 0 && recipient != nullptr) {
        message.recipient = recipientTag(recipient->id, recipient->incarnation);
    }
    if (message.kind == PeerMessageKind::SyncReply) {
        m_syncBytes.spend(static_cast<double>(encodedBound(message)));
    } else if (message.recipient == 0) {
        // Piggybacked updates are ignored unless the datagram names its recipient.
        m_piggyback.charge(message);
    } else if (message.kind != PeerMessageKind::SyncRequest) {
        m_piggyback.fill(message, recipient, m_table, m_random, now);
    }
    m_actions.emplace_back(SendPeerMessage{to, std::move(message)});
}

void Membership::sendProbe(const Member &target, SteadyTime now)
{
    const auto number = ++m_lastProbe;
    m_probes[number] = PendingProbe{target.id, target.incarnation, now, false, {}};
    send(compose(PeerMessageKind::Probe, number), target.address, &target, now);
}

void Membership::probeAddress(const PeerAddress &to, SteadyTime now)
{
    const auto number = ++m_lastProbe;
    m_probes[number] = PendingProbe{{}, 0, now, false, {}};
    send(compose(PeerMessageKind::Probe, number), to, nullptr, now);
}

void Membership::sendUrgentUpdates(SteadyTime now)
{
    for (std::size_t n = 0; n < urgentFanOut && m_piggyback.hasBudget(now); ++n) {
        const auto &remote = m_table.remotePeers();
        const auto &local = m_table.localPeers();
        const auto &peers = local.empty() || (n == 0 && !remote.empty()) ? remote : local;
        if (peers.empty()) {
            return;
        }
        const auto &peer = *peers[m_random() % peers.size()];
        send(compose(PeerMessageKind::Notice, 0), peer.address, &peer, now);
    }
}

const Member *Membership::chooseTarget()
{
    const auto &local = m_table.localPeers();
    const auto &remote = m_table.remotePeers();
    const bool wantsRemote = std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.remoteShare;
    const auto &peers = local.empty() || (wantsRemote && !remote.empty()) ? remote : local;
    return peers.empty() ? nullptr : peers[m_random() % peers.size()];
}

const Member *Membership::chooseSyncPeer()
{
    // Half of the pages come from other data centres, since after a partition the local peers lack members of the other side.
    const auto &local = m_table.localPeers();
    const auto &remote = m_table.remotePeers();
    const auto &peers = local.empty() || (!remote.empty() && m_random() % 2 == 0) ? remote : local;
    return peers.empty() ? nullptr : peers[m_random() % peers.size()];
}

std::vector<const Member *> Membership::chooseProxies(const HostId &target)
{
    std::vector<const Member *> candidates;
    for (const auto *peers : {&m_table.localPeers(), &m_table.remotePeers()}) {
        std::ranges::copy_if(*peers, std::back_inserter(candidates), [&](const Member *it) { return it->id != target && it->state == MemberState::Alive; });
    }
    std::vector<const Member *> proxies;
    std::ranges::sample(candidates, std::back_inserter(proxies), m_settings.proxyCount, m_random);
    return proxies;
}

} // namespace guavafield
