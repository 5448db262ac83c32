// Acquires a lease through an in-memory table and sends two orders with its fencing token, driven by a manual clock.
#include <guavafield/coordination/lease/lease_client.hpp>
#include <guavafield/state/clock.hpp>

#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <utility>

namespace {

using namespace guavafield;

// Stands for the application's table service: a single process, and no operation fails.
class InMemoryTable
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

// Stands for the application's encoding of the lease row. The text is only a key into this map, which suffices because no other process reads it.
std::map<std::string, LeaseRecord> leaseRecords;

std::string encode(const LeaseRecord &record)
{
    auto text = std::to_string(leaseRecords.size());
    leaseRecords[text] = record;
    return text;
}

std::optional<LeaseRecord> decode(std::string_view text)
{
    const auto it = leaseRecords.find(std::string(text));
    return it == leaseRecords.end() ? std::nullopt : std::optional(it->second);
}

void performActions(LeaseClient &leaseClient, InMemoryTable &table, std::vector<LeaseAction> initialActions, SteadyTime now)
{
    std::deque<LeaseAction> actions(initialActions.begin(), initialActions.end());
    const auto append = [&](std::vector<LeaseAction> newActions) { actions.insert(actions.end(), newActions.begin(), newActions.end()); };
    while (!actions.empty()) {
        const auto action = std::move(actions.front());
        actions.pop_front();
        std::visit(Overloaded{
                       [&](const TransactAction &it) { append(leaseClient.onTransaction(table.transact(it.transaction), now)); },
                       [&](const ReadAction &it) { append(leaseClient.onRead(table.read(it.keys.front()), now)); },
                       [&](const ListHostsAction &) { append(leaseClient.onHosts({}, now)); },
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
    InMemoryTable table;
    LeaseSettings settings;
    settings.name = "orders/evora";
    settings.self = {"host-1", 1};
    LeaseClient leaseClient(settings, LeaseCodec{encode, decode});
    for (int n = 0; n < 20; ++n) {
        performActions(leaseClient, table, leaseClient.step(clock.now()), clock.now());
        clock.advance(std::chrono::milliseconds(200));
    }
    for (const auto *order : {"load small", "load large"}) {
        if (const auto fence = leaseClient.beginSend(SendRule::SoleHolder, clock.now())) {
            std::cout << "order '" << order << "' with fence " << *fence << "\n";
            leaseClient.endSend();
        }
    }
    return leaseClient.fence(clock.now()) ? 0 : 1;
}
