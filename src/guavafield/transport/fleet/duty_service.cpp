// The loop of the lease's holder.
#include <guavafield/transport/fleet/duty_service.hpp>

#include <guavafield/protocol/records/window_codec.hpp>
#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/log/event_loop.hpp>
#include <guavafield/transport/log/log.hpp>

#include <utility>
#include <vector>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

constexpr Milliseconds dutyStep{200};
constexpr Milliseconds dutyCallTimeout{700};
constexpr Milliseconds leaseTerm{2'500};
constexpr Milliseconds leaseRenewal{800};
constexpr Milliseconds leaseRetry{400};
// The other hosts are known by then.
constexpr Milliseconds leaseFirstStep{1'400};
constexpr std::string_view sealTable = "sealed";
// Seals stay for longer than any host looks back.
constexpr BillingWindow keptSeals = 200;

RowKey sealKey(BillingWindow window)
{
    constexpr std::size_t digits = 12;
    auto text = std::to_string(window);
    text.insert(0, digits - std::min(digits, text.size()), '0');
    return {std::string(sealTable), std::move(text)};
}

RowKey sealFloorKey()
{
    return {std::string(sealTable), "floor"};
}

LeaseSettings leaseSettings(const LeaseHolder &self)
{
    LeaseSettings settings;
    settings.name = "duties";
    settings.self = self;
    settings.term = leaseTerm;
    settings.renewEvery = leaseRenewal;
    settings.retryEvery = leaseRetry;
    settings.recordsUnreleased = false;
    settings.firstStepDelay = leaseFirstStep;
    return settings;
}

} // namespace internal

DutyService::DutyService(DutyDependencies dependencies, DutySettings settings)
    : m_dependencies(std::move(dependencies))
    , m_settings(std::move(settings))
    , m_lease(std::make_shared<LeaseDriver>(
          m_dependencies.strand, m_dependencies.table, m_dependencies.clock, m_dependencies.counters, internal::leaseSettings(m_settings.self)))
    , m_ledger(m_settings.windowLength)
    , m_reporter(WindowReporterSettings{})
    , m_floor(internal::sealFloorKey(), {&encodeSealFloor, &decodeSealFloor})
{
}

void DutyService::start()
{
    m_lease->start();
    spawnLoop(m_dependencies.strand, [self = shared_from_this()] { return self->run(); });
}

asio::awaitable<void> DutyService::stop(Milliseconds limit)
{
    const auto self = shared_from_this();
    m_stopped = true;
    co_await m_lease->stop(limit);
}

void DutyService::onReport(std::string_view host, Incarnation incarnation, const HostReport &report)
{
    m_time.addReading(host, report.wall, m_dependencies.clock.now());
    m_ledger.onReport(std::string(host) + "/" + std::to_string(incarnation), report.windows);
    m_reporter.onReportedUpTo(report.reportedUpTo);
    m_reporter.onReportSent(report.reportSentUpTo);
    if (report.dutyFence != 0) {
        m_lease->keeper().onHolderAnnounced(host, report.dutyFence, m_dependencies.clock.now());
    } else {
        m_lease->keeper().onNonHolderAnnounced(host);
    }
}

void DutyService::onOwnTime(WallTime wall)
{
    m_time.addReading(m_settings.self.host, wall, m_dependencies.clock.now());
}

void DutyService::onStarted(const TeamId &team)
{
    m_ledger.count(team, timeOfDay());
}

std::vector<WindowCounts> DutyService::ownCounts()
{
    const auto time = m_time.now(m_dependencies.clock.now());
    return time ? m_ledger.ownCounts(*time, m_turn++, m_reporter.reportedUpTo()) : std::vector<WindowCounts>();
}

void DutyService::setCandidates(std::span<const HostId> candidates)
{
    m_lease->setCandidates(candidates);
}

std::optional<DutyHolder> DutyService::holder()
{
    const auto now = m_dependencies.clock.now();
    const auto fence = m_lease->keeper().fence(now + internal::dutyCallTimeout);
    if (!fence) {
        return std::nullopt;
    }
    if (*fence != m_fence) {
        m_fence = *fence;
        m_heldSince = now;
        // What was known of the load in an earlier tenure has passed.
        m_plan = FleetPlanner();
        m_floor.beginTenure(*fence);
    }
    if (m_stopped || now - m_heldSince < m_settings.holderGap) {
        return std::nullopt;
    }
    // The clock counts time for which this host was suspended.
    const auto heldUntil = now + internal::dutyCallTimeout;
    return DutyHolder{m_settings.self.host, *fence, [clock = &m_dependencies.clock, heldUntil] { return clock->now() < heldUntil; }};
}

asio::awaitable<void> DutyService::run()
{
    while (!m_stopped) {
        const auto configuration = m_dependencies.configuration();
        const auto time = m_time.now(m_dependencies.clock.now());
        if (const auto version = m_dependencies.tableVersion(); version && time) {
            m_floor.onVersionKnown(*version, m_ledger.windowAt(*time));
        }
        if (holder() && time && configuration->revision > 0) {
            const auto due = m_settings.reportsUsage ? m_reporter.due(m_ledger, *time) : std::nullopt;
            if (due) {
                // A new holder has several windows to report.
                co_await handleWindow(*due);
                continue;
            }
            m_plan.onLoads(*configuration, m_dependencies.loads(), m_dependencies.clock.now());
            const auto size = m_settings.ordersUpstreams ? m_plan.nextOrder(*configuration, m_dependencies.clock.now()) : std::nullopt;
            if (size) {
                co_await order(*size);
                continue;
            }
        }
        co_await sleepFor(internal::dutyStep);
    }
}

asio::awaitable<void> DutyService::handleWindow(DueWindow due)
{
    if (!due.sealed && !m_floor.known()) {
        co_await claimSealFloor(due.window);
        co_return;
    }
    if (!due.sealed && (due.reportSent || m_floor.covers(due.window))) {
        co_await readSeal(due.window);
        co_return;
    }
    if (!due.sealed) {
        co_await seal(due.window);
        co_return;
    }
    const auto sender = holder();
    if (!sender) {
        co_return;
    }
    m_reporter.onReportSent(due.window);
    m_dependencies.counters.add(CounterId::UsageReportsSent);
    const bool accepted = co_await m_dependencies.calls.reportUsage(*sender, due.window, *due.sealed, internal::dutyCallTimeout);
    const auto text = "usage report, window=" + std::to_string(due.window) + " teams=" + std::to_string(due.sealed->size())
        + " fence=" + std::to_string(sender->fence) + " outcome=" + (accepted ? "accepted" : "failed");
    logEvent(accepted ? LogLevel::Info : LogLevel::Warning, "usage:", {}, text);
    if (accepted) {
        m_reporter.onReported(due.window);
    } else {
        onWindowFailed(due.window);
    }
}

void DutyService::onWindowFailed(BillingWindow window)
{
    m_reporter.onFailed(window, timeOfDay());
}

WallTime DutyService::timeOfDay() const
{
    return m_time.now(m_dependencies.clock.now()).value_or(m_dependencies.clock.wallNow());
}

asio::awaitable<void> DutyService::claimSealFloor(BillingWindow dueWindow)
{
    std::vector<RowKey> keys(1, m_floor.key());
    const auto read = co_await m_dependencies.table.read(std::move(keys));
    const auto *rows = std::get_if<ReadRows>(&read);
    auto claim = rows != nullptr && !rows->rows.empty() ? m_floor.claim(rows->rows.front(), m_ledger.windowAt(timeOfDay())) : std::nullopt;
    if (claim) {
        const auto reply = co_await m_dependencies.table.transact(std::move(*claim));
        const auto *committed = std::get_if<TransactionCommitted>(&reply);
        m_floor.onClaimed(committed != nullptr ? committed->versions.at(0) : 0);
    }
    if (!m_floor.known()) {
        onWindowFailed(dueWindow);
        co_return;
    }
    const auto text = "seals begin, after_window=" + std::to_string(m_floor.window()) + " fence=" + std::to_string(m_fence);
    logEvent(LogLevel::Info, "usage:", {}, text);
}

asio::awaitable<void> DutyService::readSeal(BillingWindow window)
{
    std::vector<RowKey> keys(1, internal::sealKey(window));
    const auto reply = co_await m_dependencies.table.read(std::move(keys));
    const auto *rows = std::get_if<ReadRows>(&reply);
    if (rows == nullptr || rows->rows.empty()) {
        onWindowFailed(window);
        co_return;
    }
    if (auto sealed = decodeFigures(rows->rows.front().value)) {
        m_reporter.onSealed(window, std::move(*sealed));
        co_return;
    }
    // The table came back without it. The platform may hold figures that this host does not know, and other ones must not follow.
    m_dependencies.counters.add(CounterId::UsageSealsLost);
    const auto text = "seal lost, window=" + std::to_string(window) + " sent_up_to=" + std::to_string(m_reporter.reportSentUpTo())
        + " seals_begin_after=" + std::to_string(m_floor.window());
    logEvent(LogLevel::Warning, "usage:", {}, text);
    m_reporter.onReported(window);
}

asio::awaitable<void> DutyService::seal(BillingWindow window)
{
    std::vector<TeamId> teams;
    const auto configuration = m_dependencies.configuration();
    for (const auto &[id, team] : configuration->teams) {
        teams.push_back(id);
    }
    auto figures = m_ledger.totals(window, teams);
    Transaction transaction;
    transaction.conditions.push_back({internal::sealKey(window), 0});
    transaction.conditions.push_back(m_floor.condition());
    transaction.writes.push_back({internal::sealKey(window), encodeFigures(figures)});
    transaction.writes.push_back({internal::sealKey(window - internal::keptSeals), std::nullopt});
    const auto reply = co_await m_dependencies.table.transact(std::move(transaction));
    const auto *committed = std::get_if<TransactionCommitted>(&reply);
    if (committed != nullptr && m_floor.inEpoch(committed->versions.at(0))) {
        m_dependencies.counters.add(CounterId::UsageWindowsSealed);
        m_reporter.onSealed(window, std::move(figures));
        co_return;
    }
    // Another holder sealed the window, or this one did in a call whose answer was lost.
    const auto *conflict = std::get_if<TransactionConflict>(&reply);
    const bool isSealed = conflict != nullptr && conflict->conditionIndex == 0;
    if (auto sealed = isSealed ? decodeFigures(conflict->current.value) : std::nullopt) {
        m_reporter.onSealed(window, std::move(*sealed));
        co_return;
    }
    if (conflict != nullptr && !isSealed) {
        // The floor was written once more, or the table came back without it.
        m_floor.beginTenure(m_fence);
    }
    onWindowFailed(window);
}

asio::awaitable<void> DutyService::order(FleetSize size)
{
    const auto sender = holder();
    if (!sender) {
        co_return;
    }
    m_dependencies.counters.add(CounterId::OrdersSent);
    const auto outcome = co_await m_dependencies.calls.orderUpstreams(*sender, size, internal::dutyCallTimeout);
    constexpr std::array<std::string_view, 3> names{"accepted", "unavailable", "failed"};
    std::string text = "upstreams ordered, pool=" + size.pool + " data_centre=" + size.dataCentre;
    text += " kind=" + std::string(describe(size.kind)) + " count=" + std::to_string(size.count);
    text += " fence=" + std::to_string(sender->fence) + " outcome=" + std::string(names[static_cast<std::size_t>(outcome)]);
    logEvent(LogLevel::Info, "order:", {}, text);
    m_plan.onOutcome(size, outcome, m_dependencies.clock.now());
}

} // namespace guavafield
