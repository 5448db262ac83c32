// Simulated environment for the lease tests: hosts with drifting clocks, one table and upstreams that ignore or check fencing tokens.
#pragma once

#include <guavafield/coordination/lease/lease_client.hpp>
#include <guavafield/protocol/records/lease_codec.hpp>

#include <support/memory_table.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace guavafield::test {

/*! @brief Hosts that compete for one lease; every event is chosen by the test. */
class LeaseHarness
{
public:
    explicit LeaseHarness(const std::vector<double> &clockRates)
    {
        for (std::size_t n = 0; n < clockRates.size(); ++n) {
            m_hosts.emplace_back(n, clockRates[n]);
        }
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_hosts.size();
    }

    void advance(Milliseconds time)
    {
        for (auto &it : m_hosts) {
            it.now += std::chrono::duration_cast<SteadyTime::duration>(time * it.rate);
        }
        checkSingleHolder();
    }

    void step(std::size_t n)
    {
        auto &host = m_hosts[n];
        perform(host, host.client.step(host.now));
    }

    /*! @brief The table service carries out the host's operation. */
    void apply(std::size_t n)
    {
        auto &host = m_hosts[n];
        if (!host.operation || host.transactionReply || host.readReply) {
            return;
        }
        if (const auto *transact = std::get_if<TransactAction>(&*host.operation)) {
            host.transactionReply = table.transact(transact->transaction);
        } else {
            host.readReply = table.read(std::get<ReadAction>(*host.operation).keys);
        }
    }

    /*! @brief The host receives the reply, if the operation has been carried out. */
    void deliver(std::size_t n)
    {
        auto &host = m_hosts[n];
        if (host.transactionReply) {
            const auto reply = *std::exchange(host.transactionReply, std::nullopt);
            host.operation.reset();
            perform(host, host.client.onTransaction(reply, host.now));
        } else if (host.readReply) {
            const auto reply = *std::exchange(host.readReply, std::nullopt);
            host.operation.reset();
            perform(host, host.client.onRead(reply, host.now));
        }
    }

    /*! @brief The reply is lost; a transaction that has not been carried out may still be, see applyDelayed(). */
    void loseReply(std::size_t n)
    {
        auto &host = m_hosts[n];
        if (!host.operation) {
            return;
        }
        const auto *transact = std::get_if<TransactAction>(&*host.operation);
        if (transact == nullptr) {
            host.readReply = ReadFailed{};
        } else {
            if (!host.transactionReply) {
                m_delayed.push_back(transact->transaction);
            }
            host.transactionReply = TransactionUnknown{};
        }
        deliver(n);
    }

    void applyDelayed()
    {
        if (!m_delayed.empty()) {
            static_cast<void>(table.transact(m_delayed.front()));
            m_delayed.pop_front();
        }
    }

    /*! @brief Runs the host until it has no outstanding operation. */
    void runUntilIdle(std::size_t n)
    {
        step(n);
        for (int round = 0; round < 8 && m_hosts[n].operation; ++round) {
            apply(n);
            deliver(n);
        }
    }

    /*! @brief The check that precedes a send; the send itself is a later event. */
    void check(std::size_t n, SendRule rule)
    {
        auto &host = m_hosts[n];
        if (!host.sending) {
            host.sending = host.client.beginSend(rule, host.now);
            host.rule = rule;
        }
    }

    void send(std::size_t n)
    {
        auto &host = m_hosts[n];
        if (!host.sending) {
            return;
        }
        auto &newest = host.rule == SendRule::Holder ? m_newestChecked : m_newestUnchecked;
        if (host.rule == SendRule::SoleHolder && *host.sending < newest) {
            faults.push_back("an earlier holder sent after a later one");
        }
        newest = std::max(newest, *host.sending);
        ++sent;
        host.client.endSend();
        host.sending.reset();
    }

    void stop(std::size_t n)
    {
        m_hosts[n].client.stop();
    }

    /*! @brief The host's process ends permanently and the platform lists it as gone. */
    void die(std::size_t n)
    {
        auto &host = m_hosts[n];
        host.dead = true;
        host.operation.reset();
        host.sending.reset();
    }

    [[nodiscard]] bool dead(std::size_t n) const
    {
        return m_hosts[n].dead;
    }

    [[nodiscard]] LeaseClient &client(std::size_t n)
    {
        return m_hosts[n].client;
    }

    [[nodiscard]] SteadyTime now(std::size_t n) const
    {
        return m_hosts[n].now;
    }

    [[nodiscard]] static LeaseHolder holder(std::size_t n)
    {
        return {"host-" + std::to_string(n), 1};
    }

    MemoryTable table;
    std::vector<std::string> faults;
    std::size_t sent{0};

private:
    struct Host
    {
        Host(std::size_t n, double clockRate) : client(LeaseSettings{"orders/x", holder(n)}, leaseCodec()), rate(clockRate) { }

        LeaseClient client;
        double rate;
        SteadyTime now{std::chrono::hours{1}};
        std::optional<LeaseAction> operation;
        std::optional<TransactionReply> transactionReply;
        std::optional<ReadReply> readReply;
        // Fencing token of a send that has been checked and not yet sent.
        std::optional<Fence> sending;
        SendRule rule{SendRule::Holder};
        bool dead{false};
    };

    void perform(Host &host, std::vector<LeaseAction> actions)
    {
        for (auto &it : actions) {
            if (std::holds_alternative<ListHostsAction>(it)) {
                std::vector<ListedHost> listed;
                for (std::size_t n = 0; n < m_hosts.size(); ++n) {
                    listed.push_back({holder(n).host, 1, m_hosts[n].dead ? HostState::Gone : HostState::Live});
                }
                perform(host, host.client.onHosts(listed, host.now));
            } else if (!std::holds_alternative<LeaseChanged>(it)) {
                host.operation = std::move(it);
            }
        }
        checkSingleHolder();
    }

    void checkSingleHolder()
    {
        const auto holders = std::ranges::count_if(m_hosts, [](const Host &it) { return !it.dead && it.client.fence(it.now).has_value(); });
        if (holders > 1) {
            faults.push_back("two hosts believe that they hold the lease");
        }
    }

    std::deque<Host> m_hosts;
    std::deque<Transaction> m_delayed;
    Fence m_newestChecked{0};
    Fence m_newestUnchecked{0};
};

} // namespace guavafield::test
