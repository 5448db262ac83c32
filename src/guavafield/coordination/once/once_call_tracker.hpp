// At-most-once calls: records each call before it is sent, records its outcome, and answers duplicates from the record.
#pragma once

#include <guavafield/coordination/once/once_record.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavafield {

using OnceCallId = std::uint64_t;

/*! @brief Settings of a OnceCallTracker. */
struct OnceSettings
{
    HostId host;
    Incarnation incarnation{0};
    // Writes that become due within this time are batched into one transaction.
    Milliseconds batchWindow{5};
    std::size_t maxBatchRows{64};
    // How long a caller waits while the outcome of the call is unknown.
    Milliseconds waitForOutcome{10'000};
    Milliseconds retryEvery{1'000};
    // Initial interval at which the row of a call that another host has started is polled; doubles up to retryEvery.
    Milliseconds pollEvery{250};
    std::chrono::hours expireAfter{24};
    // Maximum number of unsettled calls of this host; further calls are refused.
    std::size_t maxCalls{10'000};
};

/*! @brief Send a transaction and pass its reply to onTransaction() with the same id. */
struct OnceTransactAction
{
    std::uint64_t id{0};
    Transaction transaction;
};

/*! @brief Read rows and pass the reply to onRead() with the same id. */
struct OnceReadAction
{
    std::uint64_t id{0};
    std::vector<RowKey> keys;
};

/*! @brief Send the call to its upstream once and report the outcome through onAnswered(), onAnswerLost() or onNotSent(). */
struct OnceSendAction
{
    OnceCallId call{0};
};

/*! @brief Send the reply to the caller. */
struct OnceReplyAction
{
    OnceCallId call{0};
    OnceReply reply;
};

using OnceAction = std::variant<OnceTransactAction, OnceReadAction, OnceSendAction, OnceReplyAction>;

/*!
 * @brief Tracks the at-most-once calls that this host has received until their rows are final.
 *
 * Every write is conditional on the row's version, so of an insert and a tombstone for the same row exactly one takes effect.
 * Not safe for several threads.
 */
class OnceCallTracker
{
public:
    OnceCallTracker(OnceSettings settings, OnceCodec codec);

    /*! @brief Updates the platform's time of day, by which records expire. */
    void setPlatformTime(WallTime time) noexcept;

    /*! @brief Accepts a call from a caller; call step() afterwards. Each call gets exactly one OnceReplyAction. */
    [[nodiscard]] OnceCallId begin(const OnceIdentity &call, SteadyTime now);
    /*! @brief Returns the actions that are due; call after each event and at nextWakeup(). */
    [[nodiscard]] std::vector<OnceAction> step(SteadyTime now);
    /*! @brief Returns the latest time at which step() has to be called; empty if it need only be called after an event. */
    [[nodiscard]] std::optional<SteadyTime> nextWakeup() const;

    void onTransaction(std::uint64_t id, const TransactionReply &reply, SteadyTime now);
    void onRead(std::uint64_t id, const ReadReply &reply, SteadyTime now);

    /*! @brief Records that the upstream answered a call. */
    void onAnswered(OnceCallId call, OnceAnswer answer, SteadyTime now);
    /*! @brief Records that the call was sent and its answer was lost. */
    void onAnswerLost(OnceCallId call);
    /*! @brief Records that no byte of the call has reached the upstream. */
    void onNotSent(OnceCallId call, SteadyTime now);

    /*! @brief Returns the number of calls whose rows are not yet in their final state. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    enum class Phase : std::uint8_t {
        // The insert is queued or outstanding.
        Insert,
        // The reply to the insert was lost; the tombstone is queued or outstanding.
        Tombstone,
        // The call is being sent to the upstream or awaits its answer.
        Run,
        // The final record is queued or outstanding.
        Settle,
        // Another call owns the row and has not settled it.
        Poll,
    };

    struct Waiter
    {
        OnceCallId call{0};
        SteadyTime deadline{};
    };

    struct Entry
    {
        RowKey key;
        Phase phase{Phase::Insert};
        // The record that the next write puts into the row if the row still has the expected version.
        OnceRecord record;
        RowVersion expectedVersion{0};
        // The reply to a write was lost; the write may have taken effect or may still do so.
        bool mayHaveCommitted{false};
        // The call that runs if the insert takes effect.
        OnceCallId owner{0};
        // Callers that have not been answered, including the owner.
        std::vector<Waiter> waiters;
        // When to read the row; empty while an operation is queued or outstanding or the call is running.
        std::optional<SteadyTime> retryAt;
        Milliseconds pollInterval{0};
    };

    using EntryName = std::string;

    void enqueue(Entry &entry, SteadyTime due);
    void flush(SteadyTime now, std::vector<OnceAction> &actions);
    void readDue(SteadyTime now, std::vector<OnceAction> &actions);
    void answerExpiredWaiters(SteadyTime now);
    void probe(SteadyTime now, std::vector<OnceAction> &actions);
    [[nodiscard]] OnceReadAction makeRead(std::vector<EntryName> names);
    [[nodiscard]] OnceTransactAction makeTransaction(std::span<const EntryName> names);

    void onWritten(Entry &entry, RowVersion version, SteadyTime now);
    void onRejected(Entry &entry, SteadyTime now);
    void onRow(Entry &entry, const Row &row, SteadyTime now);
    void onUnchanged(Entry &entry, SteadyTime now);
    void onOwnRecord(Entry &entry, const OnceRecord &record, RowVersion version, SteadyTime now);
    void onForeignRecord(Entry &entry, const OnceRecord &record, RowVersion version, SteadyTime now);
    void onInserted(Entry &entry, RowVersion version, SteadyTime now);
    void settle(Entry &entry, OnceRecord record, SteadyTime now);

    void scheduleRead(Entry &entry, SteadyTime due);
    void answer(OnceCallId call, OnceReply reply);
    void answerAll(Entry &entry, const OnceReply &reply);
    void erase(const Entry &entry);
    [[nodiscard]] Entry *find(const EntryName &name);
    [[nodiscard]] Entry *runningEntry(OnceCallId call);
    [[nodiscard]] std::string uniqueId();
    void setStoreAvailable(bool available, SteadyTime now);

    OnceSettings m_settings;
    OnceCodec m_codec;
    WallTime m_platformTime{};
    std::uint64_t m_lastId{0};

    std::map<EntryName, Entry> m_entries;
    // Names of the entries of running calls, by owner.
    std::map<OnceCallId, EntryName> m_running;
    std::vector<EntryName> m_writeQueue;
    SteadyTime m_flushAt{};
    std::map<std::uint64_t, std::vector<EntryName>> m_transactions;
    std::map<std::uint64_t, std::vector<EntryName>> m_reads;

    // Whether the latest operation succeeded or conflicted; if it failed, new calls are refused and the store is probed.
    bool m_storeAvailable{true};
    SteadyTime m_nextProbe{};
    std::vector<OnceAction> m_readyActions;
};

} // namespace guavafield
