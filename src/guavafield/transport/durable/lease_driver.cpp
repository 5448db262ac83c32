// Coroutines of a lease.
#include <guavafield/coordination/lease/candidate_rank.hpp>
#include <guavafield/protocol/records/lease_codec.hpp>
#include <guavafield/transport/durable/lease_driver.hpp>
#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/log/event_loop.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace guavafield {

namespace internal {

constexpr Milliseconds leaseStepInterval{100};

} // namespace internal

LeaseDriver::LeaseDriver(boost::asio::any_io_executor strand, TableAccess table, const Clock &clock, Counters &counters, LeaseSettings settings)
    : m_strand(std::move(strand))
    , m_table(std::move(table))
    , m_clock(clock)
    , m_counters(counters)
    , m_settings(settings)
    , m_keeper(std::move(settings), leaseCodec())
{
}

void LeaseDriver::start()
{
    spawnLoop(m_strand, [self = shared_from_this()]() -> boost::asio::awaitable<void> { co_await self->run(); });
}

boost::asio::awaitable<void> LeaseDriver::stop(Milliseconds limit)
{
    const auto self = shared_from_this();
    m_keeper.stop();
    const auto deadline = m_clock.now() + limit;
    while (!m_keeper.stopped() && m_clock.now() < deadline) {
        co_await sleepFor(internal::leaseStepInterval);
    }
    m_ended = true;
}

void LeaseDriver::setCandidates(std::span<const HostId> candidates)
{
    m_keeper.setRank(candidateRank(m_settings.name, m_settings.self.host, candidates));
}

boost::asio::awaitable<void> LeaseDriver::run()
{
    co_await sleepFor(m_settings.firstStepDelay);
    while (!m_ended) {
        perform(m_keeper.step(m_clock.now()));
        co_await sleepFor(internal::leaseStepInterval);
    }
}

void LeaseDriver::perform(std::vector<LeaseAction> actions)
{
    const auto spawn = [&](auto function) { boost::asio::co_spawn(m_strand, std::move(function), boost::asio::detached); };
    for (auto &action : actions) {
        std::visit(Overloaded{
                       [&](TransactAction &it) {
                           spawn([self = shared_from_this(), transaction = std::move(it.transaction)]() mutable -> boost::asio::awaitable<void> {
                               co_await self->transact(std::move(transaction));
                           });
                       },
                       [&](ReadAction &it) {
                           spawn([self = shared_from_this(), keys = std::move(it.keys)]() mutable -> boost::asio::awaitable<void> {
                               co_await self->read(std::move(keys));
                           });
                       },
                       [&](const ListHostsAction &) { spawn([self = shared_from_this()]() -> boost::asio::awaitable<void> { co_await self->listHosts(); }); },
                       [&](const LeaseChanged &it) { report(it); },
                   },
                   action);
    }
}

boost::asio::awaitable<void> LeaseDriver::transact(Transaction transaction)
{
    const auto reply = co_await m_table.transact(std::move(transaction));
    perform(m_keeper.onTransaction(reply, m_clock.now()));
}

boost::asio::awaitable<void> LeaseDriver::read(std::vector<RowKey> keys)
{
    const auto reply = co_await m_table.read(std::move(keys));
    perform(m_keeper.onRead(reply, m_clock.now()));
}

boost::asio::awaitable<void> LeaseDriver::listHosts()
{
    const auto hosts = co_await m_table.hosts();
    perform(m_keeper.onHosts(hosts, m_clock.now()));
}

void LeaseDriver::report(const LeaseChanged &change)
{
    m_counters.add(change.held ? CounterId::LeasesTaken : CounterId::LeasesLost);
    const auto text = m_settings.name + (change.held ? " taken, fence " : " lost, fence ") + std::to_string(change.fence);
    logEvent(LogLevel::Info, "lease:", {}, text);
}

} // namespace guavafield
