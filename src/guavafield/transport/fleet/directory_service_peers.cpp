// What peers tell this host, and the tables that they fetch from each other.
#include <guavafield/transport/fleet/directory_service.hpp>

#include <guavafield/coordination/request/placement/placement.hpp>
#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/fleet/directory_timing.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// A peer that was not heard for this long does not count among the readers.
constexpr Milliseconds peerRemembered{3'000};
// A host that lacks a change waits this long for it to be pushed before it reads by itself.
constexpr Milliseconds pushWait{400};
// A document is served to all hosts of a large fleet only while that takes no longer than reading it from the platform.
constexpr std::size_t maxServedBytes = 12'000'000;
// Spreads the requests of a large fleet for one document.
constexpr Milliseconds maxFetchDelay{300};

} // namespace internal

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
