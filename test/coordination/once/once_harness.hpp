// Simulated environment for the at-most-once tests: hosts that pause and crash, one table, and one upstream that counts its calls.
#pragma once

#include <guavafield/coordination/once/once_call_tracker.hpp>
#include <guavafield/protocol/records/once_codec.hpp>

#include <support/memory_table.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavafield::test {

/*! @brief A request of a caller and its outcome. */
struct OnceRequest
{
    std::size_t host{0};
    std::string key;
    OnceCallId call{0};
    std::optional<OnceReply> reply;
    // Number of times the request reached the upstream.
    std::size_t runs{0};
};

/*! @brief Hosts that receive calls; every event is chosen by the test. */
class OnceHarness
{
public:
    explicit OnceHarness(std::size_t hosts)
    {
        for (std::size_t n = 0; n < hosts; ++n) {
            OnceSettings settings;
            settings.host = "host-" + std::to_string(n);
            m_hosts.emplace_back(OnceCallTracker(settings, onceCodec()));
        }
    }

    void begin(std::size_t n, const std::string &key, std::uint8_t body = 0)
    {
        auto &host = m_hosts[n];
        if (host.dead) {
            return;
        }
        OnceIdentity call{"team", key, {}};
        call.bodyDigest[0] = body;
        requests.push_back({n, key, host.tracker.begin(call, m_now), {}, 0});
    }

    void advance(Milliseconds time)
    {
        m_now += time;
        m_wall += time;
    }

    void step(std::size_t n)
    {
        auto &host = m_hosts[n];
        if (host.dead) {
            return;
        }
        host.tracker.setPlatformTime(m_wall);
        for (auto &it : host.tracker.step(m_now)) {
            perform(n, std::move(it));
        }
    }

    /*! @brief The table service carries out the host's oldest operation; the reply arrives at once, or is lost. */
    void serve(std::size_t n, bool lose)
    {
        auto &host = m_hosts[n];
        if (host.transactions.empty()) {
            serveRead(host, lose);
            return;
        }
        const auto action = std::move(host.transactions.front());
        host.transactions.pop_front();
        const auto reply = table.transact(action.transaction);
        reportTo(host, action.id, lose ? TransactionReply{TransactionUnknown{}} : reply);
    }

    /*! @brief The host gives up on its oldest transaction, which may still take effect, see applyDelayed(). */
    void timeOut(std::size_t n)
    {
        auto &host = m_hosts[n];
        if (!host.transactions.empty()) {
            m_delayed.push_back(host.transactions.front().transaction);
            const auto id = host.transactions.front().id;
            host.transactions.pop_front();
            reportTo(host, id, TransactionUnknown{});
        }
    }

    void applyDelayed()
    {
        if (!m_delayed.empty()) {
            static_cast<void>(table.transact(m_delayed.front()));
            m_delayed.pop_front();
        }
    }

    enum class Upstream {
        Answers,
        // Runs the call; the answer is lost.
        LosesAnswer,
        // Does not receive the call.
        Unreachable,
    };

    /*! @brief The host sends its oldest call; until then it is paused between insert and send. */
    void run(std::size_t n, Upstream upstream)
    {
        auto &host = m_hosts[n];
        if (host.dead || host.runs.empty()) {
            return;
        }
        const auto call = host.runs.front();
        host.runs.pop_front();
        auto &request = find(n, call);
        if (upstream == Upstream::Unreachable) {
            host.tracker.onNotSent(call, m_now);
            return;
        }
        ++request.runs;
        if (++keyRuns[request.key] > 1) {
            faults.push_back("the upstream ran " + request.key + " twice");
        }
        if (upstream == Upstream::LosesAnswer) {
            host.tracker.onAnswerLost(call);
        } else {
            host.tracker.onAnswered(call, answerFor(request.key), m_now);
        }
    }

    void die(std::size_t n)
    {
        m_hosts[n].dead = true;
        for (auto &it : m_hosts[n].transactions) {
            m_delayed.push_back(std::move(it.transaction));
        }
        m_hosts[n].transactions.clear();
    }

