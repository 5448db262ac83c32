// Steps of a commit as calls to the platform.
#include <guavafield/transport/configuration/commit_runner.hpp>

#include <guavafield/protocol/configuration/configuration_rows_json.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

constexpr Milliseconds commitRetryDelay{250};

asio::awaitable<std::optional<Row>> readRow(PlatformClient &platform, RowKey key)
{
    std::vector<RowKey> keys;
    keys.push_back(std::move(key));
    auto reply = co_await platform.read(std::move(keys));
    auto *rows = std::get_if<ReadRows>(&reply);
    co_return rows == nullptr ? std::nullopt : std::optional(std::move(rows->rows.front()));
}

asio::awaitable<CommitStep> readHead(PlatformClient &platform, ConfigurationCommit &commit)
{
    auto key = configurationHeadKey();
    const auto row = co_await readRow(platform, std::move(key));
    const auto head = row ? capture([&] { return parseHead(*row); }) : Outcome<ConfigurationHead>{};
    co_return head ? commit.onHead(*head.value) : commit.onHeadFailed();
}

CommitStep takeReply(ConfigurationCommit &commit, const TransactionReply &reply)
{
    return std::visit(Overloaded{[&](const TransactionCommitted &) { return commit.onWritten(); },
                                 [&](const TransactionConflict &it) {
                                     const auto head = capture([&] { return parseHead(it.current); });
                                     // A head that cannot be read says nothing; the change row decides.
                                     return head ? commit.onHeadConflict(*head.value) : commit.onReplyLost();
                                 },
                                 [&](const TransactionUnknown &) { return commit.onReplyLost(); },
                                 [&](const TransactionRejected &) { return commit.onRejected(); }},
                      reply);
}

asio::awaitable<CommitStep> readChange(PlatformClient &platform, ConfigurationCommit &commit, Revision revision)
{
    auto key = configurationChangeKey(revision);
    const auto row = co_await readRow(platform, std::move(key));
    if (!row) {
        co_return commit.onChangeRowFailed();
    }
    if (row->version == 0) {
        co_return commit.onChangeRow(std::nullopt);
    }
    const auto record = capture([&] { return parseChangeRecord(row->value); });
    co_return record ? commit.onChangeRow(record.value->id) : commit.onChangeRowFailed();
}

asio::awaitable<void> waitForRetry()
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, commitRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace internal

asio::awaitable<CommitResult> runCommit(PlatformClient &platform, std::string id, Revision base, ConfigurationChange change)
{
    ConfigurationCommit commit(std::move(id), base);
    CommitResult result{commit.start(), {}};
    for (;;) {
        if (std::holds_alternative<CommitReadHead>(result.end)) {
            result.end = co_await internal::readHead(platform, commit);
        } else if (const auto *write = std::get_if<CommitWrite>(&result.end)) {
            result.recordText = formatChangeRecord(*write, change);
            auto transaction = makeCommitTransaction(*write, result.recordText);
            const auto reply = co_await platform.transact(std::move(transaction));
            result.end = internal::takeReply(commit, reply);
        } else if (const auto *read = std::get_if<CommitReadChange>(&result.end)) {
            const auto revision = read->revision;
            result.end = co_await internal::readChange(platform, commit, revision);
        } else if (std::holds_alternative<CommitWait>(result.end)) {
            co_await internal::waitForRetry();
            result.end = commit.onWaited();
        } else {
            co_return result;
        }
    }
}

} // namespace guavafield
