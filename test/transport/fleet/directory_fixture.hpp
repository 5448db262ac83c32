// A small fleet whose hosts read a store for each other, on a manual clock.
#pragma once

#include <guavafield/transport/fleet/directory_service.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavafield::test {

namespace asio = boost::asio;

// A store with two tables, of which each host can be cut off.
struct Store
{
    std::array<TableMirror, 2> tables;
    RowVersion version{0};

    void write(DirectoryTable table, const std::string &key, const std::string &value, SteadyTime now)
    {
        ++version;
        tables[static_cast<std::size_t>(table)].apply(std::vector<MirroredRow>{{key, version, value}}, version, now);
    }
};

// One host: its service, the configuration that it has in force, and its calls.
struct Host
{
    Host(asio::io_context &io, const Clock &clock, Store &store, std::string id) : name(std::move(id))
    {
        DirectoryDependencies dependencies{io.get_executor(), clock, name, false, {}, {"op", "servers"}, {}, {}, {}, {}, {}};
        const auto indexOf = [](const std::string &table) { return table == "op" ? 0U : 1U; };
        dependencies.feed.follow = [this, &store, &clock, indexOf](std::string table, RowVersion after, Milliseconds wait) -> asio::awaitable<TableReply> {
            ++calls;
            const auto end = clock.now() + wait;
            while (true) {
                if (cut) {
                    co_return TableUnavailable{"cut"};
                }
                if (after > store.version || epochStart(after) != epochStart(store.version)) {
                    co_return TableGap{};
                }
                auto changes = store.tables[indexOf(table)].changesAfter(after);
                if (!changes->empty() || clock.now() >= end) {
                    co_return TablePage{*changes, store.version};
                }
                asio::steady_timer timer(co_await asio::this_coro::executor, Milliseconds{10});
                co_await timer.async_wait(asio::use_awaitable);
            }
        };
        dependencies.feed.readAll = [this, &store, indexOf](std::string table) -> asio::awaitable<TableReply> {
            ++calls;
            if (cut) {
                co_return TableUnavailable{"cut"};
            }
            co_return TablePage{store.tables[indexOf(table)].rows(), store.version};
        };
        dependencies.codec.documentKey = "config";
        dependencies.codec.document = [](std::string_view text) -> Result<Configuration> {
            Configuration result;
            result.revision = std::stoul(std::string(text));
            return result;
        };
        dependencies.codec.upstream = [](std::string_view, std::string_view) -> Result<UpstreamEntry> { return UpstreamEntry{}; };
        dependencies.apply = [this](const std::shared_ptr<const Configuration> &it) {
            revision = it->revision;
            ++configurations;
        };
        dependencies.confirm = [](DirectoryTable, SteadyTime) {};
        dependencies.announce = [] {};
        dependencies.fetch = [this](PeerAddress address, DirectoryTable table, RowVersion after) -> asio::awaitable<Outcome<std::string>> {
            co_return Outcome<std::string>{(*peers)[address.port]->service->format(table, after), {}};
        };
        service = std::make_shared<DirectoryService>(std::move(dependencies));
    }

    std::string name;
    bool cut{false};
    int calls{0};
    Revision revision{0};
    // How many were put in force.
    int configurations{0};
    std::vector<std::unique_ptr<Host>> *peers{nullptr};
    std::shared_ptr<DirectoryService> service;
};

/*! @brief Four hosts that have read revision 1 of the document, and of which one reads for the others. */
class DirectoryFixture : public CppUnit::TestFixture
{
public:
    void setUp() override
    {
        io = std::make_unique<asio::io_context>();
        clock.advance(std::chrono::seconds{1'000});
        store = Store();
        hosts.clear();
        silent.clear();
        store.write(DirectoryTable::Document, "config", "1", clock.now());
        for (int n = 0; n < 4; ++n) {
            hosts.push_back(std::make_unique<Host>(*io, clock, store, "h" + std::to_string(n)));
            hosts.back()->peers = &hosts;
        }
        for (const auto &it : hosts) {
            it->service->start();
        }
        CPPUNIT_ASSERT(runUntil([&] { return readers() == 1 && everyoneHas(1); }));
    }

    void tearDown() override
    {
        for (const auto &it : hosts) {
            it->service->stop();
        }
        io->stop();
    }

protected:
    // Returns the host that reads for the others.
    [[nodiscard]] Host &readingHost() const
    {
        const auto it = std::ranges::find_if(hosts, [](const auto &host) { return host->service->reads(); });
        CPPUNIT_ASSERT(it != hosts.end());
        return **it;
    }
    // Writes 20 upstreams and returns the reports in which the reader tells of them.
    std::vector<HostReport> pushInParts(const Host &reader)
    {
        for (int n = 0; n < 20; ++n) {
            store.write(DirectoryTable::Upstreams, "u" + std::to_string(n), std::string(200, 'x'), clock.now());
        }
        std::vector<HostReport> parts;
        CPPUNIT_ASSERT(runUntil([&] {
            parts = reader.service->changeReports();
            return parts.size() > 3 && parts.back().changes.back().key == "u19";
        }));
        return parts;
    }
    [[nodiscard]] std::size_t readers() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(hosts, [&](const auto &it) { return it->name != silent && it->service->reads(); }));
    }
    [[nodiscard]] bool everyoneHas(Revision revision) const
    {
        return std::ranges::all_of(hosts, [&](const auto &it) { return it->revision == revision || it->name == silent; });
    }

    // Runs the hosts, which report to each other, until a condition holds or a limit that only a failing test reaches.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{20};
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            exchangeReports();
            runFor(Milliseconds{50});
        }
        return true;
    }

    // The hosts' clock moves with the test and not with the machine, so that a pause of the test makes no knowledge old.
    void runFor(Milliseconds time)
    {
        constexpr Milliseconds step{10};
        for (Milliseconds spent{0}; spent < time; spent += step) {
            io->run_for(step);
            clock.advance(step);
        }
    }

    void exchangeReports()
    {
        for (std::size_t from = 0; from < hosts.size(); ++from) {
            if (hosts[from]->name == silent) {
                continue;
            }
            HostReport report;
            report.withoutPlatform = !hosts[from]->service->reachesPlatform();
            report.document = knowledgeOf(*hosts[from], DirectoryTable::Document);
            report.upstreams = knowledgeOf(*hosts[from], DirectoryTable::Upstreams);
            for (std::size_t to = 0; to < hosts.size(); ++to) {
                if (to != from) {
                    Member member;
                    member.id = hosts[from]->name;
                    member.address.port = static_cast<std::uint16_t>(from);
                    hosts[to]->service->onReport(member, report);
                }
            }
        }
    }

    static std::optional<TableKnowledge> knowledgeOf(const Host &host, DirectoryTable table)
    {
        return host.service->known(table) ? std::optional(host.service->knowledge(table)) : std::nullopt;
    }

    ManualClock clock;
    std::unique_ptr<asio::io_context> io;
    Store store;
    std::vector<std::unique_ptr<Host>> hosts;
    std::string silent;
};

} // namespace guavafield::test
