// UDP endpoint and timer around the membership, on one strand.
#include <guavafield/transport/peer/peer_service.hpp>

#include <guavafield/coordination/fleet/relay_groups.hpp>
#include <guavafield/protocol/peer/peer_codec.hpp>
#include <guavafield/state/snapshot_cell.hpp>
#include <guavafield/transport/log/log.hpp>
#include <guavafield/transport/peer/endpoints.hpp>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <span>
#include <tuple>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr Milliseconds providerInterval{1000};
// Changes go to more hosts through relays, as some of them have many bytes.
constexpr std::size_t maxDirectTargets = 16;
// Time that a report may take to its relay, which the age of what it says grows by.
constexpr Milliseconds relayDelay{30};
// Tries to find a port that is free for UDP and TCP alike.
constexpr int maxBindTries = 16;

struct Sockets
{
    udp::socket datagrams;
    tcp::acceptor acceptor;
};

Sockets bindOnce(const asio::any_io_executor &executor, const asio::ip::address &address, std::uint16_t port)
{
    udp::socket datagrams(executor, udp::endpoint(address, port));
    const tcp::endpoint endpoint(address, datagrams.local_endpoint().port());
    return {std::move(datagrams), tcp::acceptor(executor, endpoint)};
}

Sockets bindBoth(const asio::any_io_executor &executor, const asio::ip::address &address, std::uint16_t port)
{
    for (int n = 1;; ++n) {
        try {
            return bindOnce(executor, address, port);
        } catch (const boost::system::system_error &) {
            if (port != 0 || n == maxBindTries) {
                throw;
            }
        }
    }
}

PeerAddress advertised(const PeerServiceSettings &settings, const udp::endpoint &local)
{
    const auto address = settings.advertisedAddress.empty() ? local.address() : asio::ip::make_address(settings.advertisedAddress);
    return toPeerAddress(address, local.port());
}

MembershipSettings withAddress(MembershipSettings settings, const PeerAddress &address)
{
    settings.address = address;
    return settings;
}

} // namespace

/*! @brief The service's state; all private members are used on the strand only. */
class PeerService::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(const asio::any_io_executor &executor, Sockets sockets, PeerServiceSettings settings, PeerHooks hooks, const Clock &clock, Counters &counters)
        : port(sockets.datagrams.local_endpoint().port())
        , rpc(executor, std::move(sockets.acceptor), settings.fleetSecret, hooks.rpc, counters)
        , m_strand(asio::make_strand(executor))
        , m_socket(std::move(sockets.datagrams))
        , m_timer(m_strand)
        , m_hooks(std::move(hooks))
        , m_clock(clock)
        , m_counters(counters)
        , m_codec(settings.fleetSecret)
        , m_membership(withAddress(settings.membership, advertised(settings, m_socket.local_endpoint())), clock.now())
        , m_nextProviders(clock.now())
    {
        m_membership.setSeeds(std::move(settings.seeds));
    }

    /*! @brief Performs a call on the membership; its actions are performed after it. */
    template <typename Call>
    void post(Call call)
    {
        asio::post(m_strand, [self = shared_from_this(), call = std::move(call)]() mutable {
            if (self->m_socket.is_open()) {
                self->perform(call(self->m_membership, self->m_clock.now()));
                self->armTimer();
            }
        });
    }

    void start()
    {
        asio::dispatch(m_strand, [self = shared_from_this()] {
            logEvent(LogLevel::Info, "peer:", "", "Listening on " + formatAddress(self->m_membership.self().address));
            self->receive();
            self->wake();
        });
    }

    void stop()
    {
        rpc.stop();
        asio::dispatch(m_strand, [self = shared_from_this()] {
            boost::system::error_code ec;
            self->m_socket.close(ec);
            self->m_timer.cancel();
        });
    }

    const std::uint16_t port;
    PeerRpc rpc;
    SnapshotCell<std::vector<Member>> members;
    std::atomic<std::uint32_t> hostsInDataCentre{1};

    void postReport(HostReport report, std::vector<PeerAddress> first)
    {
        asio::post(m_strand, [self = shared_from_this(), report = std::move(report), first = std::move(first)]() mutable {
            if (self->m_socket.is_open()) {
                self->sendReport(std::move(report), first);
            }
        });
    }

    void postReportTo(HostReport report, PeerAddress to)
    {
        asio::post(m_strand, [self = shared_from_this(), report = std::move(report), to]() mutable {
            if (self->m_socket.is_open()) {
                self->sendReportTo(std::move(report), std::array{to});
            }
        });
    }

