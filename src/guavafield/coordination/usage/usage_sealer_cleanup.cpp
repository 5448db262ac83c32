// Cleanup after a window was reported: replaces its rows by one usage-done row per host and deletes expired usage-done rows.
#include <guavafield/coordination/usage/usage_sealer.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace guavafield {

namespace internal {

// Splits <window>/<host>/<incarnation>/<n>.
std::pair<std::string, std::uint64_t> splitRowKey(const std::string &key)
{
    const auto slash = key.rfind('/');
    std::uint64_t number = 0;
    std::from_chars(key.data() + slash + 1, key.data() + key.size(), number);
    return {key.substr(0, slash), number};
}

} // namespace internal

void UsageSealer::onRowsToClean(const ReadRows &rows)
{
    m_transaction = {uniqueId(), {}, {}};
    std::map<std::string, UsageDone> done;
    auto last = rows.rows.end();
    if (rows.more) {
        // All rows of a host are replaced in one transaction; the last host may have rows beyond this page.
        const auto prefix = internal::splitRowKey(rows.rows.back().key.key).first;
        last = std::ranges::find_if(rows.rows, [&](const Row &it) { return internal::splitRowKey(it.key.key).first == prefix; });
        if (last == rows.rows.begin()) {
            m_settings.scanRows *= 2;
            return;
        }
    }
    std::for_each(rows.rows.begin(), last, [&](const Row &it) {
        m_transaction.writes.push_back({it.key, std::nullopt});
        const auto [prefix, number] = internal::splitRowKey(it.key.key);
        const auto value = m_codec.row.decode(it.value);
        // A row without figures was written to block a delayed insert; the host has flushed the figures into another window.
        if (value && !value->sections.empty()) {
            done[prefix].lastRow = std::max(done[prefix].lastRow, number);
        }
    });
    for (const auto &[prefix, it] : done) {
        m_transaction.writes.push_back({{"usage-done", prefix}, m_codec.done.encode(it)});
    }
    if (m_transaction.writes.empty()) {
        skipWindow();
    } else {
        m_stage = Stage::CleanWrite;
    }
}

void UsageSealer::onRowsToPurge(const ReadRows &rows, SteadyTime now)
{
    const auto oldest = usageWindowAt(m_platformTime - m_settings.doneRetention);
    m_transaction = {uniqueId(), {}, {}};
    for (const auto &it : rows.rows) {
        if (usageWindowFromKey(it.key.key).value_or(oldest) < oldest) {
            m_transaction.writes.push_back({it.key, std::nullopt});
        }
    }
    if (m_transaction.writes.empty()) {
        waitForPoll(now);
    } else {
        m_stage = Stage::PurgeWrite;
    }
}

} // namespace guavafield
