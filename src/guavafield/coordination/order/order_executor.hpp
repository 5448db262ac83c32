// Executes the planned orders of one data centre under its lease: writes the order row, sends the order and records the result.
#pragma once

#include <guavafield/coordination/lease/lease_client.hpp>
#include <guavafield/coordination/order/order_record.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief Settings of an order executor. */
struct OrderExecutorSettings
{
    DataCentreId dataCentre;
    LeaseHolder self;
    WeightLimit weights;
    Milliseconds retryEvery{2'000};
};

/*! @brief Send an order to its receiver; answer with onSent(). */
struct SendOrderAction
{
    std::string id;
    Order order;
    Fence fence{0};
};

/*! @brief Result of sending an order. */
enum class OrderOutcome : std::uint8_t {
    Done,
    // Known not to have been carried out.
    Failed,
    // The receiver has seen a newer fencing token.
    Fenced,
    // The reply was lost; the same order is sent again.
    Unknown,
};

using OrderAction = std::variant<TransactAction, ReadAction, ScanAction, SendOrderAction>;

/*!
 * @brief State machine that executes orders one at a time.
 *
 * A new lease holder first claims the data centre's head row, so that earlier holders can no longer write orders, and then finishes the
 * orders that earlier holders left without a result. At most one action is outstanding. Not thread-safe.
 */
class OrderExecutor
{
public:
    /*! @param keeper Keeper of the lease orders/<data centre>; must outlive the executor. */
    OrderExecutor(OrderExecutorSettings settings, OrderCodec codec, LeaseClient &keeper);

    /*! @brief Replaces the planned orders that have not been started. */
    void setPlan(std::vector<Order> plan);
    /*! @brief Returns whether all orders have a result, so that a new plan takes their effect into account. */
    [[nodiscard]] bool idle() const noexcept;

    /*! @brief Returns the next action, if one is due; call several times a second and after each reply. */
    [[nodiscard]] std::optional<OrderAction> step(SteadyTime now, WallTime platformTime);
    void onTransaction(const TransactionReply &reply, SteadyTime now);
    /*! @brief Handles the reply to a read or a scan. */
    void onRows(const ReadReply &reply, SteadyTime now);
    void onSent(OrderOutcome outcome, SteadyTime now);

private:
    enum class Stage : std::uint8_t {
        ReadHead,
        ClaimHead,
        // Scans for orders that earlier holders left without a result.
        Recover,
        Idle,
        ReadBucket,
        TakeToken,
        // Writes the order's row.
        Record,
        Send,
        // Writes the order's result.
        Finish,
    };

    [[nodiscard]] std::optional<OrderAction> actionFor(Stage stage, SteadyTime now, WallTime platformTime);
    [[nodiscard]] std::optional<OrderAction> startNext();
    [[nodiscard]] std::optional<OrderAction> takeToken(WallTime platformTime, SteadyTime now);
    [[nodiscard]] std::optional<OrderAction> send(SteadyTime now);
    [[nodiscard]] TransactAction writeOrder();
    [[nodiscard]] RowKey orderKey(const std::string &id) const;
    [[nodiscard]] std::string uniqueId();
    void onCommitted(const TransactionCommitted &committed);
    void onConflict(const TransactionConflict &conflict, SteadyTime now);
    void finishOrder();

    OrderExecutorSettings m_settings;
    OrderCodec m_codec;
    LeaseClient &m_keeper;
    RowKey m_headKey;
    RowKey m_bucketKey{"weights", "bucket"};

    Stage m_stage{Stage::ReadHead};
    bool m_actionOutstanding{false};
    SteadyTime m_notBefore{};
    Fence m_fence{0};
    RowVersion m_headVersion{0};

    std::deque<Order> m_planned;
    // Orders that earlier holders left without a result.
    std::deque<std::pair<OrderRecord, RowVersion>> m_recovered;
    std::string m_recoverFrom;
    std::optional<OrderRecord> m_current;
    RowVersion m_orderVersion{0};
    std::optional<WeightBucket> m_bucket;
    RowVersion m_bucketVersion{0};
    std::uint64_t m_lastId{0};
};

} // namespace guavafield
