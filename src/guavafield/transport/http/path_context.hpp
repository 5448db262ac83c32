// What the parts of the request path share.
#pragma once

#include <guavafield/protocol/settings/daemon_settings.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/configuration.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/state/key_hasher.hpp>
#include <guavafield/state/latencies.hpp>
#include <guavafield/state/snapshot_cell.hpp>
#include <guavafield/transport/http/answer_memory.hpp>
#include <guavafield/transport/http/callers/key_registry.hpp>
#include <guavafield/transport/http/forwarding/forward_dialect.hpp>
#include <guavafield/transport/http/path_hooks.hpp>
#include <guavafield/transport/http/request_driver.hpp>
#include <guavafield/transport/http/request_memory.hpp>
#include <guavafield/transport/http/upstreams/connection_pool.hpp>
#include <guavafield/transport/http/upstreams/engine_probe.hpp>
#include <guavafield/transport/http/upstreams/service_balance.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace guavafield {

/*! @brief Counts requests in flight; a request holds one place until it is over. */
class RequestPlaces
{
public:
    explicit RequestPlaces(std::size_t limit) : m_limit(limit) { }

    /*! @brief Takes a place; false if all are taken. */
    [[nodiscard]] bool take() noexcept;
    void release() noexcept
    {
        m_taken.fetch_sub(1, std::memory_order_acq_rel);
    }
    [[nodiscard]] std::size_t taken() const noexcept
    {
        return m_taken.load(std::memory_order_acquire);
    }

private:
    std::size_t m_limit;
    std::atomic<std::size_t> m_taken{0};
};

/*! @brief The age of the configuration's last confirmation. */
class ConfigurationAge
{
public:
    // A host without a confirmation for this long may miss a withdrawal; docs/design.md, 6.1.
    static constexpr Milliseconds limit{60'000};

    /*! @brief Notes that the revision in force was the newest at this time. */
    void confirm(SteadyTime at) noexcept;
    /*! @brief Returns whether the last confirmation is older than the limit, or there was none. */
    [[nodiscard]] bool tooOld(SteadyTime now) const noexcept
    {
        return olderThan(limit, now);
    }
    /*! @brief Returns whether the last confirmation is older than this, or there was none. */
    [[nodiscard]] bool olderThan(Milliseconds age, SteadyTime now) const noexcept;
    /*! @brief Returns the time since the last confirmation; empty if there was none. */
    [[nodiscard]] std::optional<Milliseconds> since(SteadyTime now) const noexcept;

private:
    static constexpr std::int64_t never = -1;
    // Nanoseconds of the steady clock.
    std::atomic<std::int64_t> m_confirmed{never};
};

/*! @brief Shared by all connections; outlives them. */
struct PathContext
{
    PathContext(boost::asio::any_io_executor io,
                const DaemonSettings &daemonSettings,
                const Clock &daemonClock,
                Counters &daemonCounters,
                const SnapshotCell<Configuration> &cell,
                PathHooks pathHooks);

    /*! @brief Returns the configuration in force, from the cache of the calling thread. */
    [[nodiscard]] std::shared_ptr<const Configuration> currentConfiguration() const;
    /*! @brief Returns the limits of the configuration in force, or those of the settings where it has none. */
    [[nodiscard]] CallerLimits callerLimits() const;
    /*! @brief Returns how many connections of callers may be open. */
    [[nodiscard]] std::size_t connectionLimit() const noexcept;
    /*! @brief Returns an id that no other request of the fleet has. */
    [[nodiscard]] RequestId makeRequestId();
    /*! @brief Returns a delay between the base and twice the base, so that refused callers do not return all at once. */
    [[nodiscard]] Milliseconds jittered(Milliseconds base);

    boost::asio::any_io_executor executor;
    DaemonSettings settings;
    const Clock *clock;
    Counters *counters;
    const SnapshotCell<Configuration> *configuration;
    KeyHasher hasher;
    PathHooks hooks;
    ConnectionPool pool;
    KeyRegistry keys;
    ServiceBalance services;
    EngineIncarnations engines;
    RequestPlaces places;
    AnswerMemory answers;
    RequestMemory requests;
    // Callers whose header is being received.
    RequestPlaces headers;
    ConfigurationAge age;
    // Of the list of upstreams, where a table of the platform has it.
    ConfigurationAge upstreamsAge;
    std::shared_ptr<RequestDriver> driver;
    Latencies latencies;
    // New requests are refused.
    std::atomic<bool> refusing{false};
    // Answers end their connections.
    std::atomic<bool> draining{false};

private:
    std::string m_idPrefix;
    std::atomic<std::uint64_t> m_nextId{1};
};

} // namespace guavafield
