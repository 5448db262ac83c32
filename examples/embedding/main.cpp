// Takes a lease through a table kept in memory and sends two orders with its fencing token, on a manual clock.
#include <guavafield/coordination/lease/lease_client.hpp>
#include <guavafield/state/clock.hpp>

#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <utility>

namespace {

using namespace guavafield;

// The embedder's table service: one process, no failures.
class Table
{
public:
    [[nodiscard]] TransactionReply transact(const Transaction &transaction)
    {
        for (const auto &it : transaction.conditions) {
            if (const auto &row = m_rows[it.key]; row.version != it.version) {
                return TransactionConflict{0, row};
            }
        }
        TransactionCommitted reply;
        for (const auto &it : transaction.writes) {
            auto &row = m_rows[it.key];
            row = Row{it.key, row.version + 1, it.value.value_or("")};
            reply.versions.push_back(row.version);
        }
        return reply;
    }

    [[nodiscard]] ReadReply read(const RowKey &key)
    {
        auto &row = m_rows[key];
        row.key = key;
        return ReadRows{{row}, false};
    }

private:
    std::map<RowKey, Row> m_rows;
};

// The embedder's encoding of the lease row; this process is the only one that reads it.
std::map<std::string, LeaseRecord> records;

std::string encode(const LeaseRecord &record)
{
    auto text = std::to_string(records.size());
    records[text] = record;
    return text;
}

std::optional<LeaseRecord> decode(std::string_view text)
{
    const auto it = records.find(std::string(text));
    return it == records.end() ? std::nullopt : std::optional(it->second);
}

void perform(LeaseClient &keeper, Table &table, std::vector<LeaseAction> first, SteadyTime now)
{
    std::deque<LeaseAction> actions(first.begin(), first.end());
    const auto append = [&](std::vector<LeaseAction> more) { actions.insert(actions.end(), more.begin(), more.end()); };
    while (!actions.empty()) {
        const auto action = std::move(actions.front());
        actions.pop_front();
        std::visit(Overloaded{
                       [&](const TransactAction &it) { append(keeper.onTransaction(table.transact(it.transaction), now)); },
                       [&](const ReadAction &it) { append(keeper.onRead(table.read(it.keys.front()), now)); },
                       [&](const ListHostsAction &) { append(keeper.onHosts({}, now)); },
                       [&](const LeaseChanged &it) { std::cout << (it.held ? "lease taken" : "lease lost") << ", fence " << it.fence << "\n"; },
                   },
                   action);
    }
}

} // namespace

int main()
{
    ManualClock clock;
    clock.advance(std::chrono::seconds(1));
    Table table;
    LeaseSettings settings;
    settings.name = "orders/evora";
    settings.self = {"host-1", 1};
    LeaseClient keeper(settings, LeaseCodec{encode, decode});
    for (int n = 0; n < 20; ++n) {
        perform(keeper, table, keeper.step(clock.now()), clock.now());
        clock.advance(std::chrono::milliseconds(200));
    }
    for (const auto *order : {"load small", "load large"}) {
        if (const auto fence = keeper.beginSend(SendRule::SoleHolder, clock.now())) {
            std::cout << "order '" << order << "' with fence " << *fence << "\n";
            keeper.endSend();
        }
    }
    return keeper.fence(clock.now()) ? 0 : 1;
}
