// Byte budget and selection of piggybacked updates.
#include <guavafield/coordination/membership/piggyback.hpp>

#include <algorithm>
#include <cmath>

namespace guavafield {

namespace {

// Unused budget that may accumulate for a burst of updates.
constexpr double burstBytes = 4096;
// Part of the budget reserved for urgent updates, so that routine ones do not delay a withdrawal.
constexpr double reserveBytes = 1024;
// Updates may fill a datagram up to this size even when the budget is exhausted.
constexpr double minUpdateBytes = 280;
constexpr Milliseconds withdrawalRetention{600'000};
// Three half-lives of the scheduler's discount, after which figures have almost no weight.
constexpr Milliseconds demandRetention{30'000};
constexpr std::size_t maxKnownItems = 4096;
constexpr std::size_t maxTeamsPerReport = 3;
// Each host sends an update this many times per unit of ln(members), so that it reaches all members with high probability.
constexpr double sendsPerLogMember = 3;

Milliseconds millisecondsBetween(SteadyTime then, SteadyTime now)
{
    return std::chrono::duration_cast<Milliseconds>(now - then);
}

template <typename Known>
void evictOldest(Known &known)
{
    while (known.size() > maxKnownItems) {
        known.erase(std::ranges::min_element(known, {}, [](const auto &it) { return it.second; }));
    }
}

} // namespace

Piggyback::Piggyback(double bytesPerSecond, SteadyTime now) : m_bytes(bytesPerSecond, burstBytes, now) { }

bool Piggyback::queueWithdrawal(const KeyId &key, SteadyTime now)
{
    if (!m_knownWithdrawals.emplace(key, now).second) {
        return false;
    }
    evictOldest(m_knownWithdrawals);
    m_withdrawals.add(key);
    return true;
}

bool Piggyback::queueCrash(const CrashRecord &record, SteadyTime now)
{
    if (record.remaining <= Milliseconds{0} || !m_knownCrashes.emplace(record.fingerprint, now + record.remaining).second) {
        return false;
    }
    evictOldest(m_knownCrashes);
    m_crashes.add(record.fingerprint);
    return true;
}

void Piggyback::setDemand(std::vector<TeamDemand> teams, SteadyTime now)
{
    teams.resize(std::min(teams.size(), maxTeamsPerReport));
    m_ownDemand = {now, std::move(teams)};
}

bool Piggyback::recordDemand(const DemandReport &report, SteadyTime now)
{
    const auto measured = now - report.age;
    const auto it = m_demand.find(report.host);
    // Ages are truncated to whole milliseconds, so a relayed report may look newer by up to one.
    if (report.age >= demandRetention || (it != m_demand.end() && measured <= it->second.measured + Milliseconds{10})) {
        return false;
    }
    m_demand.insert_or_assign(report.host, Demand{measured, report.teams});
    m_demandHosts.add(report.host);
    return true;
}

void Piggyback::fill(PeerMessage &message, const Member *recipient, const MemberTable &table, std::mt19937_64 &random, SteadyTime now)
{
    const auto available = m_bytes.available(now);
    const auto updateLimit = static_cast<std::size_t>(std::clamp(available, minUpdateBytes, double{maxDatagramBytes}));
    const auto routineLimit = static_cast<std::size_t>(std::clamp(available - reserveBytes, 0.0, double{maxDatagramBytes}));
    const auto members = table.entries().size() + 2;
    const auto sendLimit = static_cast<std::uint32_t>(std::ceil(sendsPerLogMember * std::log(static_cast<double>(members))));

    // A suspected or dead recipient is told first, since only it can refute the statement.
    if (recipient != nullptr && (recipient->state == MemberState::Suspect || recipient->state == MemberState::Dead)) {
        message.updates.push_back(*recipient);
    }
    m_withdrawals.offer(sendLimit, [&](const KeyId &key) {
        message.withdrawals.push_back(key);
        const bool fits = encodedBound(message) <= maxDatagramBytes;
        if (!fits) {
            message.withdrawals.pop_back();
        }
        return fits;
    });
    m_crashes.offer(sendLimit, [&](const Digest &fingerprint) {
        const auto known = m_knownCrashes.find(fingerprint);
        const auto remaining = known != m_knownCrashes.end() ? millisecondsBetween(now, known->second) : Milliseconds{0};
        message.crashes.push_back({fingerprint, std::max(Milliseconds{0}, remaining)});
        const bool fits = encodedBound(message) <= maxDatagramBytes;
        if (!fits) {
            message.crashes.pop_back();
        }
        return fits;
    });
    addUpdates(message, table, updateLimit, sendLimit);
    if (recipient != nullptr && recipient->dataCentre == message.self.dataCentre) {
        addDemand(message, routineLimit, now);
    }
    // Anti-entropy: one random member per datagram repairs what gossip missed.
    const auto &peers = random() % 2 == 0 || table.remotePeers().empty() ? table.localPeers() : table.remotePeers();
    if (!peers.empty()) {
        const auto &member = *peers[random() % peers.size()];
        if (encodedBound(message) + encodedBound(member) + 10 <= routineLimit && member.state != MemberState::Suspect) {
            message.updates.push_back(member);
        }
    }
    charge(message);
}

void Piggyback::expire(SteadyTime now)
{
    std::erase_if(m_knownWithdrawals, [&](const auto &it) { return it.second + withdrawalRetention < now; });
    std::erase_if(m_knownCrashes, [&](const auto &it) { return it.second <= now; });
    std::erase_if(m_demand, [&](const auto &it) {
        const bool old = it.second.measured + demandRetention < now;
        if (old) {
            m_demandHosts.remove(it.first);
        }
        return old;
    });
}

void Piggyback::addUpdates(PeerMessage &message, const MemberTable &table, std::size_t limit, std::uint32_t sendLimit)
{
    m_members.offer(sendLimit, [&](const HostId &id) {
        const auto *entry = table.find(id);
        if (entry == nullptr) {
            return true;
        }
        auto update = entry->member;
        // The address is needed only for members that are to be contacted.
        if (update.state == MemberState::Suspect || update.state == MemberState::Dead) {
            update.dataCentre.clear();
            update.address = {};
        }
        message.updates.push_back(std::move(update));
        const bool fits = encodedBound(message) <= limit;
        if (!fits) {
            message.updates.pop_back();
        }
        return fits;
    });
}

void Piggyback::addDemand(PeerMessage &message, std::size_t limit, SteadyTime now)
{
    const auto add = [&](const HostId &host, const Demand &demand) {
        message.demand.push_back({host, millisecondsBetween(demand.measured, now), demand.teams});
        const bool fits = encodedBound(message) <= limit;
        if (!fits) {
            message.demand.pop_back();
        }
        return fits;
    };
    if (!m_ownDemand.teams.empty()) {
        add(message.self.id, m_ownDemand);
    }
    // Relays the figures of one other host per datagram: with 27 hosts, each peer is contacted directly only every 13 s.
    bool relayed = false;
    m_demandHosts.offer(2, [&](const HostId &host) {
        const auto it = m_demand.find(host);
        if (relayed || it == m_demand.end()) {
            return false;
        }
        relayed = add(host, it->second);
        return relayed;
    });
}

} // namespace guavafield
