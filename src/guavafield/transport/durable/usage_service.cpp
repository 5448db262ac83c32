// Coroutines of usage.
#include <guavafield/protocol/records/usage_codec.hpp>
#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/durable/usage_service.hpp>
#include <guavafield/transport/log/log.hpp>
#include <guavafield/transport/platform/platform_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <xxhash.h>

#include <utility>

namespace guavafield {

namespace internal {

constexpr Milliseconds usageStepInterval{1'000};
constexpr Milliseconds stopPollInterval{50};

UsageMeterSettings ledgerSettings(const LeaseHolder &self)
{
    UsageMeterSettings settings;
    settings.self = self;
    const auto interval = std::chrono::duration_cast<Milliseconds>(settings.flushEvery).count();
    const auto hash = XXH64(self.host.data(), self.host.size(), self.incarnation);
    settings.flushPhase = Milliseconds{static_cast<Milliseconds::rep>(hash % static_cast<std::uint64_t>(interval))};
    return settings;
}

UsageSealerSettings sealerSettings(const LeaseHolder &self)
{
    UsageSealerSettings settings;
    settings.self = self;
    return settings;
}

LeaseSettings usageLeaseSettings(const LeaseHolder &self)
{
    LeaseSettings settings;
    settings.name = "usage";
    settings.self = self;
    return settings;
}

} // namespace internal

UsageService::UsageService(
    const boost::asio::any_io_executor &executor, PlatformClient &client, const Clock &clock, Counters &counters, const LeaseHolder &self)
    : m_strand(boost::asio::make_strand(executor))
    , m_client(client)
    , m_clock(clock)
    , m_counters(counters)
    , m_ledger(internal::ledgerSettings(self), usageCodec())
    , m_lease(std::make_shared<LeaseDriver>(m_strand, tableAccess(client), clock, counters, internal::usageLeaseSettings(self)))
    , m_sealer(internal::sealerSettings(self), usageCodec(), m_lease->keeper())
{
}

void UsageService::start()
{
    boost::asio::post(m_strand, [self = shared_from_this()] { self->m_lease->start(); });
    boost::asio::co_spawn(
        m_strand, [self = shared_from_this()]() -> boost::asio::awaitable<void> { co_await self->flushLoop(); }, boost::asio::detached);
    boost::asio::co_spawn(
        m_strand, [self = shared_from_this()]() -> boost::asio::awaitable<void> { co_await self->sealLoop(); }, boost::asio::detached);
}

boost::asio::awaitable<void> UsageService::stop(Milliseconds limit)
{
    const auto onStrand = [self = shared_from_this(), limit]() -> boost::asio::awaitable<void> { co_await self->stopOnStrand(limit); };
    co_await boost::asio::co_spawn(m_strand, onStrand, boost::asio::use_awaitable);
}

UsageSink UsageService::sink()
{
    return [self = shared_from_this()](const RequestUsage &usage) {
        boost::asio::post(self->m_strand, [self, usage] {
            self->m_ledger.count({usage.team, usage.className, usage.model}, {1, usage.promptTokens, usage.outputTokens}, self->m_clock.now());
        });
    };
}

void UsageService::setCandidates(std::vector<HostId> candidates)
{
    boost::asio::post(m_strand, [self = shared_from_this(), list = std::move(candidates)] { self->m_lease->setCandidates(list); });
}

void UsageService::confirmGone(LeaseHolder holder)
{
    boost::asio::post(m_strand, [self = shared_from_this(), gone = std::move(holder)] { self->m_lease->keeper().confirmGone(gone); });
}

boost::asio::awaitable<void> UsageService::flushLoop()
{
    while (!m_ended) {
        if (const auto time = m_client.platformTime()) {
            m_ledger.setPlatformTime(*time, m_clock.now());
        }
        if (auto action = m_ledger.step(m_clock.now())) {
            const auto reply = co_await m_client.transact(std::move(action->transaction));
            m_ledger.onTransaction(reply, m_clock.now());
            if (std::holds_alternative<TransactionCommitted>(reply)) {
                m_counters.add(CounterId::UsageFlushes);
            }
        }
        co_await sleepFor(internal::usageStepInterval);
    }
}

boost::asio::awaitable<void> UsageService::sealLoop()
{
    while (!m_ended) {
        std::optional<UsageAction> action;
        if (const auto time = m_client.platformTime()) {
            action = m_sealer.step(m_clock.now(), *time);
        }
        if (action) {
            const auto before = m_sealer.sealed();
            co_await perform(std::move(*action));
            m_counters.add(CounterId::UsageWindowsSealed, m_sealer.sealed() - before);
        } else {
            co_await sleepFor(internal::usageStepInterval);
        }
    }
}

boost::asio::awaitable<void> UsageService::perform(UsageAction action)
{
    if (auto *write = std::get_if<TransactAction>(&action)) {
        const auto reply = co_await m_client.transact(std::move(write->transaction));
        m_sealer.onTransaction(reply, m_clock.now());
    } else if (auto *read = std::get_if<ReadAction>(&action)) {
        const auto reply = co_await m_client.read(std::move(read->keys));
        m_sealer.onRows(reply, m_clock.now());
    } else if (auto *scan = std::get_if<ScanAction>(&action)) {
        const auto reply = co_await m_client.scan(std::move(scan->range));
        m_sealer.onRows(reply, m_clock.now());
    } else if (auto *store = std::get_if<StoreFiguresAction>(&action)) {
        const auto stored = co_await m_client.putObject(std::move(store->name), std::move(store->text));
        m_sealer.onStored(stored.value.has_value(), m_clock.now());
    } else if (auto *fetch = std::get_if<FetchFiguresAction>(&action)) {
        const auto fetched = co_await m_client.getObject(std::move(fetch->name));
        m_sealer.onFetched(fetched.value, m_clock.now());
    } else {
        co_await report(std::move(std::get<ReportUsageAction>(action)));
    }
}

boost::asio::awaitable<void> UsageService::report(ReportUsageAction report)
{
    const std::string method("POST");
    const std::string target("/usage");
    auto body = formatUsageReport(report.window, report.digest, report.figures, report.reporter);
    m_counters.add(CounterId::UsageReportsSent);
    const auto answer = co_await m_client.call(method, target, std::move(body), CallUrgency::Usage);
    m_sealer.onReported(answer.value.has_value(), m_clock.now());
    const auto text = "window " + std::to_string(report.window) + (answer ? " reported" : " not reported: " + answer.error.message);
    logEvent(answer ? LogLevel::Info : LogLevel::Warning, "usage:", {}, text);
}

boost::asio::awaitable<void> UsageService::stopOnStrand(Milliseconds limit)
{
    const auto deadline = m_clock.now() + limit;
    m_ledger.stop();
    while (!m_ledger.drained() && m_clock.now() < deadline) {
        co_await sleepFor(internal::stopPollInterval);
    }
    m_ended = true;
    const auto rest = std::chrono::duration_cast<Milliseconds>(deadline - m_clock.now());
    co_await m_lease->stop(std::max(rest, Milliseconds{0}));
}

} // namespace guavafield
