// Counts a host's own usage and flushes it to the table service.
#pragma once

#include <guavafield/coordination/usage/usage_record.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace guavafield {

/*! @brief Settings of a UsageMeter. */
struct UsageMeterSettings
{
    LeaseHolder self;
    std::chrono::seconds flushEvery{15};
    // Between 0 and flushEvery; distributes the flushes of the hosts over the interval.
    Milliseconds flushPhase{0};
    Milliseconds retryEvery{5'000};
    // Minimum time between two rows; after an outage a host may have to flush up to 288 windows.
    Milliseconds rowInterval{1'000};
    // Figures older than this are dropped. Must be shorter than the sealer's UsageSealerSettings::doneRetention.
    std::chrono::hours retention{24};
};

/*!
 * @brief Counts usage by window and flushes new counts as rows, each inserted exactly once.
 *
 * A row is inserted only if it is absent and its window has not been closed. Figures of a closed window are written to the open
 * window as a correction. At most one transaction is outstanding. Not safe for several threads.
 */
class UsageMeter
{
public:
    UsageMeter(UsageMeterSettings settings, UsageCodec codec);

    /*! @brief Updates the platform's time of day; nothing is flushed before the first call. */
    void setPlatformTime(WallTime time, SteadyTime now);
    /*! @brief Counts usage in the current window. */
    void count(const UsageDimensions &dimensions, const UsageCounts &counts, SteadyTime now);

    /*! @brief Returns the next transaction, if one is due; call every second and after each reply. */
    [[nodiscard]] std::optional<TransactAction> step(SteadyTime now);
    void onTransaction(const TransactionReply &reply, SteadyTime now);

    /*! @brief Flushes without waiting for the interval; drained() returns whether everything is stored. */
    void stop() noexcept;
    [[nodiscard]] bool drained() const noexcept;

    /*! @brief Returns the number of sections that were dropped because they could not be flushed in time. */
    [[nodiscard]] std::uint64_t droppedSections() const noexcept;
    /*! @brief Returns the size in bytes of the figures that wait to be flushed. */
    [[nodiscard]] std::size_t bufferedBytes() const noexcept;

private:
    struct BacklogEntry
    {
        UsageSection section;
        // The window of the section has been closed; the figures are flushed as a correction.
        bool windowClosed{false};
    };

    struct Pending
    {
        BacklogEntry entry;
        RowKey key;
        // The key without the row number.
        RowKey doneKey;
        UsageWindow rowWindow{0};
        std::uint64_t number{0};
        // The reply to an earlier attempt was lost, so the row may have been inserted.
        bool mayHaveCommitted{false};
        // The window is closed; the next transaction checks whether the row was inserted before that.
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
    // The platform's time of day minus the steady time.
    std::optional<WallTime::duration> m_platformTimeOffset;

    UsageFigures m_openCounts;
    // Empty until the platform's time is known; never decreases.
    std::optional<UsageWindow> m_openWindow;
    // Oldest first.
    std::deque<BacklogEntry> m_backlog;
    std::optional<Pending> m_pending;
    bool m_outstanding{false};
    // The latest transaction failed; until the window ends, open counts stay in one section to limit memory.
    bool m_lastFailed{false};
    bool m_stopping{false};
    std::uint64_t m_lastNumber{0};
    std::uint64_t m_lastId{0};
    SteadyTime m_nextFlush{};
    SteadyTime m_notBefore{};
    std::uint64_t m_droppedSections{0};
};

} // namespace guavafield
