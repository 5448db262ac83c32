// Shared state of the request path.
#include <guavafield/transport/http/path_context.hpp>

#include <xxhash.h>

#include <optional>

namespace guavafield {

bool RequestPlaces::take() noexcept
{
    if (m_taken.fetch_add(1, std::memory_order_acq_rel) < m_limit) {
        return true;
    }
    release();
    return false;
}

void ConfigurationAge::confirm(SteadyTime at) noexcept
{
    const auto time = std::chrono::duration_cast<std::chrono::nanoseconds>(at.time_since_epoch()).count();
    auto known = m_confirmed.load(std::memory_order_acquire);
    while (known < time && !m_confirmed.compare_exchange_weak(known, time, std::memory_order_acq_rel)) { }
}

bool ConfigurationAge::olderThan(Milliseconds age, SteadyTime now) const noexcept
{
    const auto confirmed = m_confirmed.load(std::memory_order_acquire);
    return confirmed == never || now - SteadyTime{std::chrono::nanoseconds{confirmed}} > age;
}

std::optional<Milliseconds> ConfigurationAge::since(SteadyTime now) const noexcept
{
    const auto confirmed = m_confirmed.load(std::memory_order_acquire);
    return confirmed == never ? std::nullopt : std::optional(std::chrono::ceil<Milliseconds>(now - SteadyTime{std::chrono::nanoseconds{confirmed}}));
}

PathContext::PathContext(boost::asio::any_io_executor io,
                         const DaemonSettings &daemonSettings,
                         const Clock &daemonClock,
                         Counters &daemonCounters,
                         const SnapshotCell<Configuration> &cell,
                         PathHooks pathHooks)
    : executor(std::move(io))
    , settings(daemonSettings)
    , clock(&daemonClock)
    , counters(&daemonCounters)
    , configuration(&cell)
    , hasher(daemonSettings.host.fleetSecret)
    , hooks(std::move(pathHooks))
    , pool(executor, PoolSettings{})
    , places(daemonSettings.limits.requests)
    , answers(daemonSettings.limits.heldAnswerBytes)
    , driver(std::make_shared<RequestDriver>(
          executor,
          daemonClock,
          daemonCounters,
          SchedulerSettings{
              daemonSettings.host.dataCentre, 1, XXH3_64bits(daemonSettings.host.id.data(), daemonSettings.host.id.size()), daemonSettings.host.regions}))
    ,
    // A restarted host must not repeat the ids of its former life.
    m_idPrefix(daemonSettings.host.id + "-" + makeSecret().substr(0, 8) + "-")
{
}

std::shared_ptr<const Configuration> PathContext::currentConfiguration() const
{
    struct Cache
    {
        const SnapshotCell<Configuration> *cell{nullptr};
        std::optional<SnapshotCell<Configuration>::Reader> reader;
    };
    thread_local Cache cache;
    if (cache.cell != configuration) {
        cache.cell = configuration;
        cache.reader.emplace(*configuration);
    }
    return cache.reader->get();
}

CallerLimits PathContext::callerLimits() const
{
    const auto &limits = settings.limits;
    return currentConfiguration()->callerLimits.value_or(CallerLimits{limits.headerBytes, limits.bodyBytes, limits.requestTimeout, limits.keepAliveTimeout});
}

RequestId PathContext::makeRequestId()
{
    return m_idPrefix + std::to_string(m_nextId.fetch_add(1, std::memory_order_relaxed));
}

Milliseconds PathContext::jittered(Milliseconds base)
{
    const auto seed = m_nextId.load(std::memory_order_relaxed);
    const auto random = XXH3_64bits_withSeed(m_idPrefix.data(), m_idPrefix.size(), seed);
    return base + Milliseconds{static_cast<Milliseconds::rep>(random % static_cast<std::uint64_t>(std::max<Milliseconds::rep>(base.count(), 1)))};
}

} // namespace guavafield
