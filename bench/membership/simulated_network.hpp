// Simulated network on a manual clock whose hosts exchange encoded membership datagrams; used by tests and benchmarks.
#pragma once

#include <guavafield/coordination/membership/membership.hpp>
#include <guavafield/protocol/peer/peer_codec.hpp>
#include <guavafield/state/clock.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace guavafield::simulation {

/*! @brief Size, delays and packet loss of a simulated fleet. */
struct FleetSettings
{
    std::size_t hosts{9};
    std::size_t dataCentres{3};
    // Fraction of datagrams that are lost.
    double lossRate{0};
    // One-way delays.
    Milliseconds localDelay{1};
    Milliseconds remoteDelay{40};
    std::uint64_t seed{1};
};

/*! @brief A fleet of simulated hosts, each with its own Membership. */
class Fleet
{
public:
    using Observer = std::function<void(std::size_t host, const MembershipAction &action)>;
    // Returns whether a datagram from one host can reach another.
    using ReachabilityTest = std::function<bool(std::size_t from, std::size_t to)>;

    /*! @brief Number and size of datagrams sent and received. */
    struct Traffic
    {
        std::uint64_t datagrams{0};
        std::uint64_t bytes{0};
    };

    explicit Fleet(const FleetSettings &settings) : m_settings(settings), m_codec("fleet secret"), m_random(settings.seed), m_hosts(settings.hosts) { }

    /*! @brief Starts a host with a new incarnation. */
    void start(std::size_t n)
    {
        auto &host = m_hosts[n];
        ++host.incarnation;
        MembershipSettings settings;
        settings.id = idOf(n);
        settings.dataCentre = "dc-" + std::to_string(dataCentreOf(n));
        settings.address = addressOf(n);
        settings.incarnation = firstIncarnation + host.incarnation;
        settings.seed = m_random();
        host.membership = std::make_unique<Membership>(settings, now());
        host.membership->setSeeds({addressOf(0), addressOf(m_hosts.size() / 2), addressOf(m_hosts.size() - 1)});
        host.pausedUntil = now();
        host.backlog.clear();
        schedule(n);
    }

    void startAll()
    {
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            start(n);
        }
    }

    /*! @brief Starts all hosts with a full member list, as in a fleet that has converged. */
    void startWithFullMemberList()
    {
        startAll();
        PeerMessage list;
        list.kind = PeerMessageKind::SyncReply;
        list.counter = 1;
        for (const auto &it : m_hosts) {
            list.updates.push_back(it.membership->self());
        }
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            list.self = membership((n + 1) % m_hosts.size()).self();
            list.recipient = recipientTag(idOf(n), membership(n).self().incarnation);
            perform(n, membership(n).onMessage(list, addressOf((n + 1) % m_hosts.size()), now()));
        }
    }

    /*! @brief Stops a host without announcing it. */
    void kill(std::size_t n)
    {
        m_hosts[n].membership.reset();
    }

    /*! @brief Suspends a host's process for a time; datagrams accumulate in its socket buffer. */
    void pause(std::size_t n, Milliseconds duration)
    {
        m_hosts[n].pausedUntil = now() + duration;
        m_events.push({m_hosts[n].pausedUntil, ++m_eventSequence, n, {}});
    }

    void setReachable(ReachabilityTest reachable)
    {
        m_reachable = std::move(reachable);
    }
    void setLoss(double lossRate)
    {
        m_settings.lossRate = lossRate;
    }
    void setObserver(Observer observer)
    {
        m_observer = std::move(observer);
    }

    /*! @brief Advances the simulated time, processing events. */
    void run(Milliseconds duration)
    {
        const auto end = now() + duration;
        while (!m_events.empty() && m_events.top().time <= end) {
            auto event = m_events.top();
            m_events.pop();
            advanceTo(event.time);
            handle(event);
        }
        advanceTo(end);
    }

    /*! @brief Runs in steps of 100 ms until a condition holds; returns false if it does not hold within the limit. */
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition, Milliseconds limit)
    {
        for (const auto end = now() + limit; now() < end;) {
            if (condition()) {
                return true;
            }
            run(Milliseconds{100});
        }
        return condition();
    }

    /*! @brief Calls a function with a host's membership and executes the resulting actions. */
    template <typename Call>
    void withMembership(std::size_t n, Call &&call)
    {
        perform(n, call(*m_hosts[n].membership, now()));
        schedule(n);
    }

    /*! @brief Returns whether each running host sees exactly the running hosts as alive. */
    [[nodiscard]] bool converged() const
    {
        const auto running = static_cast<std::size_t>(std::ranges::count_if(m_hosts, [](const Host &it) { return it.membership != nullptr; }));
        return std::ranges::all_of(m_hosts, [&](const Host &it) { return it.membership == nullptr || countAlive(*it.membership) == running; });
    }

    /*! @brief Returns how many hosts see the given host in a state. */
    [[nodiscard]] std::size_t countHostsSeeing(std::size_t n, MemberState state) const
    {
        const auto id = idOf(n);
        return static_cast<std::size_t>(std::ranges::count_if(m_hosts, [&](const Host &it) {
            const auto *entry = it.membership != nullptr ? it.membership->table().find(id) : nullptr;
            return entry != nullptr && entry->member.state == state;
        }));
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_hosts.size();
    }
    [[nodiscard]] bool running(std::size_t n) const noexcept
    {
        return m_hosts[n].membership != nullptr;
    }
    [[nodiscard]] Membership &membership(std::size_t n)
    {
        return *m_hosts[n].membership;
    }
    [[nodiscard]] SteadyTime now() const noexcept
    {
        return m_clock.now();
    }
    [[nodiscard]] std::size_t dataCentreOf(std::size_t n) const noexcept
    {
        return n % m_settings.dataCentres;
    }
    [[nodiscard]] static HostId idOf(std::size_t n)
    {
        return "ar-centro-host-" + std::to_string(n);
    }
    [[nodiscard]] static PeerAddress addressOf(std::size_t n)
    {
        // IPv4 10.0.0.0/8 mapped into IPv6.
        return {0, 0xFFFF'0A00'0000 + n + 1, 7946};
    }
    [[nodiscard]] const PeerCodec &codec() const noexcept
    {
        return m_codec;
    }
    /*! @brief Returns the total traffic; a delivered datagram counts for both sender and receiver. */
    [[nodiscard]] const Traffic &traffic() const noexcept
    {
        return m_traffic;
    }
    /*! @brief Returns the number of messages rejected by the hosts. */
    [[nodiscard]] std::uint64_t rejected() const noexcept
    {
        return m_rejected;
    }