private:
    void receive()
    {
        m_socket.async_receive_from(
            asio::buffer(m_buffer), m_from, asio::bind_executor(m_strand, [self = shared_from_this()](boost::system::error_code ec, std::size_t size) {
                if (!self->m_socket.is_open()) {
                    return;
                }
                // An error of one datagram, e.g. a port that a former peer has closed, does not concern the next one.
                if (!ec) {
                    self->onDatagram(size);
                    self->armTimer();
                }
                self->receive();
            }));
    }

    void onDatagram(std::size_t size)
    {
        m_counters.add(CounterId::PeerDatagramsReceived);
        m_counters.add(CounterId::PeerBytesReceived, size);
        auto message = capture([&] { return m_codec.decode(std::span(m_buffer).first(size)); });
        const auto from = toPeerAddress(m_from.address(), m_from.port());
        if (!message) {
            reject(from, message.error.message);
            return;
        }
        auto &self = message.value->self;
        if (isUnspecified(self.address)) {
            self.address = {from.high, from.low, self.address.port};
        }
        if (message.value->report) {
            relay(*message.value->report);
            if (m_hooks.onReport) {
                m_hooks.onReport(self, *message.value->report);
            }
            return;
        }
        perform(m_membership.onMessage(*message.value, from, m_clock.now()));
    }

    void sendReport(HostReport report, const std::vector<PeerAddress> &first)
    {
        const auto targets = reportTargets(first);
        if (!report.changesOnly || targets.size() <= maxDirectTargets) {
            sendReportTo(std::move(report), targets);
            return;
        }
        for (const auto &it : relayGroups(targets)) {
            report.relayTo = it.others;
            sendReportTo(report, std::array{it.relay});
        }
    }

    std::vector<PeerAddress> reportTargets(const std::vector<PeerAddress> &first) const
    {
        std::vector<PeerAddress> targets;
        const auto key = [](const PeerAddress &it) { return std::tuple(it.high, it.low, it.port); };
        std::set taken{key(m_membership.self().address)};
        const auto add = [&](const PeerAddress &it) {
            if (taken.insert(key(it)).second) {
                targets.push_back(it);
            }
        };
        std::ranges::for_each(first, add);
        for (const auto &[id, entry] : m_membership.table().entries()) {
            if (entry.member.state != MemberState::Dead) {
                add(entry.member.address);
            }
        }
        return targets;
    }

    void sendReportTo(HostReport report, std::span<const PeerAddress> targets)
    {
        PeerMessage message;
        message.kind = PeerMessageKind::Report;
        message.self = m_membership.self();
        message.report = std::move(report);
        if (const auto datagram = encode(message)) {
            for (const auto &it : targets) {
                sendTo(it, *datagram);
            }
        }
    }

    void relay(HostReport &report)
    {
        if (const auto targets = std::exchange(report.relayTo, {}); !targets.empty()) {
            auto passedOn = report;
            if (passedOn.upstreams) {
                passedOn.upstreams->age += relayDelay;
            }
            sendReportTo(std::move(passedOn), targets);
        }
    }

    void reject(const PeerAddress &from, const std::string &reason)
    {
        m_counters.add(CounterId::PeerDatagramsRejected);
        logEvent(LogLevel::Debug, "peer:", "", "Rejected a datagram from " + formatAddress(from) + ": " + reason);
    }

    void wake()
    {
        const auto now = m_clock.now();
        if (now >= m_nextProviders) {
            m_nextProviders = now + providerInterval;
            askProviders(now);
        }
        perform(m_membership.step(now));
        armTimer();
    }

    void askProviders(SteadyTime now)
    {
        if (m_hooks.revisionInForce) {
            m_membership.setRevision(m_hooks.revisionInForce());
        }
        if (m_hooks.newestRevision) {
            if (const auto knowledge = m_hooks.newestRevision()) {
                m_membership.confirmRevision(*knowledge, now);
            }
        }
        if (m_hooks.demand) {
            m_membership.setDemand(m_hooks.demand(), now);
        }
        if (m_hooks.crashRecords) {
            for (const auto &it : m_hooks.crashRecords()) {
                perform(m_membership.announceCrash(it, now));
            }
        }
    }

    void armTimer()
    {
        if (!m_socket.is_open()) {
            return;
        }
        const auto wakeup = std::min(m_membership.nextWakeup(), m_nextProviders);
        m_timer.expires_after(std::max(SteadyTime::duration::zero(), wakeup - m_clock.now()));
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
            if (!ec && self->m_socket.is_open()) {
                self->wake();
            }
        });
    }

    void perform(const Membership::Actions &actions)
    {
        // Hooks ask for the list, which holds the change by then.
        if (std::ranges::any_of(actions, [](const auto &it) { return std::holds_alternative<MemberChanged>(it); })) {
            publish();
        }
        for (const auto &it : actions) {
            std::visit([this](const auto &action) { performOne(action); }, it);
        }
    }

    std::optional<std::vector<std::uint8_t>> encode(const PeerMessage &message) const
    {
        auto datagram = capture([&] { return m_codec.encode(message); });
        if (!datagram) {
            logEvent(LogLevel::Warning, "peer:", "", "A datagram was not sent: " + datagram.error.message);
        }
        return std::move(datagram.value);
    }

    void sendTo(const PeerAddress &to, std::span<const std::uint8_t> datagram)
    {
        boost::system::error_code ec;
        const auto family = m_socket.local_endpoint(ec).protocol();
        // A full send buffer drops the datagram like the network does.
        m_socket.non_blocking(true, ec);
        m_socket.send_to(asio::buffer(datagram.data(), datagram.size()), toEndpoint(to, family), 0, ec);
        m_counters.add(CounterId::PeerDatagramsSent);
        m_counters.add(CounterId::PeerBytesSent, datagram.size());
    }

    void performOne(const SendPeerMessage &action)
    {
        if (const auto datagram = encode(action.message)) {
            sendTo(action.to, *datagram);
        }
    }

    void performOne(const MemberChanged &action)
    {
        if (m_hooks.onMember) {
            m_hooks.onMember(action.member);
        }
    }

    void performOne(const RevisionReceived &action)
    {
        if (m_hooks.onRevision) {
            m_hooks.onRevision(action.from, action.knowledge);
        }
    }

    void performOne(const WithdrawalReceived &action)
    {
        if (m_hooks.onWithdrawal) {
            m_hooks.onWithdrawal(action.key);
        }
    }

    void performOne(const CrashReceived &action)
    {
        if (m_hooks.onCrash) {
            m_hooks.onCrash(action.record);
        }
    }

    void performOne(const DemandReceived &action)
    {
        if (m_hooks.onDemand) {
            m_hooks.onDemand(action.report);
        }
    }

    void performOne(const MessageRejected &action)
    {
        reject(toPeerAddress(m_from.address(), m_from.port()), action.reason);
    }

    void publish()
    {
        std::vector<Member> list;
        list.reserve(m_membership.table().entries().size());
        for (const auto &[id, entry] : m_membership.table().entries()) {
            list.push_back(entry.member);
        }
        members.store(std::make_shared<const std::vector<Member>>(std::move(list)));
        hostsInDataCentre.store(m_membership.hostsInDataCentre(), std::memory_order_relaxed);
    }

    asio::strand<asio::any_io_executor> m_strand;
    udp::socket m_socket;
    asio::steady_timer m_timer;
    PeerHooks m_hooks;
    const Clock &m_clock;
    Counters &m_counters;
    PeerCodec m_codec;
    Membership m_membership;
    SteadyTime m_nextProviders;
    // One byte more than a datagram may have, so that a longer one is seen to be too long.
    std::array<std::uint8_t, maxReportBytes + 1> m_buffer{};
    udp::endpoint m_from;
};

