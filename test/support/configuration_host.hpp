// A host's follower with its I/O performed against in-memory services, and commits against them.
#pragma once

#include <guavafield/coordination/configuration/configuration_commit.hpp>
#include <guavafield/coordination/configuration/configuration_follower.hpp>
#include <guavafield/protocol/configuration/configuration_json.hpp>
#include <guavafield/protocol/configuration/configuration_rows_json.hpp>

#include <support/memory_table.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace guavafield::test {

/*! @brief The platform as the configuration sees it. */
struct MemoryPlatform
{
    MemoryTable table;
    std::map<std::string, std::string> objects;
};

/*! @brief Reads and parses the head row; empty if the table cannot be read. */
[[nodiscard]] inline std::optional<ConfigurationHead> readHead(MemoryTable &table)
{
    const auto reply = table.read(std::vector{configurationHeadKey()});
    const auto *rows = std::get_if<ReadRows>(&reply);
    return rows == nullptr ? std::nullopt : capture([&] { return parseHead(rows->rows.front()); }).value;
}

/*! @brief Runs a commit to its end; waits take no time. */
class CommitRunner
{
public:
    CommitRunner(MemoryTable &table, std::string id, Revision base, ConfigurationChange change)
        : m_table(table), m_commit(std::move(id), base), m_change(std::move(change)), m_step(m_commit.start())
    {
    }

    [[nodiscard]] bool ended() const
    {
        return m_step.index() >= CommitStep(CommitAccepted{}).index();
    }
    [[nodiscard]] const CommitStep &current() const
    {
        return m_step;
    }
    /*! @brief Performs one step. */
    void advance()
    {
        m_step = std::visit(Overloaded{[this](const CommitReadHead &) {
                                           const auto head = readHead(m_table);
                                           return head ? m_commit.onHead(*head) : m_commit.onHeadFailed();
                                       },
                                       [this](const CommitWrite &write) { return perform(write); },
                                       [this](const CommitReadChange &read) { return perform(read); },
                                       [this](const CommitWait &) { return m_commit.onWaited(); },
                                       [](const auto &end) { return CommitStep{end}; }},
                            m_step);
    }
    [[nodiscard]] CommitStep run()
    {
        while (!ended()) {
            advance();
        }
        return m_step;
    }

private:
    CommitStep perform(const CommitWrite &write)
    {
        const auto reply = m_table.transact(makeCommitTransaction(write, formatChangeRecord(write, m_change)));
        return std::visit(
            Overloaded{[this](const TransactionCommitted &) { return m_commit.onWritten(); },
                       [this](const TransactionConflict &it) { return m_commit.onHeadConflict(*capture([&] { return parseHead(it.current); }).value); },
                       [this](const TransactionUnknown &) { return m_commit.onReplyLost(); },
                       [this](const TransactionRejected &) { return m_commit.onRejected(); }},
            reply);
    }
    CommitStep perform(const CommitReadChange &read)
    {
        const auto reply = m_table.read(std::vector{configurationChangeKey(read.revision)});
        const auto *rows = std::get_if<ReadRows>(&reply);
        if (rows == nullptr) {
            return m_commit.onChangeRowFailed();
        }
        if (rows->rows.front().version == 0) {
            return m_commit.onChangeRow(std::nullopt);
        }
        return m_commit.onChangeRow(capture([&] { return parseChangeRecord(rows->rows.front().value); }).value->id);
    }

    MemoryTable &m_table;
    ConfigurationCommit m_commit;
    ConfigurationChange m_change;
    CommitStep m_step;
};

/*! @brief Commits a change to the head as it is, also while reads are stale; returns the new revision. */
inline Revision commitNext(MemoryTable &table, const ConfigurationChange &change)
{
    const auto head = capture([&] { return parseHead(table.peek(configurationHeadKey())); }).value.value();
    const CommitWrite write{head.version, head.minimumSchema, head.revision + 1, "change-" + std::to_string(head.revision + 1)};
    const auto reply = table.transact(makeCommitTransaction(write, formatChangeRecord(write, change)));
    static_cast<void>(std::get<TransactionCommitted>(reply));
    return write.revision;
}

