// Reading of feeds and the choice of the host that reads.
#include <guavafield/transport/fleet/directory_service.hpp>

#include <guavafield/coordination/request/placement/placement.hpp>
#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/fleet/directory_timing.hpp>
#include <guavafield/transport/log/event_loop.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// How long a call waits for a change; bounds how old the knowledge gets while nothing changes.
constexpr Milliseconds feedWait{600};
// In a large fleet only the first hosts in the order of readers do so at that age, so that the others hear of their readings in time.
constexpr Milliseconds staleAfterLargeFleet{1'500};
constexpr std::ptrdiff_t firstReaders = 3;
// A peer that was not heard for this long does not read for others.
constexpr Milliseconds peerHeard{1'000};
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

bool DirectoryService::largeFleet() const noexcept
{
    return m_hosts > internal::hostsServedByOne;
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

} // namespace guavafield
