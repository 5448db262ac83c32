// Timed work of the membership: probe rounds, time-outs, suspicions and the join.
#include <guavafield/coordination/membership/membership.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavafield {

namespace {

constexpr Milliseconds housekeepingInterval{5000};
constexpr Milliseconds syncInterval{1000};
// Longest delay of a wakeup that counts as scheduling noise; a longer one means that the process was paused.
constexpr Milliseconds pauseThreshold{1000};
// Time to drain datagrams that arrived during a pause.
constexpr Milliseconds drainTime{100};
// Every so manieth round also contacts a host that is not known to be alive.
constexpr std::uint64_t unreachableRounds = 8;
// Added to an age at each hop, so that knowledge does not seem fresher than it is by the time on the way; regions are less apart.
constexpr Milliseconds transitAllowance{100};
constexpr std::size_t noticeFanOut = 3;
constexpr std::size_t arrivalsForSync = 4;
constexpr std::size_t reconnectProbes = 2;
constexpr double strangerAnswersPerSecond = 20;
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
    , m_strangerAnswers(strangerAnswersPerSecond, strangerAnswersPerSecond, now)
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
    m_table.dropDeadBefore(now - m_settings.deadRetention);
    m_piggyback.expire(now);
    std::erase_if(m_relayed, [&](const auto &it) { return it.second.sent + m_settings.probeTimeout < now; });
    // Rumours alone are slow when many hosts come at once.
    if (std::exchange(m_arrivals, 0) >= arrivalsForSync && !m_nextSync) {
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
        next = std::min(next, probe.sent + (probe.helpersAsked ? m_settings.probeTimeout : m_settings.directTimeout));
    }
    for (const auto *it : m_table.suspects()) {
        next = std::min(next, m_table.find(it->id)->suspicionEnds.value_or(next));
    }
    return next;
}

void Membership::resumeIfPaused(SteadyTime now)
{
    const auto late = now - nextWakeup();
    if (late <= pauseThreshold) {
        return;
    }
    // While this process stood still it could hear no Ack and no refutation, so that nothing is known about the others.
    m_probes.clear();
    m_relayed.clear();
    for (const auto *it : m_table.suspects()) {
        auto &ends = m_table.find(it->id)->suspicionEnds;
        ends = ends.value_or(now) + late;
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
        if (!probe.helpersAsked && now >= probe.sent + m_settings.directTimeout) {
            askHelpers(it->first, probe, now);
        }
        if (now >= probe.sent + m_settings.probeTimeout) {
            suspect(probe, now);
            it = m_probes.erase(it);
        } else {
            ++it;
        }
    }
}

void Membership::askHelpers(std::uint32_t number, PendingProbe &probe, SteadyTime now)
{
    probe.helpersAsked = true;
    const auto *target = m_table.find(probe.target);
    if (target == nullptr || target->member.state == MemberState::Dead) {
        return;
    }
    for (const auto *helper : chooseHelpers(probe.target)) {
        auto message = compose(PeerMessageKind::IndirectProbe, number);
        message.target = target->member.address;
        message.targetTag = recipientTag(target->member.id, target->member.incarnation);
        probe.helpers.push_back(helper->id);
        send(std::move(message), helper->address, helper, now);
    }
}

void Membership::suspect(const PendingProbe &probe, SteadyTime now)
{
    auto *entry = m_table.find(probe.target);
    if (entry == nullptr || entry->member.incarnation != probe.incarnation) {
        return;
    }
    auto news = entry->member;
    // A host that announced its leave and does not answer has left.
    news.state = news.state == MemberState::Leaving ? MemberState::Dead : MemberState::Suspect;
    takeStatement(news, true, now);
    if (entry->member.state == MemberState::Suspect) {
        entry->suspicionEnds = std::min(entry->suspicionEnds.value_or(SteadyTime::max()), now + m_settings.suspicion);
        // Tells the suspect at once. By rumour alone it hears of it too late to contradict in four of ten cases at 330 hosts.
        sendProbe(entry->member, now);
    }
}