PeerService::PeerService(const asio::any_io_executor &executor, PeerServiceSettings settings, PeerHooks hooks, const Clock &clock, Counters &counters)
{
    auto sockets = bindBoth(executor, asio::ip::make_address(settings.listenAddress), settings.port);
    m_impl = std::make_shared<Impl>(executor, std::move(sockets), std::move(settings), std::move(hooks), clock, counters);
}

PeerService::~PeerService()
{
    stop();
}

void PeerService::start()
{
    m_impl->start();
}

void PeerService::stop()
{
    m_impl->stop();
}

std::uint16_t PeerService::port() const noexcept
{
    return m_impl->port;
}

std::vector<Member> PeerService::members() const
{
    return *m_impl->members.load();
}

std::uint32_t PeerService::hostsInDataCentre() const
{
    return m_impl->hostsInDataCentre.load(std::memory_order_relaxed);
}

void PeerService::setSeeds(std::vector<PeerAddress> seeds)
{
    m_impl->post([seeds = std::move(seeds)](Membership &membership, SteadyTime) mutable {
        membership.setSeeds(std::move(seeds));
        return Membership::Actions();
    });
}

void PeerService::announceWithdrawal(KeyId key)
{
    m_impl->post([key = std::move(key)](Membership &membership, SteadyTime now) { return membership.announceWithdrawal(key, now); });
}

void PeerService::announceCrash(CrashRecord record)
{
    m_impl->post([record](Membership &membership, SteadyTime now) { return membership.announceCrash(record, now); });
}

void PeerService::sendReport(HostReport report, std::vector<PeerAddress> first)
{
    m_impl->postReport(std::move(report), std::move(first));
}

void PeerService::sendReportTo(HostReport report, PeerAddress to)
{
    m_impl->postReportTo(std::move(report), to);
}

void PeerService::leave()
{
    m_impl->post([](Membership &membership, SteadyTime now) { return membership.leave(now); });
}

void PeerService::onPlatformHosts(std::vector<PlatformHost> hosts)
{
    m_impl->post([hosts = std::move(hosts)](Membership &membership, SteadyTime) {
        membership.onPlatformHosts(hosts);
        return Membership::Actions();
    });
}

void PeerService::call(const PeerAddress &peer, PeerMethod method, Revision after, PeerRpc::Done done)
{
    m_impl->rpc.call(peer, method, after, std::move(done));
}

} // namespace guavafield
