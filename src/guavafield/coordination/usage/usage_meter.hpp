// A host's own usage counters and their way into the table service.
#pragma once

#include <guavafield/coordination/usage/usage_record.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace guavafield {

/*! @brief What a ledger is created with. */
struct UsageMeterSettings
{
    LeaseHolder self;
    std::chrono::seconds flushEvery{15};
    // Between 0 and flushEvery; spreads the hosts' flushes.
    Milliseconds flushPhase{0};
    Milliseconds retryEvery{5'000};
    // Shortest time between two rows; a host returns from an outage with up to 288 windows.
    Milliseconds rowInterval{1'000};
    // Older figures are dropped. Must be shorter than the sealer's UsageSealerSettings::doneRetention.
    std::chrono::hours retention{24};
};

/*!
 * @brief Counts usage by window and flushes changes as rows that are inserted once.
 *
 * A row is inserted only if it is absent and its window has not been closed; figures that come too late go into the open window as a
 * correction. At most one transaction is outstanding. Not safe for several threads.
 */
class UsageMeter
{
public:
    UsageMeter(UsageMeterSettings settings, UsageCodec codec);

    /*! @brief Takes the platform's time of day; nothing is flushed before the first. */
    void setPlatformTime(WallTime time, SteadyTime now);
    /*! @brief Counts usage of the present window. */
    void count(const UsageDimensions &subject, const UsageCounts &counts, SteadyTime now);

    /*! @brief Returns the next transaction, if one is due; call every second and after each reply. */
    [[nodiscard]] std::optional<TransactAction> step(SteadyTime now);
    void onTransaction(const TransactionReply &reply, SteadyTime now);

    /*! @brief Flushes without waiting for the interval; drained() tells when all is stored. */
    void stop() noexcept;
    [[nodiscard]] bool drained() const noexcept;

    /*! @brief Returns windows whose figures were dropped because they could not be flushed in time. */
    [[nodiscard]] std::uint64_t droppedSections() const noexcept;
    /*! @brief Returns the bytes of figures that wait to be flushed. */
    [[nodiscard]] std::size_t bufferedBytes() const noexcept;

private:
    struct BacklogEntry
    {
        UsageSection section;
        // Its own window has been closed.
        bool windowClosed{false};
    };

    struct Pending
    {
        BacklogEntry entry;
        RowKey key;
        // Same as the key but for the number.
        RowKey doneKey;
        UsageWindow rowWindow{0};
        std::uint64_t number{0};
        // An earlier attempt may have taken effect.
        bool mayHaveCommitted{false};
        // The window is closed; finds out whether the row was inserted before.
        bool checkingInsert{false};
    };

    [[nodiscard]] std::optional<UsageWindow> windowAt(SteadyTime now) const noexcept;
    void advanceWindow(SteadyTime now);
    void moveOpenToBacklog();
    void dropExpired(UsageWindow current);
    void takeFromBacklog(UsageWindow current);
    void assignRowNumber();
    [[nodiscard]] TransactAction makeTransaction();
    void onInsertConflict(const TransactionConflict &conflict);
    void onCheckConflict(const TransactionConflict &conflict);
    void requeueAsCorrection();

    UsageMeterSettings m_settings;
    UsageCodec m_codec;
    // Platform's time of day less the steady time.
    std::optional<WallTime::duration> m_platformTimeOffset;

    UsageFigures m_openCounts;
    // Empty until the platform's time is known; never goes back.
    std::optional<UsageWindow> m_openWindow;
    // Oldest first.
    std::deque<BacklogEntry> m_backlog;
    std::optional<Pending> m_pending;
    bool m_outstanding{false};
    // The latest transaction failed; open figures are kept together until the window ends.
    bool m_lastFailed{false};
    bool m_stopping{false};
    std::uint64_t m_lastNumber{0};
    std::uint64_t m_lastId{0};
    SteadyTime m_nextFlush{};
    SteadyTime m_notBefore{};
    std::uint64_t m_droppedSections{0};
};

} // namespace guavafield
