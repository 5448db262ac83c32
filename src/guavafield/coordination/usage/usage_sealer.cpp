// State machine that seals and reports usage windows. The cleanup after a report is in usage_sealer_cleanup.cpp.
#include <guavafield/coordination/usage/usage_sealer.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

UsageSealer::UsageSealer(UsageSealerSettings settings, UsageCodec codec, LeaseClient &lease) : m_settings(std::move(settings)), m_codec(codec), m_lease(lease)
{
}

std::optional<UsageAction> UsageSealer::step(SteadyTime now, WallTime platformTime)
{
    m_platformTime = platformTime;
    const auto fence = m_lease.fence(now);
    if (m_outstanding || !fence) {
        return std::nullopt;
    }
    if (*fence != m_fence) {
        m_fence = *fence;
        m_closeNotBefore = now + m_settings.closeAfterOutage;
        waitForPoll(now);
        m_notBefore = now;
    }
    if (now < m_notBefore) {
        return std::nullopt;
    }
    auto action = actionFor(m_stage, now);
    m_outstanding = action.has_value();
    return action;
}

void UsageSealer::onTransaction(const TransactionReply &reply, SteadyTime now)
{
    m_outstanding = false;
    const auto *committed = std::get_if<TransactionCommitted>(&reply);
    if (committed == nullptr) {
        retry(now);
        return;
    }
    switch (m_stage) {
    case Stage::Close:
    case Stage::Seal:
    case Stage::Finish:
        m_version = committed->versions.at(0);
        m_seal = m_pendingSeal;
        m_sealed += m_stage == Stage::Seal ? 1 : 0;
        m_figures.clear();
        m_scanFrom = usageWindowName(m_window) + "/";
        m_stage = m_stage == Stage::Close ? Stage::Collect : m_stage == Stage::Finish ? Stage::Clean : m_reportText.empty() ? Stage::Fetch : Stage::Report;
        break;
    case Stage::CleanWrite:
        m_stage = Stage::Clean;
        break;
    default:
        m_stage = Stage::Purge;
    }
}

void UsageSealer::onRows(const ReadReply &reply, SteadyTime now)
{
    m_outstanding = false;
    const auto *rows = std::get_if<ReadRows>(&reply);
    if (rows == nullptr) {
        retry(now);
        return;
    }
    switch (m_stage) {
    case Stage::Discover:
        onDiscovered(*rows);
        break;
    case Stage::Inspect:
        onSealRow(rows->rows.at(0), now);
        break;
    case Stage::Collect:
        onCollected(*rows, now);
        break;
    case Stage::Clean:
        onRowsToClean(*rows);
        break;
    default:
        onRowsToPurge(*rows, now);
    }
}

void UsageSealer::onStored(bool stored, SteadyTime now)
{
    m_outstanding = false;
    if (stored) {
        m_stage = Stage::Seal;
    } else {
        retry(now);
    }
}

void UsageSealer::onFetched(const std::optional<std::string> &text, SteadyTime now)
{
    m_outstanding = false;
    if (text && m_codec.digest(*text) == m_seal.digest) {
        m_reportText = *text;
        m_stage = Stage::Report;
    } else {
        retry(now);
    }
}

void UsageSealer::onReported(bool accepted, SteadyTime now)
{
    m_outstanding = false;
    m_lease.endSend();
    if (accepted) {
        m_stage = Stage::Finish;
    } else {
        retry(now);
    }
}

std::uint64_t UsageSealer::sealed() const noexcept
{
    return m_sealed;
}

std::optional<UsageAction> UsageSealer::actionFor(Stage stage, SteadyTime now)
{
    switch (stage) {
    case Stage::Discover:
        return ScanAction{{"usage", m_scanFrom, {}, 1}};
    case Stage::Inspect:
        return ReadAction{{sealKey(m_window)}};
    case Stage::Close:
        return writeSeal(SealState::Closing);
    case Stage::Collect:
    case Stage::Clean:
        return scanWindow(m_scanFrom);
    case Stage::Store:
        return StoreFiguresAction{m_seal.object, m_reportText};
    case Stage::Seal:
        return writeSeal(SealState::Sealed);
    case Stage::Fetch:
        return FetchFiguresAction{m_seal.object};
    case Stage::Report:
        return beginReport(now);
    case Stage::Finish:
        return writeSeal(SealState::Reported);
    case Stage::Purge:
        return ScanAction{{"usage-done", {}, {}, m_settings.scanRows}};
    case Stage::CleanWrite:
    case Stage::PurgeWrite:
        return TransactAction{m_transaction};
    }
    return std::nullopt;
}

