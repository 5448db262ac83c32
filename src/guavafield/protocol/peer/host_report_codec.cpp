// Reports of hosts in Cap'n Proto.
#include <guavafield/protocol/peer/host_report_codec.hpp>

#include <guavafield/protocol/peer/wire_values.hpp>

#include <cmath>
#include <span>

namespace guavafield::internal {

namespace {

void write(const std::optional<TableKnowledge> &knowledge, wire::TableKnowledge::Builder builder)
{
    if (knowledge) {
        builder.setKnown(true);
        builder.setAgeMs(toWire(knowledge->age));
        builder.setContent(knowledge->content);
        builder.setComplete(knowledge->complete);
    }
}

void write(std::span<const SurvivalObservation> survivals, capnp::List<wire::FeatureAge>::Builder builder)
{
    for (unsigned n = 0; n < builder.size(); ++n) {
        builder[n].setFeature(survivals[n].feature);
        builder[n].setAgeMs(toWire(survivals[n].age));
    }
}

void write(std::span<const CrashVerdict> verdicts, capnp::List<wire::Verdict>::Builder builder)
{
    for (unsigned n = 0; n < builder.size(); ++n) {
        const auto others = std::span(verdicts[n].features).subspan(1);
        builder[n].setFeature(verdicts[n].features.front());
        builder[n].setAgeMs(toWire(verdicts[n].age));
        auto written = builder[n].initOtherFeatures(static_cast<unsigned>(others.size()));
        for (unsigned k = 0; k < written.size(); ++k) {
            written.set(k, others[k]);
        }
    }
}

void write(const CrashKnowledge &knowledge, wire::HostReport::Builder builder)
{
    auto crashes = builder.initCrashes(static_cast<unsigned>(knowledge.crashes.size()));
    for (unsigned n = 0; n < crashes.size(); ++n) {
        const auto &it = knowledge.crashes[n];
        crashes[n].setUpstream(it.crash.upstream);
        crashes[n].setIncarnation(it.crash.incarnation);
        crashes[n].setAgeMs(toWire(it.age));
        auto suspects = crashes[n].initSuspects(static_cast<unsigned>(it.suspects.size()));
        for (unsigned k = 0; k < suspects.size(); ++k) {
            suspects[k].setRequest(it.suspects[k].request);
            suspects[k].setAnswerBegan(it.suspects[k].answerBegan);
            auto parts = suspects[k].initParts(static_cast<unsigned>(it.suspects[k].parts.size()));
            for (unsigned m = 0; m < parts.size(); ++m) {
                parts.set(m, it.suspects[k].parts[m]);
            }
        }
    }
    write(knowledge.survivals, builder.initSurvivals(static_cast<unsigned>(knowledge.survivals.size())));
    write(knowledge.verdicts, builder.initVerdicts(static_cast<unsigned>(knowledge.verdicts.size())));
}

std::optional<TableKnowledge> readKnowledge(wire::TableKnowledge::Reader reader)
{
    if (!reader.getKnown()) {
        return std::nullopt;
    }
    return TableKnowledge{reader.getContent(), reader.getComplete(), Milliseconds(reader.getAgeMs())};
}

CrashKnowledge readCrashKnowledge(wire::HostReport::Reader reader)
{
    CrashKnowledge knowledge;
    for (const auto it : limited(reader.getCrashes())) {
        auto &crash = knowledge.crashes.emplace_back(CrashObservation{{it.getUpstream(), it.getIncarnation()}, Milliseconds(it.getAgeMs()), {}});
        for (const auto suspect : limited(it.getSuspects())) {
            const auto parts = limited(suspect.getParts());
            auto &added = crash.suspects.emplace_back(CrashSuspect{suspect.getRequest(), {}, suspect.getAnswerBegan()});
            for (const auto part : parts) {
                added.parts.push_back(part);
            }
        }
    }
    for (const auto it : limited(reader.getSurvivals())) {
        knowledge.survivals.push_back({it.getFeature(), Milliseconds(it.getAgeMs())});
    }
    for (const auto it : limited(reader.getVerdicts())) {
        auto &verdict = knowledge.verdicts.emplace_back(CrashVerdict{{it.getFeature()}, Milliseconds(it.getAgeMs())});
        for (const auto feature : limited(it.getOtherFeatures())) {
            verdict.features.push_back(feature);
        }
    }
    return knowledge;
}

} // namespace

void writeReport(const HostReport &report, wire::HostReport::Builder builder)
{
    builder.setWallMicroseconds(std::chrono::duration_cast<std::chrono::microseconds>(report.wall.time_since_epoch()).count());
    builder.setReportedUpTo(report.reportedUpTo);
    builder.setReportSentUpTo(report.reportSentUpTo);
    write(report.document, builder.initDocument());
    write(report.upstreams, builder.initUpstreams());
    builder.setChangesOnly(report.changesOnly);
    builder.setCrashesOnly(report.evidenceOnly);
    builder.setWithoutPlatform(report.withoutPlatform);
    builder.setSlowLink(report.slowLink);
    builder.setDutyFence(report.dutyFence);
    builder.setCallerPort(report.callerPort);
    auto unreachable = builder.initUnreachablePools(static_cast<unsigned>(report.unreachablePools.size()));
    for (unsigned n = 0; n < unreachable.size(); ++n) {
        unreachable.set(n, report.unreachablePools[n]);
    }
    auto relayTo = builder.initRelayTo(static_cast<unsigned>(report.relayTo.size()));
    for (unsigned n = 0; n < relayTo.size(); ++n) {
        relayTo[n].setHigh(report.relayTo[n].high);
        relayTo[n].setLow(report.relayTo[n].low);
        relayTo[n].setPort(report.relayTo[n].port);
    }
    builder.setChangesAfter(report.changesAfter);
    auto changes = builder.initChanges(static_cast<unsigned>(report.changes.size()));
    for (unsigned n = 0; n < changes.size(); ++n) {
        const auto &row = report.changes[n];
        changes[n].setKey(row.key);
        changes[n].setVersion(row.version);
        changes[n].setRemoved(!row.value);
        const auto value = row.value.value_or(std::string());
        changes[n].setValue(kj::arrayPtr(reinterpret_cast<const kj::byte *>(value.data()), value.size()));
    }
    auto work = builder.initWork(static_cast<unsigned>(report.work.size()));
    for (unsigned n = 0; n < work.size(); ++n) {
        work[n].setUpstream(report.work[n].upstream);
        work[n].setWaitingTokens(report.work[n].waitingTokens);
        work[n].setRunning(report.work[n].running);
    }
    auto demand = builder.initEngineDemand(static_cast<unsigned>(report.engineDemand.size()));
    for (unsigned n = 0; n < demand.size(); ++n) {
        const auto &it = report.engineDemand[n];
        demand[n].setPool(it.pool);
        demand[n].setLongMs(it.longMilliseconds);
        demand[n].setOtherMs(it.otherMilliseconds);
        demand[n].setSensitiveStreams(it.sensitiveStreams);
    }
    auto windows = builder.initWindows(static_cast<unsigned>(report.windows.size()));
    for (unsigned n = 0; n < windows.size(); ++n) {
        const auto &counts = report.windows[n].teams;
        windows[n].setWindow(report.windows[n].window);
        auto teams = windows[n].initTeams(static_cast<unsigned>(counts.size()));
        for (unsigned k = 0; k < teams.size(); ++k) {
            teams[k].setTeam(counts[k].team);
            teams[k].setRequests(counts[k].requests);
        }
    }
    write(report.crashes, builder);
    auto limits = builder.initRateLimits(static_cast<unsigned>(report.rateLimits.size()));
    for (unsigned n = 0; n < limits.size(); ++n) {
        const auto &it = report.rateLimits[n];
        limits[n].setUpstream(it.upstream);
        limits[n].setIncarnation(it.incarnation);
        limits[n].setPerSecond(it.perSecond);
        limits[n].setAgeMs(toWire(it.age));
    }
}

HostReport readReport(wire::HostReport::Reader reader)
{
    HostReport report;
    report.wall = WallTime{std::chrono::microseconds{reader.getWallMicroseconds()}};
    report.reportedUpTo = reader.getReportedUpTo();
    report.reportSentUpTo = reader.getReportSentUpTo();
    report.document = readKnowledge(reader.getDocument());
    report.upstreams = readKnowledge(reader.getUpstreams());
    report.changesOnly = reader.getChangesOnly();
    report.evidenceOnly = reader.getCrashesOnly();
    report.withoutPlatform = reader.getWithoutPlatform();
    report.slowLink = reader.getSlowLink();
    report.dutyFence = reader.getDutyFence();
    report.callerPort = reader.getCallerPort();
    for (const auto it : limited(reader.getUnreachablePools())) {
        report.unreachablePools.push_back(it);
    }
    for (const auto it : limited(reader.getRelayTo())) {
        report.relayTo.push_back({it.getHigh(), it.getLow(), it.getPort()});
    }
    report.changesAfter = reader.getChangesAfter();
    for (const auto it : limited(reader.getChanges())) {
        const auto key = it.getKey();
        const auto value = it.getValue();
        auto &row = report.changes.emplace_back(MirroredRow{{key.begin(), key.size()}, it.getVersion(), std::nullopt});
        if (!it.getRemoved()) {
            row.value = std::string(reinterpret_cast<const char *>(value.begin()), value.size());
        }
    }
    for (const auto it : reader.getWork()) {
        report.work.push_back({it.getUpstream(), it.getWaitingTokens(), it.getRunning()});
    }
    for (const auto it : reader.getEngineDemand()) {
        report.engineDemand.push_back({it.getPool(), it.getLongMs(), it.getOtherMs(), it.getSensitiveStreams()});
    }
    for (const auto it : limited(reader.getWindows())) {
        auto &window = report.windows.emplace_back(WindowCounts{it.getWindow(), {}});
        for (const auto team : it.getTeams()) {
            window.teams.push_back({team.getTeam(), team.getRequests()});
        }
    }
    report.crashes = readCrashKnowledge(reader);
    for (const auto it : limited(reader.getRateLimits())) {
        require(it.getPerSecond() >= 0, "rate limit is not a positive number");
        report.rateLimits.push_back({it.getUpstream(), it.getIncarnation(), it.getPerSecond(), Milliseconds(it.getAgeMs())});
    }
    return report;
}

} // namespace guavafield::internal
