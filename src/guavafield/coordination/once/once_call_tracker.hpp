// At-most-once calls: records them before they are sent, settles them, and answers duplicates from the record.
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

/*! @brief What a ledger is created with. */
struct OnceSettings
{
    HostId host;
    Incarnation incarnation{0};
    // Writes that become ready within this time share a transaction.
    Milliseconds batchWindow{5};
    std::size_t maxBatchRows{64};
    // How long a caller waits for an outcome that is not known.
    Milliseconds waitForOutcome{10'000};
    Milliseconds retryEvery{1'000};
    // First interval of reads of a call that another host has started; doubles up to retryEvery.
    Milliseconds pollEvery{250};
    std::chrono::hours expireAfter{24};
    // Calls of this host that are not settled; more are refused.
    std::size_t maxCalls{10'000};
};

/*! @brief Send a transaction and feed its reply back under the same id. */
struct OnceTransactAction
{
    std::uint64_t id{0};
    Transaction transaction;
};

/*! @brief Read rows and feed the reply back under the same id. */
struct OnceReadAction
{
    std::uint64_t id{0};
    std::vector<RowKey> keys;
};

/*! @brief Send the call to its upstream, once, and report what came of it. */
struct OnceSendAction
{
    OnceCallId call{0};
};

/*! @brief Answer the caller. */
struct OnceReplyAction
{
    OnceCallId call{0};
    OnceReply reply;
};

using OnceAction = std::variant<OnceTransactAction, OnceReadAction, OnceSendAction, OnceReplyAction>;

/*!
 * @brief Records of the at-most-once calls that this host has received.
 *
 * Every write is conditional on the row's version, so that of an insert and a tombstone in the same place exactly one takes effect.
 * Not safe for several threads.
 */
class OnceCallTracker
{
public:
    OnceCallTracker(OnceSettings settings, OnceCodec codec);

    /*! @brief Takes the platform's time of day; records expire by it. */
    void setPlatformTime(WallTime time) noexcept;

    /*! @brief A caller sent a call; follow with step(). Exactly one OnceReplyAction follows. */
    [[nodiscard]] OnceCallId begin(const OnceIdentity &call, SteadyTime now);
    /*! @brief Returns what to do now; call after each event and at nextWakeup(). */
    [[nodiscard]] std::vector<OnceAction> step(SteadyTime now);
    /*! @brief Returns when step() has to be called at the latest; empty if only an event matters. */
    [[nodiscard]] std::optional<SteadyTime> nextWakeup() const;

    void onTransaction(std::uint64_t id, const TransactionReply &reply, SteadyTime now);
    void onRead(std::uint64_t id, const ReadReply &reply, SteadyTime now);

    /*! @brief The upstream answered a call. */
    void onAnswered(OnceCallId call, OnceAnswer answer, SteadyTime now);
    /*! @brief The call was sent, and its answer is lost. */
    void onAnswerLost(OnceCallId call);
    /*! @brief No byte of the call has reached the upstream. */
    void onNotSent(OnceCallId call, SteadyTime now);

    /*! @brief Returns the calls whose rows are not in their final state yet. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    enum class Phase : std::uint8_t {
        // The insert is queued or under way.
        Insert,
        // The insert's answer was lost; the tombstone is queued or under way.
        Tombstone,
        // The upstream has the call.
        Run,
        // The final record is queued or under way.
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
        // What the next write puts into the row, on condition of this version.
        OnceRecord record;
        RowVersion expectedVersion{0};
        // A write whose answer was lost may still take effect.
        bool mayHaveCommitted{false};
        // The call that runs if the insert takes effect.
        OnceCallId owner{0};
        // Callers without an answer, the owner included.
        std::vector<Waiter> waiters;
        // When to write or read again; empty while queued, under way or running.
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
    // Owners of running calls.
    std::map<OnceCallId, EntryName> m_running;
    std::vector<EntryName> m_writeQueue;
    SteadyTime m_flushAt{};
    std::map<std::uint64_t, std::vector<EntryName>> m_transactions;
    std::map<std::uint64_t, std::vector<EntryName>> m_reads;

    // The latest operation was served; if not, new calls are refused and the store is probed.
    bool m_storeAvailable{true};
    SteadyTime m_nextProbe{};
    std::vector<OnceAction> m_readyActions;
};

} // namespace guavafield
