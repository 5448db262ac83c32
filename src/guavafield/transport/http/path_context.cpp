// Shared state of the request path.
#include <guavafield/transport/http/path_context.hpp>

#include <xxhash.h>

#include <algorithm>
#include <optional>

namespace guavafield {

namespace internal {

constexpr std::uint64_t mebibyte = std::uint64_t{1024} * 1024;
// Parts of the machine's memory for requests, and for headers that have not arrived completely.
constexpr std::uint64_t requestPart = 4;
constexpr std::uint64_t headerPart = 16;
constexpr std::size_t minHeadersAtOnce = 64;
// Descriptors that are kept for files, the listeners, peers, operators and the platform.
constexpr std::size_t reservedDescriptors = 200;

std::uint64_t requestBytes(const LimitSettings &limits) noexcept
{
    const auto part = limits.memoryMegabytes * mebibyte / requestPart;
    return part == 0 ? limits.heldRequestBytes : std::min(limits.heldRequestBytes, part);
}

std::size_t headersAtOnce(const LimitSettings &limits) noexcept
{
    const auto part = limits.memoryMegabytes * mebibyte / headerPart / limits.headerBytes;
    return part == 0 ? limits.connections : std::max<std::size_t>(minHeadersAtOnce, part);
}

} // namespace internal

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
    , requests(internal::requestBytes(daemonSettings.limits))
    , headers(internal::headersAtOnce(daemonSettings.limits))
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

std::size_t PathContext::connectionLimit() const noexcept
{
    const auto &limits = settings.limits;
    if (limits.descriptors == 0) {
        return limits.connections;
    }
    // As many are left for connections to upstreams.
    const auto free = limits.descriptors - std::min(limits.descriptors, internal::reservedDescriptors);
    return std::clamp<std::size_t>(free / 2, 1, limits.connections);
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