private:
    // Milliseconds since 1970, like the incarnations of the daemon.
    static constexpr Incarnation firstIncarnation = 1'790'000'000'000;

    struct Datagram
    {
        std::size_t from{0};
        std::vector<std::uint8_t> bytes;
    };

    struct Host
    {
        std::unique_ptr<Membership> membership;
        Incarnation incarnation{0};
        SteadyTime pausedUntil;
        SteadyTime scheduledWakeup;
        std::vector<Datagram> backlog;
    };

    /*! @brief Delivery of a datagram, or a wakeup if the datagram is empty. */
    struct Event
    {
        SteadyTime time;
        std::uint64_t sequence{0};
        std::size_t host{0};
        Datagram datagram;

        [[nodiscard]] bool operator<(const Event &other) const noexcept
        {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    void advanceTo(SteadyTime time)
    {
        m_clock.advance(time - now());
    }

    void schedule(std::size_t n)
    {
        auto &host = m_hosts[n];
        const auto wakeup = std::max(now(), host.membership->nextWakeup());
        if (host.scheduledWakeup <= now() || wakeup < host.scheduledWakeup) {
            host.scheduledWakeup = wakeup;
            m_events.push({wakeup, ++m_eventSequence, n, {}});
        }
    }

    void handle(const Event &event)
    {
        auto &host = m_hosts[event.host];
        if (host.membership == nullptr) {
            return;
        }
        if (now() < host.pausedUntil) {
            if (!event.datagram.bytes.empty()) {
                host.backlog.push_back(event.datagram);
            }
            return;
        }
        for (const auto &it : std::exchange(host.backlog, {})) {
            receive(event.host, it);
        }
        if (!event.datagram.bytes.empty()) {
            receive(event.host, event.datagram);
        } else if (now() >= host.membership->nextWakeup()) {
            perform(event.host, host.membership->step(now()));
        }
        schedule(event.host);
    }

    void receive(std::size_t n, const Datagram &datagram)
    {
        countDatagram(datagram.bytes.size());
        auto message = capture([&] { return m_codec.decode(datagram.bytes); });
        if (message) {
            perform(n, m_hosts[n].membership->onMessage(*message.value, addressOf(datagram.from), now()));
        }
    }

    void perform(std::size_t n, const Membership::Actions &actions)
    {
        for (const auto &it : actions) {
            if (const auto *send = std::get_if<SendPeerMessage>(&it)) {
                sendDatagram(n, *send);
            }
            m_rejected += std::holds_alternative<MessageRejected>(it) ? 1 : 0;
            if (m_observer) {
                m_observer(n, it);
            }
        }
    }

    void sendDatagram(std::size_t from, const SendPeerMessage &send)
    {
        auto bytes = capture([&] { return m_codec.encode(send.message); });
        if (!bytes) {
            ++m_oversized;
            return;
        }
        countDatagram(bytes.value->size());
        const auto to = static_cast<std::size_t>(send.to.low - addressOf(0).low);
        const bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.lossRate;
        if (lost || (m_reachable && !m_reachable(from, to))) {
            return;
        }
        const auto delay = dataCentreOf(from) == dataCentreOf(to) ? m_settings.localDelay : m_settings.remoteDelay;
        const std::chrono::microseconds jitter(m_random() % 1000);
        m_events.push({now() + delay + jitter, ++m_eventSequence, to, {from, std::move(*bytes.value)}});
    }

    void countDatagram(std::size_t bytes)
    {
        ++m_traffic.datagrams;
        m_traffic.bytes += bytes;
    }

    [[nodiscard]] static std::size_t countAlive(const Membership &membership)
    {
        const auto &entries = membership.table().entries();
        return 1 + static_cast<std::size_t>(std::ranges::count_if(entries, [](const auto &it) { return it.second.member.state == MemberState::Alive; }));
    }

    FleetSettings m_settings;
    ManualClock m_clock;
    PeerCodec m_codec;
    std::mt19937_64 m_random;
    std::vector<Host> m_hosts;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventSequence{0};
    ReachabilityTest m_reachable;
    Observer m_observer;
    Traffic m_traffic;
    std::uint64_t m_rejected{0};
    std::uint64_t m_oversized{0};

public:
    /*! @brief Returns the number of messages that could not be encoded because they exceed a datagram; expected to be 0. */
    [[nodiscard]] std::uint64_t oversized() const noexcept
    {
        return m_oversized;
    }
};

} // namespace guavafield::simulation
