// Counters of the daemon. Every refusal, by result code, and every retry, by reason, has one of its own.
#pragma once

#include <guavafield/state/result.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace guavafield {

/*! @brief Counters without labels; docs/reference/counters.md has the same table and CI compares the two. */
enum class CounterId : std::uint16_t {
    // caller path
    RequestsReceived,
    RequestsCompleted,
    RequestsAbandonedByCaller,
    StreamsOpened,
    OutputTokensDelivered,
    OutputTokensWasted,
    ConnectionsAccepted,
    ConnectionsEvicted,
    UploadsEnded,
    // decisions
    RequestsQueued,
    RequestsDispatched,
    RequestsPreempted,
    RequestsHedged,
    StreamsTakenUp,
    RequestsRelayed,
    RelayedRequestsReceived,
    RelaysFailed,
    // configuration and keys
    ConfigurationApplied,
    ConfigurationRejected,
    StreamsClosedByWithdrawal,
    // platform
    PlatformReads,
    PlatformWrites,
    PlatformFailures,
    // peers
    PeerDatagramsSent,
    PeerDatagramsReceived,
    PeerDatagramsRejected,
    PeerBytesSent,
    PeerBytesReceived,
    // leases, orders, usage, at-most-once calls
    LeasesTaken,
    LeasesLost,
    OrdersSent,
    OrdersFenced,
    UsageFlushes,
    UsageWindowsSealed,
    UsageSealsLost,
    UsageReportsSent,
    OnceRecordsInserted,
    OnceDuplicatesAnswered,
    // process
    UnexpectedErrors,
    // not a counter
    Count,
};

/*! @brief Why a request was sent to an upstream once more. */
enum class RetryReason : std::uint8_t {
    ConnectFailed,
    UpstreamError,
    UpstreamCrashed,
    AnswerIncomplete,
    FirstTokenLate,
    UpstreamReclaimed,
    Preempted,
    UpstreamReplaced,
    UpstreamUnidentified,
    StatusInvalid,
    // not a reason
    Count,
};

/*! @brief Name and help text of a counter in the metrics output. */
struct CounterInfo
{
    std::string_view name;
    std::string_view help;
};

/*! @brief Returns name and help text of a counter. */
[[nodiscard]] const CounterInfo &describe(CounterId id) noexcept;
/*! @brief Returns the label value of a reason. */
[[nodiscard]] std::string_view describe(RetryReason reason) noexcept;

/*! @brief All counters of a process. Safe to use from several threads. */
class Counters
{
public:
    /*! @brief Adds to a counter. */
    void add(CounterId id, std::uint64_t n = 1) noexcept
    {
        m_plain[static_cast<std::size_t>(id)].fetch_add(n, std::memory_order_relaxed);
    }

    /*! @brief Counts a refused request. */
    void addRefusal(ResultCode code) noexcept;
    /*! @brief Counts a retried request. */
    void addRetry(RetryReason reason) noexcept
    {
        m_retries[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t value(CounterId id) const noexcept;
    [[nodiscard]] std::uint64_t refusals(ResultCode code) const noexcept;
    [[nodiscard]] std::uint64_t retries(RetryReason reason) const noexcept;

    /*! @brief Writes all counters in the Prometheus text format. */
    [[nodiscard]] std::string format() const;

private:
    static constexpr std::size_t maxResultCodes = 96;

    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(CounterId::Count)> m_plain{};
    // Indexed like resultCodes().
    std::array<std::atomic<std::uint64_t>, maxResultCodes> m_refusals{};
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(RetryReason::Count)> m_retries{};
};

} // namespace guavafield
