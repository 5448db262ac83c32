// Names of the counters and their text output.
#include <guavafield/state/counters.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

constexpr std::array<CounterInfo, static_cast<std::size_t>(CounterId::Count)> counterTable{{
    {"guavafield_requests_received_total", "Requests received from callers"},
    {"guavafield_requests_completed_total", "Requests answered as a whole"},
    {"guavafield_requests_abandoned_total", "Requests whose caller closed the connection"},
    {"guavafield_streams_opened_total", "Streamed answers started"},
    {"guavafield_output_tokens_delivered_total", "Output tokens delivered to callers"},
    {"guavafield_output_tokens_wasted_total", "Output tokens generated but not delivered"},
    {"guavafield_connections_accepted_total", "Connections accepted from callers"},
    {"guavafield_connections_evicted_total", "Connections without a whole request that were closed to make room for others"},
    {"guavafield_uploads_ended_total", "Uploads that stood still and were ended while memory was short"},
    {"guavafield_requests_queued_total", "Requests admitted to the queue"},
    {"guavafield_requests_dispatched_total", "Attempts sent to upstreams"},
    {"guavafield_requests_preempted_total", "Running requests preempted for a higher tier"},
    {"guavafield_requests_hedged_total", "Requests sent to a second upstream before the first token"},
    {"guavafield_streams_taken_up_total", "Streams taken up by their callers whose origin was known"},
    {"guavafield_requests_relayed_total", "Requests relayed to another host because no upstream could be reached"},
    {"guavafield_relayed_requests_received_total", "Requests received from other hosts that reach no upstream"},
    {"guavafield_relays_failed_total", "Relayed requests that the other host did not answer or refused"},
    {"guavafield_configuration_applied_total", "Configuration revisions applied"},
    {"guavafield_configuration_rejected_total", "Configuration changes that could not be applied"},
    {"guavafield_streams_closed_by_withdrawal_total", "Open streams closed because their key was withdrawn"},
    {"guavafield_platform_reads_total", "Reads from the table service and object store"},
    {"guavafield_platform_writes_total", "Writes to the table service and object store"},
    {"guavafield_platform_failures_total", "Platform calls that failed or whose answer was lost"},
    {"guavafield_peer_datagrams_sent_total", "Gossip datagrams sent"},
    {"guavafield_peer_datagrams_received_total", "Gossip datagrams received"},
    {"guavafield_peer_datagrams_rejected_total", "Gossip datagrams that were malformed or not authenticated"},
    {"guavafield_peer_bytes_sent_total", "Bytes sent to peers"},
    {"guavafield_peer_bytes_received_total", "Bytes received from peers"},
    {"guavafield_leases_taken_total", "Leases taken"},
    {"guavafield_leases_lost_total", "Leases that lapsed or were taken over"},
    {"guavafield_orders_sent_total", "Orders sent to upstreams and to the platform"},
    {"guavafield_orders_fenced_total", "Orders refused because of an old fencing token"},
    {"guavafield_usage_flushes_total", "Usage rows written"},
    {"guavafield_usage_windows_sealed_total", "Usage windows sealed"},
    {"guavafield_usage_seals_lost_total",
     "Usage windows passed over, as a report was or may have been sent and the platform's table came back without the seal"},
    {"guavafield_usage_reports_sent_total", "Usage reports sent"},
    {"guavafield_once_records_inserted_total", "At-most-once records inserted"},
    {"guavafield_once_duplicates_answered_total", "Duplicates of at-most-once calls answered from the record"},
    {"guavafield_unexpected_errors_total", "Exceptions that no handler caught; the log has their causes"},
}};

constexpr std::array<std::string_view, static_cast<std::size_t>(RetryReason::Count)> retryReasonTable{
    "connect_failed",
    "upstream_error",
    "upstream_crashed",
    "answer_incomplete",
    "first_token_late",
    "upstream_reclaimed",
    "preempted",
    "upstream_replaced",
    "upstream_unidentified",
    "status_invalid",
};

std::size_t indexOf(ResultCode code) noexcept
{
    return static_cast<std::size_t>(&describe(code) - resultCodes().data());
}

void appendHeader(std::string &text, std::string_view name, std::string_view help)
{
    text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    text.append("# TYPE ").append(name).append(" counter\n");
}

} // namespace internal

const CounterInfo &describe(CounterId id) noexcept
{
    return internal::counterTable[static_cast<std::size_t>(id)];
}

std::string_view describe(RetryReason reason) noexcept
{
    return internal::retryReasonTable[static_cast<std::size_t>(reason)];
}

void Counters::addRefusal(ResultCode code) noexcept
{
    m_refusals[internal::indexOf(code)].fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t Counters::value(CounterId id) const noexcept
{
    return m_plain[static_cast<std::size_t>(id)].load(std::memory_order_relaxed);
}

std::uint64_t Counters::refusals(ResultCode code) const noexcept
{
    return m_refusals[internal::indexOf(code)].load(std::memory_order_relaxed);
}

std::uint64_t Counters::retries(RetryReason reason) const noexcept
{
    return m_retries[static_cast<std::size_t>(reason)].load(std::memory_order_relaxed);
}

std::string Counters::format() const
{
    std::string text;
    for (std::size_t n = 0; n < m_plain.size(); ++n) {
        const auto &info = internal::counterTable[n];
        internal::appendHeader(text, info.name, info.help);
        text.append(info.name).append(" ").append(std::to_string(m_plain[n].load(std::memory_order_relaxed))).append("\n");
    }
    internal::appendHeader(text, "guavafield_refusals_total", "Refused requests by result code");
    for (const auto &it : resultCodes()) {
        if (it.httpStatus < 400) {
            continue;
        }
        text.append("guavafield_refusals_total{code=\"").append(std::to_string(static_cast<unsigned>(it.code)));
        text.append("\",reason=\"").append(it.name).append("\"} ").append(std::to_string(refusals(it.code))).append("\n");
    }
    internal::appendHeader(text, "guavafield_retries_total", "Retried requests by reason");
    for (std::size_t n = 0; n < m_retries.size(); ++n) {
        const auto reason = static_cast<RetryReason>(n);
        text.append("guavafield_retries_total{reason=\"").append(describe(reason)).append("\"} ");
        text.append(std::to_string(retries(reason))).append("\n");
    }
    return text;
}

} // namespace guavafield
