// Reading of feeds, fetching from peers, and the choice of the host that reads.
#include <guavafield/transport/fleet/directory_service.hpp>

#include <guavafield/coordination/request/placement/placement.hpp>
#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/log/event_loop.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// How long a call waits for a change; bounds how old the knowledge gets while nothing changes.
constexpr Milliseconds feedWait{600};
// A host whose knowledge is older reads for itself.
constexpr Milliseconds staleAfter{1'000};
// In a large fleet only the first hosts in the order of readers do so at that age, so that the others hear of their readings in time.
constexpr Milliseconds staleAfterLargeFleet{1'500};
constexpr std::ptrdiff_t firstReaders = 3;
// A peer that was not heard for this long does not read for others.
constexpr Milliseconds peerHeard{1'000};
// A peer that was not heard for this long does not count among the readers.
constexpr Milliseconds peerRemembered{3'000};
// Changes of upstreams are repeated in reports for this long, in case one was lost, and only while they are few.
constexpr Milliseconds changesRepeated{700};
constexpr Milliseconds changesRepeatedLargeFleet{300};
constexpr std::size_t maxChangesBytes = 900;
// More changes at once are read by each host itself. A reader on a slow link that pushed them would delay its own reading and the reports that
// tell the others that it reads.
constexpr std::size_t maxPushedRows = 400;
constexpr std::size_t maxPushedBytes = 1'500'000;
constexpr std::size_t maxPushedBytesSlowLink = 250'000;
// A host that lacks a change waits this long for it to be pushed before it reads by itself.
constexpr Milliseconds pushWait{400};
// Age of the knowledge in all parts of the changes but the last: what follows is not in them, so that they say nothing about the present.
constexpr std::chrono::hours notConfirmed{24};
constexpr std::size_t rowOverheadBytes = 24;
// A reader serves the changes to so many peers by itself.
constexpr std::size_t hostsServedByOne = 16;
constexpr Milliseconds idleStep{50};
// Entries that change one after the other, as when many upstreams start, are read and pushed together.
constexpr Milliseconds changePause{50};
// The parts of a push, and pushes that follow each other, are put in force together: in a large fleet each configuration is large.
constexpr Milliseconds updatePause{50};
constexpr Milliseconds retryPause{250};
// In a fleet that follows one reader, all hosts together try a failed platform about as often as so many hosts do.
constexpr std::size_t hostsThatRetryAtOnce = 16;
constexpr Milliseconds maxRetryPause{6'000};
// A host that follows its peers tries the platform again at this interval after a failure, so that it can read for others again.
constexpr Milliseconds tryInterval{1'500};
// Hosts with slow links leave the reading to others for this long after their start, while the hosts learn of each other.
constexpr Milliseconds slowLinkReaderDelay{2'500};
// A document is served to all hosts of a large fleet only while that takes no longer than reading it from the platform.
constexpr std::size_t maxServedBytes = 12'000'000;
// Spreads the requests of a large fleet for one document.
constexpr Milliseconds maxFetchDelay{300};
// What an answer says was true a little before it arrived.
constexpr Milliseconds answerDelay{20};

// The first of the hosts reads for the others; those with fast links come first.
std::pair<bool, std::uint64_t> readerOrder(bool slowLink, std::string_view host)
{
    return {slowLink, stableIdHash(host)};
}

} // namespace internal

DirectoryService::DirectoryService(DirectoryDependencies dependencies) : m_dependencies(std::move(dependencies)), m_directory(m_dependencies.codec) { }

void DirectoryService::start()
{
    m_startedAt = m_dependencies.clock.now();
    for (const auto table : {DirectoryTable::Document, DirectoryTable::Upstreams}) {
        spawnLoop(m_dependencies.strand, [self = shared_from_this(), table] { return self->follow(table); });
    }
    spawnLoop(m_dependencies.strand, [self = shared_from_this()] { return self->watchOutages(); });
}

TableKnowledge DirectoryService::knowledge(DirectoryTable table) const
{
    return mirror(table).knowledge(m_dependencies.clock.now());
}

std::string DirectoryService::format(DirectoryTable table, RowVersion after)
{
    auto &text = m_texts[static_cast<std::size_t>(table)];
    const auto now = m_dependencies.clock.now();
    // After a change all peers ask for the same rows.
    if (text.content != mirror(table).content() || text.after != after || text.rows.empty()) {
        text = FormattedRows{mirror(table).content(), after, formatRows(mirror(table), after)};
    }
    if (largeFleet() && table == DirectoryTable::Document && text.rows.size() * m_hosts > internal::maxServedBytes) {
        // Not a table; the peer reads it from the platform.
        return {};
    }
    return formatTable(mirror(table), text.rows, now);
}

bool DirectoryService::reads() const
{
    // A host that cannot reach the platform would slow the others down with reports that tell them nothing.
    const auto now = m_dependencies.clock.now();
    if (!reachesPlatform() || (m_dependencies.slowLink && now - m_startedAt < internal::slowLinkReaderDelay)) {
        return false;
    }
    const auto own = internal::readerOrder(m_dependencies.slowLink, m_dependencies.host);
    return std::ranges::none_of(m_peers, [&](const auto &it) {
        const auto &peer = it.second;
        return peer.fresh && now - peer.heard < internal::peerHeard && internal::readerOrder(peer.slowLink, it.first) < own;
    });
}

Milliseconds DirectoryService::staleAfter() const
{
    const auto own = internal::readerOrder(m_dependencies.slowLink, m_dependencies.host);
    const auto before = std::ranges::count_if(m_peers, [&](const auto &it) { return internal::readerOrder(it.second.slowLink, it.first) < own; });
    return largeFleet() && before >= internal::firstReaders ? internal::staleAfterLargeFleet : internal::staleAfter;
}

Milliseconds DirectoryService::retryPause() const noexcept
{
    const auto factor = std::max<std::size_t>(1, m_hosts / internal::hostsThatRetryAtOnce);
    return std::min(internal::maxRetryPause, internal::retryPause * static_cast<int>(factor));
}

asio::awaitable<void> DirectoryService::follow(DirectoryTable table)
{
    const auto index = static_cast<std::size_t>(table);
    const auto &name = m_dependencies.tables[index];
    bool whole = true;
    while (!m_stopped) {
        const auto known = knowledge(table);
        const bool reader = mirror(table).hasBeenRead() && reads();
        const bool behind = std::exchange(m_behind[index], false);
        const bool current = known.age < staleAfter();
        const bool pausing = m_dependencies.clock.now() < m_failedAt[index] + (current ? std::max(internal::tryInterval, retryPause()) : retryPause());
        const bool wanted = reader || behind || !m_available[index] || !current;
        if (mirror(table).hasBeenRead() && (pausing || !wanted)) {
            co_await sleepFor(internal::idleStep);
            continue;
        }
        whole = whole || !mirror(table).hasBeenRead();
        auto call = whole ? m_dependencies.feed.readAll(name)
                          : m_dependencies.feed.follow(name, mirror(table).complete(), reader ? internal::feedWait : Milliseconds{0});
        auto reply = co_await std::move(call);
        const bool gap = std::holds_alternative<TableGap>(reply);
        const auto *failure = std::get_if<TableUnavailable>(&reply);
        noteSource(table, failure == nullptr, failure != nullptr ? failure->cause : std::string());
        const bool failed = failure != nullptr;
        if (!failed && !gap) {
            take(table, std::move(reply), m_dependencies.clock.now() - internal::answerDelay, whole);
        }
        // After a failed reading the rest may be missing too, so only a gap asks for all rows.
        whole = gap;
        if (failed) {
            m_failedAt[index] = m_dependencies.clock.now();
            if (table == DirectoryTable::Upstreams) {
                m_directory.onReadFailed(m_failedAt[index]);
            }
        }
        if (failed || m_readsOlder[index] || (!reader && !gap)) {
            co_await sleepFor(internal::retryPause);
        } else if (mirror(table).content() != known.content) {
            co_await sleepFor(internal::changePause);
        }
    }
}

asio::awaitable<bool> DirectoryService::readUpstreams()
{
    const auto self = shared_from_this();
    constexpr auto table = DirectoryTable::Upstreams;
    if (!mirror(table).hasBeenRead()) {
        co_return false;
    }
    auto call = m_dependencies.feed.follow(m_dependencies.tables[static_cast<std::size_t>(table)], mirror(table).complete(), Milliseconds{0});
    auto reply = co_await std::move(call);
    const bool read = std::holds_alternative<TablePage>(reply);
    if (read) {
        take(table, std::move(reply), m_dependencies.clock.now() - internal::answerDelay, false);
    }
    co_return read;
}

void DirectoryService::noteSource(DirectoryTable table, bool available, const std::string &cause)
{
    auto &before = m_available[static_cast<std::size_t>(table)];
    if (before != available) {
        const auto age = std::to_string(knowledge(table).age.count());
        const auto text = "table=" + m_dependencies.tables[static_cast<std::size_t>(table)] + " knowledge_age_ms=" + age;
        logEvent(available ? LogLevel::Info : LogLevel::Warning,
                 "fleet:",
                 {},
                 available ? "platform's table regained, " + text : "platform's table lost, " + text + " cause=\"" + cause + "\"");
    }
    before = available;
}

void DirectoryService::take(DirectoryTable table, TableReply reply, SteadyTime confirmed, bool whole)
{
    auto &page = std::get<TablePage>(reply);
    auto &target = mirror(table);
    const auto before = target.content();
    if (target.hasBeenRead() && epochStart(page.complete) > epochStart(target.complete())) {
        const auto text = "platform's table restored, table=" + m_dependencies.tables[static_cast<std::size_t>(table)]
            + " version=" + std::to_string(page.complete) + " known_version=" + std::to_string(target.complete());
        logEvent(LogLevel::Warning, "fleet:", {}, text);
    }
    noteReading(table, whole && target.hasBeenRead() && page.complete < target.complete(), page.complete);
    const bool changed = whole ? target.replace(page.rows, page.complete, confirmed) : target.apply(page.rows, page.complete, confirmed);
    update();
    if (changed) {
        announceChange(table, before);
    }
}

void DirectoryService::noteReading(DirectoryTable table, bool older, RowVersion version)
{
    // Logged once until a reading is taken again.
    if (std::exchange(m_readsOlder[static_cast<std::size_t>(table)], older) || !older) {
        return;
    }
    auto text = "reading ignored, table=" + m_dependencies.tables[static_cast<std::size_t>(table)];
    text += " version=" + std::to_string(version) + " known_version=" + std::to_string(mirror(table).complete());
    logEvent(LogLevel::Warning, "fleet:", {}, text);
}

void DirectoryService::announceChange(DirectoryTable table, RowVersion before)
{
    if (table == DirectoryTable::Upstreams) {
        const auto now = m_dependencies.clock.now();
        m_recent.emplace_back(now, before);
        while (now - m_recent.front().first > changesRepeated()) {
            m_recent.pop_front();
        }
    }
    // Followers repeat nothing, or each change would be sent by every host to every other.
    if (reads()) {
        m_dependencies.announce();
    }
}

bool DirectoryService::largeFleet() const noexcept
{
    return m_hosts > internal::hostsServedByOne;
}

Milliseconds DirectoryService::changesRepeated() const noexcept
{
    return largeFleet() ? internal::changesRepeatedLargeFleet : internal::changesRepeated;
}

std::vector<HostReport> DirectoryService::changeReports() const
{
    const auto now = m_dependencies.clock.now();
    if (!reads() || m_recent.empty() || now - m_recent.back().first > changesRepeated()) {
        return {};
    }
    const auto base = m_recent.front().second;
    auto changes = mirror(DirectoryTable::Upstreams).changesAfter(base).value_or(std::vector<MirroredRow>());
    if (changes.size() > internal::maxPushedRows) {
        return {};
    }
    const auto rowBytes = [](const MirroredRow &it) { return it.key.size() + (it.value ? it.value->size() : 0) + internal::rowOverheadBytes; };
    std::size_t allBytes = 0;
    for (const auto &it : changes) {
        allBytes += rowBytes(it);
    }
    // A large fleet is reached through relays.
    const auto copies = largeFleet() ? static_cast<std::size_t>(std::ceil(std::sqrt(m_hosts))) : m_hosts;
    if (allBytes * copies > (m_dependencies.slowLink ? internal::maxPushedBytesSlowLink : internal::maxPushedBytes)) {
        return {};
    }
    std::ranges::sort(changes, {}, &MirroredRow::version);
    auto known = mirror(DirectoryTable::Upstreams).knowledge(now);
    std::vector<HostReport> result;
    std::size_t bytes = 0;
    for (auto &it : changes) {
        const auto size = rowBytes(it);
        if (result.empty() || bytes + size > internal::maxChangesBytes) {
            auto &part = result.emplace_back();
            part.changesOnly = true;
            part.changesAfter = result.size() == 1 ? base : result[result.size() - 2].upstreams->content;
            bytes = 0;
        }
        bytes += size;
        result.back().upstreams = TableKnowledge{it.version, it.version, internal::notConfirmed};
        result.back().changes.push_back(std::move(it));
    }
    if (!result.empty()) {
        result.back().upstreams = known;
    }
    return result;
}

void DirectoryService::update()
{
    const auto now = m_dependencies.clock.now();
    if (auto configuration = m_directory.update(mirror(DirectoryTable::Document), mirror(DirectoryTable::Upstreams), now)) {
        logEvacuations(*configuration);
        logChanges(*configuration);
        m_applied = configuration;
        m_dependencies.apply(std::move(configuration));
    }
    for (const auto &it : m_directory.takeInvalidRows()) {
        logEvent(LogLevel::Warning,
                 "fleet:",
                 {},
                 "row ignored, key=" + it.key + " version=" + std::to_string(it.version) + " cause=\"" + it.error.message + "\" place=" + it.error.place);
    }
    for (const auto &it : m_directory.takeKeptUpstreams()) {
        logEvent(LogLevel::Info, "fleet:", {}, "upstream kept without an entry, upstream=" + it.id + " for_ms=" + std::to_string(it.duration.count()));
    }
    for (const auto table : {DirectoryTable::Document, DirectoryTable::Upstreams}) {
        if (const auto confirmed = mirror(table).confirmed()) {
            m_dependencies.confirm(table, *confirmed);
        }
    }
}

void DirectoryService::updateSoon()
{
    if (std::exchange(m_updateScheduled, true)) {
        return;
    }
    const auto wait = [self = shared_from_this()]() -> asio::awaitable<void> {
        co_await sleepFor(internal::updatePause);
        self->m_updateScheduled = false;
        if (!self->m_stopped) {
            self->update();
        }
    };
    asio::co_spawn(m_dependencies.strand, wait, asio::detached);
}

void DirectoryService::logEvacuations(const Configuration &configuration) const
{
    static const std::set<DataCentreId, std::less<>> none;
    const auto known = knowledge(DirectoryTable::Document);
    const auto source = " version=" + std::to_string(known.content) + " knowledge_age_ms=" + std::to_string(known.age.count());
    const auto log = [&](const DataCentreId &dataCentre, std::string text) {
        text += ", data_centre=" + dataCentre;
        text += source;
        logEvent(LogLevel::Info, "fleet:", {}, text);
    };
    const auto &before = m_applied ? m_applied->evacuated : none;
    for (const auto &it : configuration.evacuated) {
        if (!before.contains(it)) {
            log(it, "data centre evacuated");
        }
    }
    for (const auto &it : before) {
        if (!configuration.evacuated.contains(it)) {
            log(it, "data centre returned to service");
        }
    }
}

void DirectoryService::logChanges(const Configuration &configuration) const
{
    const auto known = knowledge(DirectoryTable::Upstreams);
    const auto source = " version=" + std::to_string(known.content) + " knowledge_age_ms=" + std::to_string(known.age.count());
    const auto log = [&](const Upstream &it, std::string_view state) {
        const auto kind = std::string(describe(it.kind));
        logEvent(LogLevel::Info,
                 "fleet:",
                 {},
                 "upstream " + std::string(state) + ", upstream=" + it.id + " pool=" + it.pool + " data_centre=" + it.dataCentre + " kind=" + kind + source);
    };
    static const StringMap<Upstream> none;
    const auto &before = m_applied ? m_applied->upstreams : none;
    for (const auto &[id, it] : configuration.upstreams) {
        const auto earlier = before.find(id);
        if (earlier == before.end()) {
            log(it, it.leaving ? "found leaving" : "found");
        } else if (it.incarnation != earlier->second.incarnation) {
            log(it, "restarted");
        } else if (it.leaving && !earlier->second.leaving) {
            log(it, "leaving");
        }
    }
    for (const auto &[id, it] : before) {
        if (!configuration.upstreams.contains(id)) {
            log(it, "gone");
        }
    }
}

asio::awaitable<void> DirectoryService::watchOutages()
{
    while (!m_stopped) {
        co_await sleepFor(internal::retryPause);
        const auto due = m_directory.nextWakeup();
        if (due && m_dependencies.clock.now() >= *due) {
            update();
        }
    }
}

void DirectoryService::onReport(const Member &from, const HostReport &report)
{
    const auto now = m_dependencies.clock.now();
    const auto isFresh = [](const std::optional<TableKnowledge> &it) { return it && it->age < internal::staleAfter; };
    if (!report.changesOnly) {
        m_peers[from.id] = Peer{now, !report.withoutPlatform && isFresh(report.document) && isFresh(report.upstreams), report.slowLink};
    }
    if (report.withoutPlatform) {
        m_directory.onReadFailed(now);
    }
    std::erase_if(m_peers, [now](const auto &it) { return now - it.second.heard > internal::peerRemembered; });
    auto &upstreams = mirror(DirectoryTable::Upstreams);
    const bool pushed = upstreams.hasBeenRead() && !report.changes.empty() && report.upstreams && upstreams.complete() >= report.changesAfter
        && report.upstreams->content > upstreams.complete();
    if (pushed) {
        const auto confirmed = now - report.upstreams->age - internal::answerDelay;
        const auto before = upstreams.content();
        const bool changed = upstreams.apply(report.changes, report.upstreams->complete, confirmed);
        upstreams.advanceContent(report.upstreams->content);
        updateSoon();
        if (changed) {
            announceChange(DirectoryTable::Upstreams, before);
        }
    }
    if (!report.changesOnly) {
        consider(from, DirectoryTable::Document, report.document);
        consider(from, DirectoryTable::Upstreams, report.upstreams);
    }
}

void DirectoryService::consider(const Member &from, DirectoryTable table, const std::optional<TableKnowledge> &knowledge)
{
    if (!knowledge || knowledge->age > std::chrono::hours{1}) {
        return;
    }
    auto &own = mirror(table);
    if (!own.hasBeenRead() || knowledge->content > own.complete()) {
        auto &lack = m_lacks[static_cast<std::size_t>(table)];
        const auto now = m_dependencies.clock.now();
        // Changes of upstreams are pushed in a large fleet; the document is fetched from a peer in any.
        if (largeFleet() && m_available[static_cast<std::size_t>(table)] && (table == DirectoryTable::Upstreams || !own.hasBeenRead())) {
            if (!lack || own.complete() >= lack->content) {
                lack = Lack{now, knowledge->content};
            }
            if (now - lack->since >= internal::pushWait) {
                m_behind[static_cast<std::size_t>(table)] = true;
                lack.reset();
            }
        } else if (!std::exchange(m_fetching[static_cast<std::size_t>(table)], true)) {
            asio::co_spawn(
                m_dependencies.strand, [self = shared_from_this(), from, table] { return self->fetchFrom(from, table); }, asio::detached);
        }
    } else {
        // The peer's latest change is one of those that this host has, and there was none after it.
        own.confirm(knowledge->complete, m_dependencies.clock.now() - knowledge->age - internal::answerDelay);
        if (!m_updateScheduled) {
            update();
        }
    }
}

asio::awaitable<void> DirectoryService::fetchFrom(Member peer, DirectoryTable table)
{
    if (largeFleet()) {
        // The same for a host each time, and different for each host.
        const auto delay = stableIdHash(m_dependencies.host) % static_cast<std::uint64_t>(internal::maxFetchDelay.count());
        co_await sleepFor(Milliseconds{static_cast<Milliseconds::rep>(delay)});
    }
    const auto after = mirror(table).hasBeenRead() ? mirror(table).content() : 0;
    const auto text = co_await m_dependencies.fetch(peer.address, table, after);
    m_fetching[static_cast<std::size_t>(table)] = false;
    const auto parsed = text ? capture([&] { return parseTable(*text.value); }) : Outcome<TableText>{std::nullopt, text.error};
    if (!parsed) {
        logEvent(LogLevel::Warning, "fleet:", {}, "table not fetched, peer=" + peer.id + " cause=\"" + parsed.error.message + "\"");
        m_behind[static_cast<std::size_t>(table)] = true;
        co_return;
    }
    const auto confirmed = m_dependencies.clock.now() - parsed.value->age - internal::answerDelay;
    take(table, TablePage{parsed.value->rows, parsed.value->complete}, confirmed, parsed.value->whole || after == 0);
    mirror(table).advanceContent(parsed.value->content);
}

} // namespace guavafield
