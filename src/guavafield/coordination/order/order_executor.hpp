// Carries out planned orders of one data centre under its lease: a row first, then the send, then the result.
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

/*! @brief What an executor is created with. */
struct OrderExecutorSettings
{
    DataCentreId dataCentre;
    LeaseHolder self;
    WeightLimit weights;
    Milliseconds retryEvery{2'000};
};

/*! @brief Send an order to its receiver and report what came of it. */
struct SendOrderAction
{
    std::string id;
    Order order;
    Fence fence{0};
};

enum class OrderOutcome : std::uint8_t {
    Done,
    // Definitely not carried out.
    Failed,
    // The receiver has seen a newer fencing token.
    Fenced,
    // The answer was lost; the same order is sent again.
    Unknown,
};

using OrderAction = std::variant<TransactAction, ReadAction, ScanAction, SendOrderAction>;

/*!
 * @brief Sends one order after another.
 *
 * A new holder first claims the data centre's head row, so that no earlier holder can write orders any more, and then finishes those that
 * an earlier holder has left without a result. At most one action is outstanding. Not safe for several threads.
 */
class OrderExecutor
{
public:
    /*! @param keeper Keeper of the lease orders/<data centre>; outlives the executor. */
    OrderExecutor(OrderExecutorSettings settings, OrderCodec codec, LeaseClient &keeper);

    /*! @brief Takes a new plan, in place of what has not been started. */
    void setPlan(std::vector<Order> plan);
    /*! @brief Returns whether all orders have a result, so that a new plan sees their effect. */
    [[nodiscard]] bool idle() const noexcept;

    /*! @brief Returns the next action, if one is due; call several times a second and after each reply. */
    [[nodiscard]] std::optional<OrderAction> step(SteadyTime now, WallTime platformTime);
    void onTransaction(const TransactionReply &reply, SteadyTime now);
    /*! @brief Reply to a read or a scan. */
    void onRows(const ReadReply &reply, SteadyTime now);
    void onSent(OrderOutcome outcome, SteadyTime now);

private:
    enum class Stage : std::uint8_t {
        ReadHead,
        ClaimHead,
        // Looks for orders of earlier holders without a result.
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
    bool m_outstanding{false};
    SteadyTime m_notBefore{};
    Fence m_fence{0};
    RowVersion m_headVersion{0};

    std::deque<Order> m_plan;
    // Of earlier holders, without a result.
    std::deque<std::pair<OrderRecord, RowVersion>> m_recovered;
    std::string m_recoverFrom;
    std::optional<OrderRecord> m_current;
    RowVersion m_version{0};
    std::optional<WeightBucket> m_bucket;
    RowVersion m_bucketVersion{0};
    std::uint64_t m_lastId{0};
};

} // namespace guavafield