void Membership::checkSuspicions(SteadyTime now)
{
    // Copied, since declaring a member dead changes the list.
    const auto suspects = m_table.suspects();
    for (const auto *it : suspects) {
        auto news = *it;
        if (now >= m_table.find(news.id)->suspicionEnds.value_or(now)) {
            news.state = MemberState::Dead;
            takeStatement(news, true, now);
        }
    }
}

void Membership::probeRound(SteadyTime now)
{
    // Up to a tenth of jitter keeps hosts that started together apart.
    const auto interval = static_cast<std::uint64_t>(m_settings.probeInterval.count());
    m_nextRound = now + Milliseconds(interval * 19 / 20 + m_random() % (interval / 10));
    const auto *target = chooseTarget();
    if (target != nullptr) {
        sendProbe(*target, now);
    }
    if (target == nullptr || m_random() % unreachableRounds == 0) {
        probeUnreachable(now);
    }
    for (std::size_t n = 0; n < reconnectProbes && now < m_reconnectUntil && m_piggyback.affordsExtra(now); ++n) {
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
        sendHello(addresses[m_random() % addresses.size()], now);
    }
}

void Membership::startSync(SteadyTime at)
{
    m_nextSync = at;
    m_syncCursor = m_self.id;
    m_syncWrapped = false;
    m_syncFound = 0;
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
        if (it.gone) {
            m_table.dropDead(it.id);
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
    const Revised news{knowledge.revision, now - knowledge.age};
    if (!m_newest || news.revision > m_newest->revision || (news.revision == m_newest->revision && news.confirmed > m_newest->confirmed)) {
        m_newest = news;
    }
}

std::optional<KnownRevision> Membership::newestRevision(SteadyTime now) const
{
    if (!m_newest) {
        return std::nullopt;
    }
    return KnownRevision{m_newest->revision, std::chrono::duration_cast<Milliseconds>(now - m_newest->confirmed)};
}

void Membership::setDemand(std::vector<TeamDemand> teams, SteadyTime now)
{
    m_piggyback.setDemand(std::move(teams), now);
}

Membership::Actions Membership::announceWithdrawal(const KeyId &key, SteadyTime now)
{
    m_noticeDue = m_piggyback.queueWithdrawal(key, now) || m_noticeDue;
    return takeActions(now);
}

Membership::Actions Membership::announceCrash(const CrashRecord &record, SteadyTime now)
{
    m_noticeDue = m_piggyback.queueCrash(record, now) || m_noticeDue;
    return takeActions(now);
}

Membership::Actions Membership::leave(SteadyTime now)
{
    if (m_self.state != MemberState::Leaving) {
        m_self.state = MemberState::Leaving;
        ++m_self.refutation;
        m_noticeDue = true;
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
    if (std::exchange(m_noticeDue, false)) {
        sendNotices(now);
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
        // News without a recipient would not be read.
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

void Membership::sendHello(const PeerAddress &to, SteadyTime now)
{
    const auto number = ++m_lastProbe;
    m_probes[number] = PendingProbe{{}, 0, now, false, {}};
    send(compose(PeerMessageKind::Probe, number), to, nullptr, now);
}

void Membership::sendNotices(SteadyTime now)
{
    for (std::size_t n = 0; n < noticeFanOut && m_piggyback.affordsExtra(now); ++n) {
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
    // Half of the pages come from afar, since after a partition the own side knows too little.
    const auto &local = m_table.localPeers();
    const auto &remote = m_table.remotePeers();
    const auto &peers = local.empty() || (!remote.empty() && m_random() % 2 == 0) ? remote : local;
    return peers.empty() ? nullptr : peers[m_random() % peers.size()];
}

std::vector<const Member *> Membership::chooseHelpers(const HostId &target)
{
    std::vector<const Member *> candidates;
    for (const auto *peers : {&m_table.localPeers(), &m_table.remotePeers()}) {
        std::ranges::copy_if(*peers, std::back_inserter(candidates), [&](const Member *it) { return it->id != target && it->state == MemberState::Alive; });
    }
    std::vector<const Member *> helpers;
    std::ranges::sample(candidates, std::back_inserter(helpers), m_settings.helpers, m_random);
    return helpers;
}

} // namespace guavafield
