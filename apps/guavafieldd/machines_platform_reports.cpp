// Reports between the hosts on the machines platform.
#include "apps/guavafieldd/machines_platform_services.hpp"

#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/log/log.hpp>

#include <sstream>
#include <string>
#include <utility>
#include <variant>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// Hosts with slower links neither read tables for other hosts nor relay to them while hosts with faster links are available.
constexpr double minFastLinkMbit = 50;

RelayCandidate relayCandidate(const Member &from, const HostReport &report, const StringMap<RegionId> &regions)
{
    RelayCandidate candidate;
    candidate.dataCentre = from.dataCentre;
    if (const auto region = regions.find(from.dataCentre); region != regions.end()) {
        candidate.region = region->second;
    }
    candidate.callers = from.address;
    candidate.callers.port = report.callerPort;
    candidate.unreachablePools = report.unreachablePools;
    for (const auto &it : report.work) {
        candidate.running += it.running;
    }
    return candidate;
}

// Returns the log line of a decision on crashes.
struct CrashDecisionText
{
    std::string operator()(const CrashConviction &conviction) const
    {
        std::ostringstream text;
        text << "requests refused for crashes, features=" << std::hex;
        for (std::size_t n = 0; n < conviction.features.size(); ++n) {
            text << (n > 0 ? "," : "") << conviction.features[n];
        }
        text << std::dec << " crashes=" << conviction.crashes << " known=" << conviction.crashesKnown;
        return text.str();
    }
    std::string operator()(const CrashAcquittal &acquittal) const
    {
        std::ostringstream text;
        text << "feature cleared of crashes, feature=" << std::hex << acquittal.feature;
        return text.str();
    }
};

} // namespace internal

asio::awaitable<void> MachinesPlatformServices::reportLoop()
{
    while (!m_stopped) {
        logCrashDecisions();
        updateFleetClock();
        const auto now = m_dependencies.clock.now();
        const auto hosts = m_addressBook.countResponsive(now) + 1;
        m_directory->setHosts(hosts);
        const bool reachChanged = updateReach();
        const auto receivers = m_reportSchedule.next(hosts, {m_directory->reads(), m_duties && m_duties->fence() != 0}, now);
        if (receivers == ReportReceivers::AllHosts || reachChanged) {
            sendReport();
        } else if (const auto holder = m_reportSchedule.dutyHolder(now); receivers == ReportReceivers::DutyHolder && holder) {
            m_peers->sendReportTo(makeReport(), *holder);
            for (auto &it : makeEvidenceReports()) {
                m_peers->sendReportTo(std::move(it), *holder);
            }
        }
        co_await sleepFor(ReportSchedule::interval);
    }
}

bool MachinesPlatformServices::updateReach()
{
    auto pools = m_requestPath->driver().withScheduler([](const RequestScheduler &scheduler, SteadyTime now) { return scheduler.unreachablePools(now); });
    if (pools == m_unreachablePools) {
        return false;
    }
    const auto text = "reach of pools changed, unreachable=" + std::to_string(pools.size()) + " before=" + std::to_string(m_unreachablePools.size());
    logEvent(LogLevel::Warning, "http:", {}, text);
    m_unreachablePools = std::move(pools);
    return true;
}

void MachinesPlatformServices::logCrashDecisions()
{
    const auto decisions =
        m_requestPath->driver().withScheduler([](RequestScheduler &scheduler, SteadyTime /*now*/) { return scheduler.crashEvidence().takeDecisions(); });
    for (const auto &it : decisions) {
        logEvent(LogLevel::Warning, "http:", {}, std::visit(internal::CrashDecisionText(), it));
    }
}

bool MachinesPlatformServices::hasSlowLink() const
{
    return m_dependencies.settings.host.linkMbit < internal::minFastLinkMbit;
}

HostReport MachinesPlatformServices::makeReport()
{
    HostReport report;
    report.wall = m_dependencies.clock.wallNow();
    report.slowLink = hasSlowLink();
    report.withoutPlatform = !m_directory->reachesPlatform();
    report.callerPort = m_requestPath->refusing() ? 0 : m_requestPath->endpoint().port();
    if (m_directory->known(DirectoryTable::Document)) {
        report.document = m_directory->knowledge(DirectoryTable::Document);
    }
    if (m_directory->known(DirectoryTable::Upstreams)) {
        report.upstreams = m_directory->knowledge(DirectoryTable::Upstreams);
    }
    m_requestPath->driver().withScheduler([&](RequestScheduler &scheduler, SteadyTime schedulerNow) {
        report.work = scheduler.localWork();
        report.engineDemand = scheduler.engineDemand(schedulerNow);
        report.unreachablePools = scheduler.unreachablePools(schedulerNow);
        report.crashes.verdicts = scheduler.crashEvidence().knowledge(schedulerNow).verdicts;
    });
    if (m_duties) {
        m_duties->onOwnTime(report.wall);
        report.windows = m_duties->ownCounts();
        report.reportedUpTo = m_duties->reportedUpTo();
        report.reportSentUpTo = m_duties->reportSentUpTo();
        report.dutyFence = m_duties->fence();
    }
    return report;
}

std::vector<HostReport> MachinesPlatformServices::makeEvidenceReports()
{
    HostReport crashes;
    HostReport limits;
    m_requestPath->driver().withScheduler([&](RequestScheduler &scheduler, SteadyTime now) {
        crashes.crashes = scheduler.crashEvidence().knowledge(now);
        limits.rateLimits = scheduler.rateLimitNews(now);
    });
    crashes.crashes.verdicts.clear();
    std::vector<HostReport> reports;
    if (!crashes.crashes.crashes.empty() || !crashes.crashes.survivals.empty()) {
        reports.push_back(std::move(crashes));
    }
    if (!limits.rateLimits.empty()) {
        reports.push_back(std::move(limits));
    }
    for (auto &it : reports) {
        it.evidenceOnly = true;
    }
    return reports;
}

void MachinesPlatformServices::sendReport()
{
    const auto addresses = m_addressBook.addresses(m_dependencies.clock.now());
    for (auto &it : m_directory->changeReports()) {
        m_peers->sendReport(std::move(it), addresses);
    }
    m_peers->sendReport(makeReport(), addresses);
    for (auto &it : makeEvidenceReports()) {
        m_peers->sendReport(std::move(it), addresses);
    }
}

void MachinesPlatformServices::onReport(const Member &from, const HostReport &report)
{
    if (report.evidenceOnly) {
        m_requestPath->driver().withScheduler([&](RequestScheduler &scheduler, SteadyTime now) {
            scheduler.onPeerCrashes(report.crashes, now);
            scheduler.onPeerRateLimits(report.rateLimits, now);
        });
        return;
    }
    m_directory->onReport(from, report);
    if (report.changesOnly) {
        return;
    }
    m_addressBook.updateFromReport(from.id, from.address, report.slowLink, m_dependencies.clock.now());
    if (report.dutyFence != 0) {
        m_reportSchedule.onDutyHolder(from.address, report.dutyFence, m_dependencies.clock.now());
    }
    if (m_duties) {
        m_duties->onReport(from.id, from.incarnation, report);
    }
    m_requestPath->driver().withScheduler([&](RequestScheduler &scheduler, SteadyTime now) {
        scheduler.onPeerWork(from.id, report.work, report.engineDemand, now);
        scheduler.onPeerCrashes(report.crashes, now);
        scheduler.relayTargets().onReport(from.id, internal::relayCandidate(from, report, m_dependencies.settings.host.regions), now);
    });
}

} // namespace guavafield