std::optional<UsageAction> UsageSealer::beginReport(SteadyTime now)
{
    // Only this process sends this window: the seal row names it as reporter, and an earlier reporter had to release before it was replaced.
    if (!m_lease.beginSend(SendRule::Holder, now)) {
        return std::nullopt;
    }
    return ReportUsageAction{m_window, m_seal.digest, m_reportText, m_seal.reporter};
}

TransactAction UsageSealer::writeSeal(SealState state)
{
    m_pendingSeal = m_seal;
    m_pendingSeal.state = state;
    m_pendingSeal.fence = m_fence;
    m_pendingSeal.id = uniqueId();
    if (state == SealState::Sealed) {
        m_pendingSeal.reporter = m_settings.self;
    }
    return {{m_pendingSeal.id, {{sealKey(m_window), m_version}}, {{sealKey(m_window), m_codec.seal.encode(m_pendingSeal)}}}};
}

ScanAction UsageSealer::scanWindow(std::string from) const
{
    // '0' is the character after '/', which ends the name of the window.
    return {{"usage", std::move(from), usageWindowName(m_window) + "0", m_settings.scanRows}};
}

std::string UsageSealer::uniqueId()
{
    return m_settings.self.host + "/" + std::to_string(m_settings.self.incarnation) + "/seal/" + std::to_string(++m_lastId);
}

void UsageSealer::onDiscovered(const ReadRows &rows)
{
    const auto window = rows.rows.empty() ? std::nullopt : usageWindowFromKey(rows.rows[0].key.key);
    const auto closeAt = window.value_or(0) + (usageWindowLength + m_settings.closeAfter).count();
    if (!window || std::chrono::duration_cast<std::chrono::seconds>(m_platformTime.time_since_epoch()).count() < closeAt) {
        m_stage = Stage::Purge;
        return;
    }
    m_window = *window;
    m_stage = Stage::Inspect;
}

void UsageSealer::onSealRow(const Row &row, SteadyTime now)
{
    m_reportText.clear();
    m_version = row.version;
    m_seal = {};
    if (row.version == 0) {
        m_stage = Stage::Close;
        m_notBefore = std::max(now, m_closeNotBefore);
        return;
    }
    const auto record = m_codec.seal.decode(row.value);
    if (!record) {
        skipWindow();
        return;
    }
    m_seal = *record;
    const bool isReporter = record->reporter == m_settings.self;
    if (record->state == SealState::Closing) {
        // Rewriting the row under the current fencing token prevents an earlier holder from sealing what it has collected.
        m_stage = Stage::Close;
    } else if (record->state == SealState::Reported) {
        m_scanFrom = usageWindowName(m_window) + "/";
        m_stage = Stage::Clean;
    } else if (isReporter && record->fence == m_fence) {
        m_stage = Stage::Fetch;
    } else if (isReporter || m_lease.mayOrderWithoutFencing(now)) {
        m_stage = Stage::Seal;
    } else {
        skipWindow();
    }
}

void UsageSealer::onCollected(const ReadRows &rows, SteadyTime now)
{
    for (const auto &it : rows.rows) {
        if (!addRow(it)) {
            // Sealing without this malformed row would lose usage; an operator has to repair or remove it.
            skipWindow();
            m_notBefore = now + m_settings.retryEvery;
            return;
        }
    }
    if (rows.more) {
        m_scanFrom = rows.rows.back().key.key + '\0';
        return;
    }
    m_reportText = m_codec.encodeReport(m_window, m_figures);
    m_figures.clear();
    m_seal.digest = m_codec.digest(m_reportText);
    m_seal.object = "usage-" + usageWindowName(m_window) + "-" + m_seal.digest;
    m_stage = Stage::Store;
}

bool UsageSealer::addRow(const Row &row)
{
    const auto value = m_codec.row.decode(row.value);
    if (!value) {
        return false;
    }
    for (const auto &section : value->sections) {
        const auto figures = m_codec.unpack(section.packed);
        if (!figures) {
            return false;
        }
        for (const auto &[dimensions, counts] : *figures) {
            m_figures[section.window][dimensions] += counts;
        }
    }
    return true;
}

void UsageSealer::skipWindow()
{
    m_scanFrom = usageWindowName(m_window) + "0";
    m_stage = Stage::Discover;
}

void UsageSealer::waitForPoll(SteadyTime now)
{
    m_scanFrom.clear();
    m_stage = Stage::Discover;
    m_notBefore = now + m_settings.pollEvery;
}

void UsageSealer::retry(SteadyTime now)
{
    m_closeNotBefore = std::max(m_closeNotBefore, now + m_settings.closeAfterOutage);
    m_notBefore = now + m_settings.retryEvery;
    m_scanFrom.clear();
    m_stage = Stage::Discover;
}

} // namespace guavafield