    /*! @brief Runs all hosts with an available store until all calls are final, then checks the invariants. */
    void drain()
    {
        table.setOutage(false);
        table.freshReads();
        while (!m_delayed.empty()) {
            applyDelayed();
        }
        for (int round = 0; round < 150; ++round) {
            advance(Milliseconds{200});
            for (std::size_t n = 0; n < m_hosts.size(); ++n) {
                runUntilIdle(n);
            }
        }
        for (const auto &it : requests) {
            if (it.reply && it.reply->code == ResultCode::OnceRefused && keyRuns[it.key] > 0) {
                faults.emplace_back("a key that ran was refused as not run");
            }
            const bool alive = !m_hosts[it.host].dead;
            if (alive && !it.reply) {
                faults.emplace_back("a request got no answer");
            }
            if (it.reply && it.reply->notRun && it.runs > 0) {
                faults.emplace_back("a request that ran was reported as not run");
            }
        }
    }

    /*! @brief Runs one host until it has no outstanding operation. */
    void runUntilIdle(std::size_t n)
    {
        auto &host = m_hosts[n];
        for (int round = 0; round < 12; ++round) {
            step(n);
            while (!host.transactions.empty() || !host.reads.empty()) {
                serve(n, false);
            }
            while (!host.dead && !host.runs.empty()) {
                run(n, Upstream::Answers);
            }
        }
    }

    [[nodiscard]] OnceCallTracker &tracker(std::size_t n)
    {
        return m_hosts[n].tracker;
    }

    [[nodiscard]] static OnceAnswer answerFor(const std::string &key)
    {
        return {201, {{"Content-Type", "application/json"}}, std::string("answer\0 to ", 11) + key};
    }

    MemoryTable table;
    std::deque<OnceRequest> requests;
    std::map<std::string, std::size_t> keyRuns;
    std::vector<std::string> faults;

private:
    struct Host
    {
        explicit Host(OnceCallTracker initial) : tracker(std::move(initial)) { }

        OnceCallTracker tracker;
        std::deque<OnceTransactAction> transactions;
        std::deque<OnceReadAction> reads;
        std::deque<OnceCallId> runs;
        bool dead{false};
    };

    void serveRead(Host &host, bool lose)
    {
        if (!host.reads.empty()) {
            const auto action = std::move(host.reads.front());
            host.reads.pop_front();
            host.tracker.onRead(action.id, lose ? ReadReply{ReadFailed{}} : table.read(action.keys), m_now);
        }
    }

    void reportTo(Host &host, std::uint64_t id, const TransactionReply &reply)
    {
        host.tracker.onTransaction(id, reply, m_now);
    }

    OnceRequest &find(std::size_t host, OnceCallId call)
    {
        return *std::ranges::find_if(requests, [&](const OnceRequest &it) { return it.host == host && it.call == call; });
    }

    void perform(std::size_t n, OnceAction action)
    {
        auto &host = m_hosts[n];
        std::visit(Overloaded{
                       [&](OnceTransactAction &it) { host.transactions.push_back(std::move(it)); },
                       [&](OnceReadAction &it) { host.reads.push_back(std::move(it)); },
                       [&](const OnceSendAction &it) { host.runs.push_back(it.call); },
                       [&](OnceReplyAction &it) { onReply(find(n, it.call), std::move(it.reply)); },
                   },
                   action);
    }

    void onReply(OnceRequest &request, OnceReply reply)
    {
        if (request.reply) {
            faults.emplace_back("a request was answered twice");
        }
        if (reply.code == ResultCode::Ok && reply.answer != answerFor(request.key)) {
            faults.emplace_back("a request got another call's answer");
        }
        request.reply = std::move(reply);
    }

    std::vector<Host> m_hosts;
    std::deque<Transaction> m_delayed;
    SteadyTime m_now{std::chrono::hours{1}};
    WallTime m_wall{std::chrono::hours{500'000}};
};

} // namespace guavafield::test
