// Closes, aggregates, seals and reports usage windows under the lease "usage".
#pragma once

#include <guavafield/coordination/lease/lease_client.hpp>
#include <guavafield/coordination/usage/usage_record.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief Settings of a UsageSealer. */
struct UsageSealerSettings
{
    LeaseHolder self;
    // Delay after the end of a window before it is closed, for the last flushes.
    std::chrono::seconds closeAfter{45};
    // Delay before closing after the store was unavailable or the lease changed hands, for the hosts to flush. Later rows become corrections.
    std::chrono::seconds closeAfterOutage{60};
    std::chrono::seconds pollEvery{15};
    Milliseconds retryEvery{5'000};
    std::size_t scanRows{256};
    // How long usage-done rows are kept. Must be longer than UsageMeterSettings::retention.
    std::chrono::hours doneRetention{48};
};

/*! @brief Store the figures of a window as an object. */
struct StoreFiguresAction
{
    std::string name;
    std::string text;
};

/*! @brief Fetch the figures of a window. */
struct FetchFiguresAction
{
    std::string name;
};

/*! @brief Report a window to the platform; the text is the array of figures. */
struct ReportUsageAction
{
    UsageWindow window{0};
    std::string digest;
    std::string figures;
    LeaseHolder reporter;
};

using UsageAction = std::variant<TransactAction, ReadAction, ScanAction, StoreFiguresAction, FetchFiguresAction, ReportUsageAction>;

/*!
 * @brief Closes, seals and reports usage windows one at a time.
 *
 * The window's seal row is authoritative: every write is conditional on its version, and after any failure the row is read again.
 * At most one action is outstanding; each gets one reply. Not safe for several threads.
 */
class UsageSealer
{
public:
    /*!
     * @param settings The settings.
     * @param codec The encodings.
     * @param lease Client of the lease "usage"; outlives the sealer.
     */
    UsageSealer(UsageSealerSettings settings, UsageCodec codec, LeaseClient &lease);

    /*! @brief Returns the next action, if one is due; call every second and after each reply. */
    [[nodiscard]] std::optional<UsageAction> step(SteadyTime now, WallTime platformTime);
    void onTransaction(const TransactionReply &reply, SteadyTime now);
    /*! @brief Takes the reply to a read or a scan. */
    void onRows(const ReadReply &reply, SteadyTime now);
    void onStored(bool stored, SteadyTime now);
    /*! @brief Takes the text of an object; empty if it could not be fetched. */
    void onFetched(const std::optional<std::string> &text, SteadyTime now);
    /*! @brief Takes whether the platform accepted a report; a lost answer counts as not accepted. */
    void onReported(bool accepted, SteadyTime now);

    /*! @brief Returns the number of windows that this process has sealed. */
    [[nodiscard]] std::uint64_t sealed() const noexcept;

private:
    enum class Stage : std::uint8_t {
        // Finds the oldest window with rows.
        Discover,
        // Reads the window's seal row.
        Inspect,
        // Writes the state closing.
        Close,
        // Aggregates the rows.
        Collect,
        Store,
        // Writes digest and reporter.
        Seal,
        Fetch,
        Report,
        // Writes the state reported.
        Finish,
        // Replaces reported rows by one usage-done row per host.
        Clean,
        CleanWrite,
        // Deletes expired usage-done rows.
        Purge,
        PurgeWrite,
    };

    [[nodiscard]] std::optional<UsageAction> actionFor(Stage stage, SteadyTime now);
    [[nodiscard]] std::optional<UsageAction> beginReport(SteadyTime now);
    [[nodiscard]] TransactAction writeSeal(SealState state);
    [[nodiscard]] ScanAction scanWindow(std::string from) const;
    [[nodiscard]] std::string uniqueId();
    void onDiscovered(const ReadRows &rows);
    void onSealRow(const Row &row, SteadyTime now);
    void onCollected(const ReadRows &rows, SteadyTime now);
    void onRowsToClean(const ReadRows &rows);
    void onRowsToPurge(const ReadRows &rows, SteadyTime now);
    [[nodiscard]] bool addRow(const Row &row);
    void skipWindow();
    void waitForPoll(SteadyTime now);
    void retry(SteadyTime now);

    UsageSealerSettings m_settings;
    UsageCodec m_codec;
    LeaseClient &m_lease;

    Stage m_stage{Stage::Discover};
    bool m_outstanding{false};
    SteadyTime m_notBefore{};
    WallTime m_platformTime{};
    // Fencing token of the current tenure of the lease.
    Fence m_fence{0};
    SteadyTime m_closeNotBefore{};

    // State of the window in progress.
    UsageWindow m_window{0};
    std::string m_scanFrom;
    SealRecord m_seal;
    SealRecord m_pendingSeal;
    RowVersion m_version{0};
    WindowFigures m_figures;
    std::string m_reportText;
    Transaction m_transaction;
    std::uint64_t m_lastId{0};
    std::uint64_t m_sealed{0};
};

} // namespace guavafield
