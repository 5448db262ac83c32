// Loops and lookups of stream origins.
#include <guavafield/transport/fleet/stream_origin_service.hpp>

#include <guavafield/protocol/records/stream_codec.hpp>
#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/log/event_loop.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

constexpr std::string_view originTable = "stream_origins";
constexpr std::string_view versionTable = "stream_versions";
constexpr std::size_t bookCapacity = 50'000;
constexpr Milliseconds originStep{50};
// Upstreams confirmed longer ago than this may have changed unseen.
constexpr Milliseconds freshFor{2'000};
// After a longer time without a confirmation, versions may have come and gone unseen.
constexpr Milliseconds gapAfter{3'000};
// A process may be replaced for this long before its entry says so.
constexpr Milliseconds entryDelay{3'000};
constexpr Milliseconds callRetry{500};
// Between a host's calls of one kind; for each host of the fleet, since all hosts share the store's rate.
constexpr Milliseconds leastCallInterval{250};
constexpr Milliseconds callIntervalPerHost{5};
// A read of the upstreams answers at once what needs no other row.
constexpr Milliseconds maxUpstreamReadInterval{500};
// How long hosts leave news of versions to the one that writes first.
constexpr Milliseconds otherHostsDelay{1'000};
constexpr Milliseconds otherHostsSpread{2'000};
constexpr std::size_t maxStreamsPerFlush = 500;
// A row with as many streams is not written again.
constexpr std::size_t fullRow = 64;
// Pools whose rows are written in one transaction, which takes two entries each.
constexpr std::size_t maxPoolsPerWrite = 40;
// A lookup ends within this time, or that of two reads in a large fleet, and within its part of the time left.
constexpr Milliseconds longestLookup{1'500};
constexpr int lookupPart = 3;
constexpr int readsPerLookup = 3;
constexpr int maxFollowedPages = 50;
// A page of changes with fewer rows is the last one.
constexpr std::size_t fullPage = 500;
// Rows that ended so long ago are removed.
constexpr Milliseconds endedRowKept{60'000};
constexpr Milliseconds removalInterval{10'000};
constexpr std::size_t maxRemovals = 40;

std::string orDash(const std::string &text)
{
    return text.empty() ? "-" : text;
}

} // namespace internal

StreamOriginService::StreamOriginService(StreamOriginDependencies dependencies, HostId host, Incarnation incarnation, std::optional<WallTime> completeSince)
    : m_dependencies(std::move(dependencies))
    , m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_book(internal::bookCapacity)
    , m_history(completeSince ? VersionHistory(*completeSince) : VersionHistory())
{
}

void StreamOriginService::makeReads()
{
    if (m_originReads) {
        return;
    }
    const auto interval = [self = weak_from_this()] {
        const auto service = self.lock();
        return service ? service->callInterval() : internal::leastCallInterval;
    };
    const auto origins = [self = weak_from_this()]() -> asio::awaitable<bool> {
        const auto service = self.lock();
        co_return service &&co_await service->readOrigins();
    };
    // What a host in touch had not written at one read, it has at the next.
    m_originReads = std::make_shared<SharedRead>(SharedReadDependencies{m_dependencies.strand, m_dependencies.clock, interval, origins});
    const auto upstreamInterval = [interval] { return std::min(interval(), internal::maxUpstreamReadInterval); };
    m_upstreamReads =
        std::make_shared<SharedRead>(SharedReadDependencies{m_dependencies.strand, m_dependencies.clock, upstreamInterval, m_dependencies.readUpstreams});
}

void StreamOriginService::start()
{
    makeReads();
    spawnLoop(m_dependencies.strand, [self = shared_from_this()] { return self->run(); });
}

StreamOriginHooks StreamOriginService::hooks()
{
    makeReads();
    StreamOriginHooks hooks;
    hooks.began = [self = shared_from_this()](StreamBeginning beginning) {
        asio::dispatch(self->m_dependencies.strand, [self, beginning = std::move(beginning)]() mutable { self->onBegan(std::move(beginning)); });
    };
    hooks.find = [self = shared_from_this()](StreamTakeUp takeUp) {
        return asio::co_spawn(self->m_dependencies.strand, self->find(std::move(takeUp)), asio::use_awaitable);
    };
    return hooks;
}

void StreamOriginService::onUpstreamsConfirmed(SteadyTime at)
{
    if (m_confirmed && at - *m_confirmed > internal::gapAfter) {
        const auto gap = std::chrono::duration_cast<Milliseconds>(at - *m_confirmed);
        logEvent(LogLevel::Info, "streams:", {}, "versions may have been missed, gap_ms=" + std::to_string(gap.count()));
        m_history.onGap();
        m_historyConfiguration.reset();
    }
    m_confirmed = std::max(m_confirmed.value_or(at), at);
}

bool StreamOriginService::isFresh() const
{
    return m_confirmed && m_dependencies.clock.now() - *m_confirmed <= internal::freshFor;
}

Milliseconds StreamOriginService::callInterval() const
{
    return std::max(internal::leastCallInterval, internal::callIntervalPerHost * static_cast<Milliseconds::rep>(m_dependencies.hosts()));
}

void StreamOriginService::observe()
{
    const auto configuration = m_dependencies.configuration();
    if (configuration != m_bookConfiguration) {
        m_book.onConfiguration(*configuration, m_bookConfirmed - internal::entryDelay);
        m_bookConfiguration = configuration;
    }
    m_bookConfirmed = m_confirmed.value_or(SteadyTime{});
    const auto epoch = configuration->upstreamsVersion >> versionBits;
    if (std::exchange(m_epoch, epoch) != epoch) {
        m_history.forgetRows();
        m_book.forgetSaved();
        m_indexVersion.reset();
    }
    if (isFresh() && configuration != m_historyConfiguration) {
        m_history.onConfiguration(*configuration, m_dependencies.wallTime());
        m_historyConfiguration = configuration;
    }
}

asio::awaitable<void> StreamOriginService::run()
{
    while (!m_stopped) {
        observe();
        if (isFresh() && m_dependencies.clock.now() >= m_nextSync) {
            co_await syncVersions();
        }
        if (m_dependencies.clock.now() >= m_nextFlush) {
            co_await flush();
        }
        co_await sleepFor(internal::originStep);
    }
}

asio::awaitable<void> StreamOriginService::syncVersions()
{
    if (m_history.areRowsKnown() && m_history.due().empty()) {
        m_versionsDueSince.reset();
        co_return;
    }
    const auto now = m_dependencies.clock.now();
    m_versionsDueSince = m_versionsDueSince.value_or(now);
    if (m_history.areRowsKnown() && !mayWriteVersions()) {
        co_return;
    }
    m_nextSync = now + internal::callRetry;
    // A host that writes late looks first whether another one has written.
    const bool read = (m_history.areRowsKnown() && m_dependencies.writesFirst()) || co_await readVersions();
    if (read && mayWriteVersions() && !m_history.due().empty()) {
        co_await writeVersions();
    }
}

bool StreamOriginService::mayWriteVersions()
{
    const auto spread = Milliseconds{static_cast<Milliseconds::rep>(streamHash(m_host) % static_cast<std::uint64_t>(internal::otherHostsSpread.count()))};
    const auto delay = m_dependencies.writesFirst() ? Milliseconds{0} : internal::otherHostsDelay + spread;
    return m_versionsDueSince && m_dependencies.clock.now() - *m_versionsDueSince >= delay;
}

asio::awaitable<bool> StreamOriginService::readVersions()
{
    const auto reply = co_await m_dependencies.feed.readAll(std::string(internal::versionTable));
    const auto *page = std::get_if<TablePage>(&reply);
    if (page == nullptr) {
        co_return false;
    }
    const auto wall = m_dependencies.wallTime();
    std::map<std::string_view, const MirroredRow *> rows;
    for (const auto &row : page->rows) {
        rows[row.key] = &row;
    }
    for (const auto &pool : m_history.pools()) {
        const auto it = rows.find(pool);
        const bool present = it != rows.end() && it->second->value;
        const auto record = present ? versionRecordCodec().decode(*it->second->value) : std::nullopt;
        m_history.onRow(pool, present ? it->second->version : epochStart(page->complete), record, wall);
    }
    co_return true;
}

asio::awaitable<void> StreamOriginService::writeVersions()
{
    auto pools = m_history.due();
    pools.resize(std::min(pools.size(), internal::maxPoolsPerWrite));
    Transaction transaction;
    std::vector<VersionRecord> records;
    for (const auto &pool : pools) {
        const RowKey key{std::string(internal::versionTable), pool};
        records.push_back(m_history.record(pool));
        transaction.conditions.push_back({key, m_history.rowVersion(pool)});
        transaction.writes.push_back({key, versionRecordCodec().encode(records.back())});
    }
    const auto reply = co_await m_dependencies.table.transact(std::move(transaction));
    const auto wall = m_dependencies.wallTime();
    const auto *committed = std::get_if<TransactionCommitted>(&reply);
    if (committed == nullptr) {
        // Another host has written, or the outcome is not known.
        m_history.forgetRows();
    }
    for (std::size_t n = 0; n < pools.size(); ++n) {
        if (committed != nullptr) {
            m_history.onRow(pools[n], committed->versions.at(n), records[n], wall);
        }
        std::string text = "versions of a pool, pool=" + pools[n] + " outcome=" + (committed != nullptr ? "written" : "failed");
        for (const auto &it : records[n].versions) {
            text += " version=" + internal::orDash(it.version) + (it.left ? " left" : " serves");
        }
        logEvent(LogLevel::Info, "streams:", {}, text);
    }
}

asio::awaitable<void> StreamOriginService::flush()
{
    m_nextFlush = m_dependencies.clock.now() + callInterval();
    const auto streams = takeUnsaved();
    if (streams.empty()) {
        co_return;
    }
    auto row = nextRow();
    appendTo(row, streams);
    Transaction transaction;
    transaction.writes.push_back({slotKey(row.slot), originBatchCodec().encode(row.batch)});
    const auto reply = co_await m_dependencies.table.transact(std::move(transaction));
    m_slots.resize(std::max(m_slots.size(), row.slot + 1));
    m_slots[row.slot] = std::max(m_slots[row.slot], row.batch.until);
    if (std::holds_alternative<TransactionCommitted>(reply)) {
        m_openRow = std::move(row);
        co_return;
    }
    // A write whose reply was lost may still come; its row stays as that write leaves it.
    m_openRow.reset();
    m_book.returnUnsaved(streams);
    m_nextFlush = m_dependencies.clock.now() + std::max(callInterval(), internal::callRetry);
}

std::vector<BegunStream> StreamOriginService::takeUnsaved()
{
    const auto wall = m_dependencies.wallTime();
    std::map<PoolId, bool> mixed;
    const auto wanted = [&](const BegunStream &stream) {
        if (stream.split) {
            return true;
        }
        const auto [it, added] = mixed.try_emplace(stream.origin.pool);
        if (added) {
            it->second = !m_history.sole(stream.origin.pool, wall);
        }
        return it->second;
    };
    return m_book.takeUnsaved(wanted, internal::maxStreamsPerFlush, m_dependencies.clock.now());
}

StreamOriginService::OpenRow StreamOriginService::nextRow() const
{
    if (m_openRow && m_openRow->streams < internal::fullRow) {
        return *m_openRow;
    }
    const auto ended = std::ranges::find_if(m_slots, [wall = m_dependencies.wallTime()](WallTime it) { return it < wall; });
    OpenRow row;
    row.slot = static_cast<std::size_t>(ended - m_slots.begin());
    return row;
}

void StreamOriginService::appendTo(OpenRow &row, const std::vector<BegunStream> &streams) const
{
    const auto now = m_dependencies.clock.now();
    const auto wall = m_dependencies.wallTime();
    auto &groups = row.batch.groups;
    for (const auto &it : streams) {
        auto group = std::ranges::find(groups, it.origin, &OriginGroup::origin);
        if (group == groups.end()) {
            group = groups.insert(groups.end(), OriginGroup{it.origin, {}});
        }
        group->streams.push_back(it.stream);
        row.batch.until = std::max(row.batch.until, wall + std::chrono::duration_cast<WallTime::duration>(it.until - now));
    }
    row.streams += streams.size();
}

RowKey StreamOriginService::slotKey(std::size_t slot) const
{
    return {std::string(internal::originTable), m_host + "/" + std::to_string(m_incarnation) + "/" + std::to_string(slot)};
}

void StreamOriginService::onBegan(StreamBeginning beginning)
{
    const auto now = m_dependencies.clock.now();
    BegunStream stream;
    stream.stream = streamHash(beginning.attempt);
    stream.until = now + m_history.reach(beginning.origin.pool);
    stream.origin = std::move(beginning.origin);
    stream.upstream = std::move(beginning.upstream);
    stream.incarnation = beginning.incarnation;
    stream.dispatched = now - beginning.sinceDispatch;
    stream.split = beginning.split;
    stream.identified = beginning.identified;
    stream.certain = beginning.certain;
    if (stream.certain) {
        m_history.onBegan(stream.origin.pool, stream.origin.version, m_dependencies.wallTime());
    }
    m_book.add(std::move(stream), now);
}

asio::awaitable<std::optional<StreamOrigin>> StreamOriginService::find(StreamTakeUp takeUp)
{
    const auto self = shared_from_this();
    const auto started = m_dependencies.clock.now();
    const auto longest = std::max(internal::longestLookup, 2 * callInterval() + internal::callRetry);
    const auto deadline = started + std::min(longest, takeUp.timeLeft / internal::lookupPart);
    observe();
    std::string_view source;
    auto origin = findRecorded(takeUp, source);
    if (!origin) {
        origin = co_await findSole(takeUp, source, deadline);
    }
    int reads = 0;
    while (!origin && !takeUp.resumes.empty() && reads < internal::readsPerLookup && m_dependencies.clock.now() < deadline) {
        const bool complete = co_await m_originReads->next(deadline);
        reads += complete ? 1 : 0;
        observe();
        origin = findRecorded(takeUp, source);
        if (!origin) {
            origin = co_await findSole(takeUp, source, deadline);
        }
    }
    const auto took = std::chrono::duration_cast<Milliseconds>(m_dependencies.clock.now() - started);
    std::string text = origin ? "origin of a stream found, source=" + std::string(source) : std::string("origin of a stream not known,");
    text += " resumes=" + internal::orDash(takeUp.resumes) + " pool=" + (origin ? origin->pool : takeUp.pool);
    text += " version=" + (origin ? internal::orDash(origin->version) : std::string("-"));
    text += " reads=" + std::to_string(reads) + " last_read_complete=" + (m_originReads->lastComplete() ? "yes" : "no");
    text += " upstreams_fresh=" + std::string(isFresh() ? "yes" : "no") + " versions_known=" + (m_history.areRowsKnown() ? "yes" : "no");
    text += " took_ms=" + std::to_string(took.count());
    logEvent(LogLevel::Info, "streams:", takeUp.attempt, text);
    if (origin) {
        m_dependencies.counters.add(CounterId::StreamsTakenUp);
        remember(takeUp, *origin);
    }
    co_return origin;
}

bool StreamOriginService::isUncertain(const StreamTakeUp &takeUp) const
{
    return !takeUp.resumes.empty() && m_book.isUncertain(streamHash(takeUp.resumes));
}

std::optional<StreamOrigin> StreamOriginService::findRecorded(const StreamTakeUp &takeUp, std::string_view &source) const
{
    // What this host has written of an uncertain stream is no more certain.
    if (takeUp.resumes.empty() || isUncertain(takeUp)) {
        return std::nullopt;
    }
    const auto stream = streamHash(takeUp.resumes);
    source = "book";
    if (auto origin = m_book.find(stream, m_dependencies.clock.now())) {
        return origin;
    }
    source = "store";
    return m_index.find(stream);
}

asio::awaitable<std::optional<StreamOrigin>> StreamOriginService::findSole(const StreamTakeUp &takeUp, std::string_view &source, SteadyTime deadline)
{
    if (takeUp.split || isUncertain(takeUp) || !m_history.sole(takeUp.pool, m_dependencies.wallTime())) {
        co_return std::nullopt;
    }
    // The version that began the stream was in the table by then. This host's table may lack it, however new it seems.
    const bool read = co_await m_upstreamReads->next(deadline);
    observe();
    auto version = read && isFresh() ? m_history.sole(takeUp.pool, m_dependencies.wallTime()) : std::nullopt;
    if (!version) {
        co_return std::nullopt;
    }
    source = "sole version";
    co_return StreamOrigin{takeUp.pool, std::move(*version)};
}

void StreamOriginService::remember(const StreamTakeUp &takeUp, const StreamOrigin &origin)
{
    if (takeUp.resumes.empty()) {
        return;
    }
    const auto now = m_dependencies.clock.now();
    BegunStream stream;
    stream.stream = streamHash(takeUp.resumes);
    stream.origin = origin;
    stream.until = now + m_history.reach(origin.pool);
    stream.split = takeUp.split;
    m_book.add(std::move(stream), now);
}

asio::awaitable<bool> StreamOriginService::readOrigins()
{
    const bool complete = co_await readPages();
    if (complete) {
        co_await removeEnded();
    }
    co_return complete;
}

asio::awaitable<bool> StreamOriginService::readPages()
{
    const std::string table(internal::originTable);
    for (int n = 0; n < internal::maxFollowedPages; ++n) {
        const bool whole = !m_indexVersion;
        auto call = whole ? m_dependencies.feed.readAll(table) : m_dependencies.feed.follow(table, *m_indexVersion, Milliseconds{0});
        const auto reply = co_await std::move(call);
        if (const auto *page = std::get_if<TablePage>(&reply)) {
            takeOrigins(*page);
            m_indexVersion = page->complete;
            if (whole || page->rows.size() < internal::fullPage) {
                co_return true;
            }
        } else if (std::holds_alternative<TableGap>(reply) && !whole) {
            m_indexVersion.reset();
        } else {
            co_return false;
        }
    }
    co_return false;
}

void StreamOriginService::takeOrigins(const TablePage &page)
{
    const auto wall = m_dependencies.wallTime();
    m_index.dropEnded(wall);
    for (const auto &row : page.rows) {
        const auto batch = row.value ? originBatchCodec().decode(*row.value) : std::nullopt;
        if (!batch) {
            m_storedRows.erase(row.key);
            continue;
        }
        m_storedRows[row.key] = {row.version, batch->until};
        if (batch->until > wall) {
            m_index.add(*batch);
        }
    }
}

asio::awaitable<void> StreamOriginService::removeEnded()
{
    const auto now = m_dependencies.clock.now();
    if (now < m_nextRemoval) {
        co_return;
    }
    m_nextRemoval = now + internal::removalInterval;
    Transaction transaction;
    for (const auto &[key, row] : m_storedRows) {
        if (row.until + internal::endedRowKept < m_dependencies.wallTime() && transaction.writes.size() < internal::maxRemovals) {
            const RowKey rowKey{std::string(internal::originTable), key};
            transaction.conditions.push_back({rowKey, row.version});
            transaction.writes.push_back({rowKey, std::nullopt});
        }
    }
    if (!transaction.writes.empty()) {
        std::ignore = co_await m_dependencies.table.transact(std::move(transaction));
    }
}

} // namespace guavafield