/*! @brief A follower whose replies wait in a queue until they are delivered. */
class ConfigurationHost
{
public:
    using Reply = std::function<void(SteadyTime)>;

    ConfigurationHost(const HostId &id, MemoryPlatform &platform, SteadyTime now) : follower(FollowerSettings{.host = id}, now), m_platform(platform) { }

    /*! @brief Steps the follower and performs its actions; their replies are queued. */
    void step(SteadyTime now)
    {
        for (auto &it : follower.step(now)) {
            std::visit([this](auto &action) { perform(action); }, it);
        }
    }

    /*! @brief Steps and delivers until nothing is left to do at this time. */
    void settle(SteadyTime now)
    {
        step(now);
        while (!replies.empty()) {
            for (auto &it : std::exchange(replies, {})) {
                it(now);
            }
            step(now);
        }
    }

    ConfigurationFollower follower;
    std::vector<ConfigurationHost *> peers;
    std::vector<Reply> replies;
    std::shared_ptr<const Configuration> inForce;
    std::vector<KeyId> stopped;
    // A published revision was lower than the one before.
    bool fell{false};
    std::size_t peerFetches{0};

private:
    template <typename Function>
    void later(Function function)
    {
        replies.emplace_back(std::move(function));
    }
    void failLater(FetchId id)
    {
        later([this, id](SteadyTime now) { follower.onFetchFailed(id, now); });
    }

    static std::vector<ChangeRecord> parseRecords(const std::vector<std::string> &texts)
    {
        std::vector<ChangeRecord> records;
        records.reserve(texts.size());
        for (const auto &it : texts) {
            records.push_back(std::move(*capture([&] { return parseChangeRecord(it); }).value));
        }
        return records;
    }

    void perform(const ReadHeadAction &action)
    {
        const auto head = readHead(m_platform.table);
        later([this, head, id = action.id](SteadyTime) { head ? follower.onHead(id, *head) : follower.onHeadFailed(id); });
    }
    void perform(const FetchPeerChangesAction &action)
    {
        const auto texts = peers.empty() ? std::nullopt : nextPeer().follower.changesAfter(action.after);
        if (!texts) {
            return failLater(action.id);
        }
        later([this, texts, id = action.id](SteadyTime now) { follower.onPeerChanges(id, parseRecords(*texts), now); });
    }
    void perform(const FetchPeerSnapshotAction &action)
    {
        if (peers.empty()) {
            return failLater(action.id);
        }
        later([this, copy = *nextPeer().follower.snapshot(), id = action.id](SteadyTime now) { follower.onPeerSnapshot(id, copy, now); });
    }
    void perform(const FetchChangesAction &action)
    {
        const auto reply = m_platform.table.scan(configurationChangeRange(action.after, action.upTo));
        const auto *rows = std::get_if<ReadRows>(&reply);
        if (rows == nullptr) {
            return failLater(action.id);
        }
        std::vector<std::string> texts;
        texts.reserve(rows->rows.size());
        for (const auto &it : rows->rows) {
            texts.push_back(it.value);
        }
        later([this, texts, id = action.id](SteadyTime now) { follower.onChanges(id, parseRecords(texts), now); });
    }
    void perform(const FetchSnapshotAction &action)
    {
        const auto it = m_platform.objects.find(snapshotObjectName(action.revision));
        if (it == m_platform.objects.end()) {
            return failLater(action.id);
        }
        later([this, text = it->second, id = action.id](SteadyTime now) { follower.onSnapshot(id, std::get<Configuration>(parseSnapshot(text)), now); });
    }
    void perform(const PublishAction &action)
    {
        fell = fell || (inForce && action.configuration->revision < inForce->revision);
        inForce = action.configuration;
    }
    void perform(const StopKeysAction &action)
    {
        stopped.insert(stopped.end(), action.keys.begin(), action.keys.end());
    }

    ConfigurationHost &nextPeer()
    {
        return *peers[peerFetches++ % peers.size()];
    }

    MemoryPlatform &m_platform;
};

} // namespace guavafield::test
