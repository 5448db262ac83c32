// State machine that records, sends and finishes orders.
#include <guavafield/coordination/order/order_executor.hpp>

#include <utility>

namespace guavafield {

OrderExecutor::OrderExecutor(OrderExecutorSettings settings, OrderCodec codec, LeaseClient &keeper)
    : m_settings(std::move(settings)), m_codec(codec), m_keeper(keeper), m_headKey{"order-head", m_settings.dataCentre}
{
}

void OrderExecutor::setPlan(std::vector<Order> plan)
{
    m_planned.assign(plan.begin(), plan.end());
}

bool OrderExecutor::idle() const noexcept
{
    return m_stage == Stage::Idle && m_planned.empty() && m_recovered.empty() && !m_current;
}

std::optional<OrderAction> OrderExecutor::step(SteadyTime now, WallTime platformTime)
{
    const auto fence = m_keeper.fence(now);
    if (m_actionOutstanding || !fence) {
        return std::nullopt;
    }
    if (*fence != m_fence) {
        m_fence = *fence;
        m_stage = Stage::ReadHead;
        m_current.reset();
        m_recovered.clear();
        m_recoverFrom = m_settings.dataCentre + "/";
    }
    if (now < m_notBefore) {
        return std::nullopt;
    }
    auto action = actionFor(m_stage, now, platformTime);
    m_actionOutstanding = action.has_value();
    return action;
}

void OrderExecutor::onTransaction(const TransactionReply &reply, SteadyTime now)
{
    m_actionOutstanding = false;
    const auto retry = [&] { m_notBefore = now + m_settings.retryEvery; };
    std::visit(Overloaded{
                   [&](const TransactionCommitted &committed) { onCommitted(committed); },
                   [&](const TransactionConflict &conflict) { onConflict(conflict, now); },
                   // Repeats the same write; if the first one took effect, the repeat fails with a conflict, which onConflict() resolves.
                   [&](const auto &) { retry(); },
               },
               reply);
}

void OrderExecutor::onRows(const ReadReply &reply, SteadyTime now)
{
    m_actionOutstanding = false;
    const auto *rows = std::get_if<ReadRows>(&reply);
    if (rows == nullptr) {
        m_notBefore = now + m_settings.retryEvery;
    } else if (m_stage == Stage::ReadHead) {
        m_headVersion = rows->rows.at(0).version;
        m_stage = Stage::ClaimHead;
    } else if (m_stage == Stage::ReadBucket) {
        m_bucketVersion = rows->rows.at(0).version;
        m_bucket = m_bucketVersion == 0 ? std::nullopt : m_codec.bucket.decode(rows->rows[0].value);
        m_stage = Stage::TakeToken;
    } else {
        for (const auto &it : rows->rows) {
            const auto record = m_codec.order.decode(it.value);
            if (record && record->state == OrderState::Issued) {
                m_recovered.emplace_back(*record, it.version);
            }
        }
        m_recoverFrom = rows->rows.empty() ? m_recoverFrom : rows->rows.back().key.key + '\0';
        m_stage = rows->more ? Stage::Recover : Stage::Idle;
    }
}

void OrderExecutor::onSent(OrderOutcome outcome, SteadyTime now)
{
    m_actionOutstanding = false;
    m_keeper.endSend();
    if (!m_current || outcome == OrderOutcome::Unknown) {
        m_notBefore = now + m_settings.retryEvery;
        return;
    }
    m_current->state = outcome == OrderOutcome::Done ? OrderState::Done : OrderState::Failed;
    m_stage = Stage::Finish;
}

std::optional<OrderAction> OrderExecutor::actionFor(Stage stage, SteadyTime now, WallTime platformTime)
{
    switch (stage) {
    case Stage::ReadHead:
        return ReadAction{{m_headKey}};
    case Stage::ClaimHead: {
        const auto id = uniqueId();
        return TransactAction{{id, {{m_headKey, m_headVersion}}, {{m_headKey, m_codec.head.encode({m_fence, id})}}}};
    }
    case Stage::Recover:
        return ScanAction{{"order", m_recoverFrom, m_settings.dataCentre + "0", 256}};
    case Stage::Idle:
        return startNext();
    case Stage::ReadBucket:
        return ReadAction{{m_bucketKey}};
    case Stage::TakeToken:
        return takeToken(platformTime, now);
    case Stage::Record:
    case Stage::Finish:
        return writeOrder();
    case Stage::Send:
        return send(now);
    }
    return std::nullopt;
}

std::optional<OrderAction> OrderExecutor::startNext()
{
    if (!m_recovered.empty()) {
        m_current = m_recovered.front().first;
        m_orderVersion = m_recovered.front().second;
        m_recovered.pop_front();
        m_current->fence = m_fence;
        m_stage = Stage::Record;
        return writeOrder();
    }
    if (m_planned.empty()) {
        return std::nullopt;
    }
    m_current = OrderRecord{uniqueId(), m_planned.front(), m_fence, OrderState::Issued};
    m_orderVersion = 0;
    m_planned.pop_front();
    const auto *model = std::get_if<ModelOrder>(&m_current->order.kind);
    if (model != nullptr && model->load) {
        m_stage = Stage::ReadBucket;
        return ReadAction{{m_bucketKey}};
    }
    m_stage = Stage::Record;
    return writeOrder();
}

std::optional<OrderAction> OrderExecutor::takeToken(WallTime platformTime, SteadyTime now)
{
    auto next = takeWeightToken(m_bucket, m_settings.weights, platformTime);
    if (!next) {
        m_stage = Stage::ReadBucket;
        m_notBefore = now + m_settings.retryEvery;
        return std::nullopt;
    }
    next->id = uniqueId();
    return TransactAction{{next->id, {{m_bucketKey, m_bucketVersion}}, {{m_bucketKey, m_codec.bucket.encode(*next)}}}};
}

std::optional<OrderAction> OrderExecutor::send(SteadyTime now)
{
    const auto rule = m_current->order.checksFence ? SendRule::Holder : SendRule::SoleHolder;
    const auto fence = m_keeper.beginSend(rule, now);
    if (!fence) {
        return std::nullopt;
    }
    return SendOrderAction{m_current->id, m_current->order, *fence};
}

TransactAction OrderExecutor::writeOrder()
{
    const auto key = orderKey(m_current->id);
    return {{uniqueId(), {{m_headKey, m_headVersion}, {key, m_orderVersion}}, {{key, m_codec.order.encode(*m_current)}}}};
}

RowKey OrderExecutor::orderKey(const std::string &id) const
{
    return {"order", m_settings.dataCentre + "/" + id};
}

std::string OrderExecutor::uniqueId()
{
    return m_settings.self.host + "-" + std::to_string(m_settings.self.incarnation) + "-" + std::to_string(++m_lastId);
}

void OrderExecutor::onCommitted(const TransactionCommitted &committed)
{
    const auto version = committed.versions.at(0);
    if (m_stage == Stage::ClaimHead) {
        m_headVersion = version;
        m_stage = Stage::Recover;
    } else if (m_stage == Stage::TakeToken) {
        m_stage = Stage::Record;
    } else if (m_stage == Stage::Record) {
        m_orderVersion = version;
        m_stage = Stage::Send;
    } else {
        finishOrder();
    }
}

void OrderExecutor::onConflict(const TransactionConflict &conflict, SteadyTime now)
{
    const auto &row = conflict.current;
    if (m_stage == Stage::ClaimHead) {
        m_headVersion = row.version;
        const auto head = m_codec.head.decode(row.value);
        // If a newer holder has claimed the head, waits for the keeper to notice. Otherwise claims again;
        // this includes an own claim whose reply was lost.
        m_notBefore = head && head->fence > m_fence ? now + m_settings.retryEvery : now;
    } else if (m_stage == Stage::TakeToken) {
        m_bucketVersion = row.version;
        m_bucket = row.version == 0 ? std::nullopt : m_codec.bucket.decode(row.value);
    } else if (row.key == m_headKey) {
        // Another holder has claimed the head. Starts over, under a new fencing token if the lease is acquired again.
        m_current.reset();
        m_stage = Stage::ReadHead;
        m_notBefore = now + m_settings.retryEvery;
    } else if (m_stage == Stage::Record) {
        // Only this process writes the row while it holds the head, so an earlier attempt took effect.
        m_orderVersion = row.version;
        m_stage = Stage::Send;
    } else {
        finishOrder();
    }
}

void OrderExecutor::finishOrder()
{
    m_current.reset();
    m_stage = Stage::Idle;
}

} // namespace guavafield
