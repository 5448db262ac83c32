// Datagrams in packed Cap'n Proto and the checks on what they contain.
#include <guavafield/protocol/peer/peer_codec.hpp>

#include <guavafield/protocol/peer/peer.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace guavafield {

namespace {

constexpr std::uint8_t datagramFormat = 1;
// Separates the authentication of datagrams from other uses of the fleet secret.
constexpr std::string_view codeContext = "guavafield datagram 1:";
// Packing can unfold a small datagram to a large message; a genuine one has fewer words than this.
constexpr std::uint64_t maxMessageWords = 2048;
constexpr std::size_t maxIdBytes = 64;
constexpr std::size_t maxListItems = 64;

std::uint32_t toWire(Milliseconds age)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

void write(const Member &member, wire::Member::Builder builder)
{
    builder.setId(member.id);
    if (!member.dataCentre.empty()) {
        builder.setDataCentre(member.dataCentre);
    }
    builder.setIncarnation(member.incarnation);
    builder.setRevision(member.revision);
    builder.setAddressHigh(member.address.high);
    builder.setAddressLow(member.address.low);
    builder.setPort(member.address.port);
    builder.setRefutation(member.refutation);
    builder.setState(static_cast<std::uint8_t>(member.state));
}

void write(const DemandReport &report, wire::DemandReport::Builder builder)
{
    builder.setHost(report.host);
    builder.setAgeMs(toWire(report.age));
    auto teams = builder.initTeams(static_cast<unsigned>(report.teams.size()));
    for (unsigned n = 0; n < teams.size(); ++n) {
        teams[n].setTeam(report.teams[n].team);
        teams[n].setTokensPerSecond(static_cast<float>(report.teams[n].tokensPerSecond));
    }
}

void writeLists(const PeerMessage &message, wire::Datagram::Builder builder)
{
    if (!message.updates.empty()) {
        auto list = builder.initUpdates(static_cast<unsigned>(message.updates.size()));
        for (unsigned n = 0; n < list.size(); ++n) {
            write(message.updates[n], list[n]);
        }
    }
    if (!message.withdrawals.empty()) {
        auto list = builder.initWithdrawals(static_cast<unsigned>(message.withdrawals.size()));
        for (unsigned n = 0; n < list.size(); ++n) {
            list.set(n, message.withdrawals[n].c_str());
        }
    }
    if (!message.crashes.empty()) {
        auto list = builder.initCrashes(static_cast<unsigned>(message.crashes.size()));
        for (unsigned n = 0; n < list.size(); ++n) {
            const auto &fingerprint = message.crashes[n].fingerprint;
            list[n].setFingerprint(kj::arrayPtr(fingerprint.data(), fingerprint.size()));
            list[n].setRemainingMs(toWire(message.crashes[n].remaining));
        }
    }
    if (!message.demand.empty()) {
        auto list = builder.initDemand(static_cast<unsigned>(message.demand.size()));
        for (unsigned n = 0; n < list.size(); ++n) {
            write(message.demand[n], list[n]);
        }
    }
}

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

void write(const HostReport &report, wire::HostReport::Builder builder)
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

void write(const PeerMessage &message, wire::Datagram::Builder builder)
{
    builder.setFormat(datagramFormat);
    builder.setKind(static_cast<std::uint8_t>(message.kind));
    builder.setProbe(message.probe);
    builder.setCounter(message.counter);
    builder.setRecipient(message.recipient);
    builder.setTargetHigh(message.target.high);
    builder.setTargetLow(message.target.low);
    builder.setTargetPort(message.target.port);
    builder.setTargetTag(message.targetTag);
    if (message.newestRevision) {
        builder.setHasRevision(true);
        builder.setRevision(message.newestRevision->revision);
        builder.setRevisionAgeMs(toWire(message.newestRevision->age));
    }
    if (!message.cursor.empty()) {
        builder.setCursor(message.cursor);
    }
    if (message.report) {
        write(*message.report, builder.initReport());
    }
    write(message.self, builder.initSelf());
    writeLists(message, builder);
}

void require(bool holds, const char *fault)
{
    if (!holds) {
        throw std::invalid_argument(fault);
    }
}

std::string readId(capnp::Text::Reader text, bool required, const char *place)
{
    const bool printable = std::ranges::all_of(text, [](char it) { return it > ' ' && it < 0x7F; });
    require(printable && text.size() <= maxIdBytes && (text.size() > 0 || !required), place);
    return {text.begin(), text.size()};
}

template <typename List>
List limited(List list)
{
    require(list.size() <= maxListItems, "list is too long");
    return list;
}

Member readMember(wire::Member::Reader reader)
{
    require(reader.getState() <= static_cast<std::uint8_t>(MemberState::Dead), "unknown state");
    Member member;
    member.id = readId(reader.getId(), true, "invalid id");
    member.address = {reader.getAddressHigh(), reader.getAddressLow(), reader.getPort()};
    member.dataCentre = readId(reader.getDataCentre(), member.address.port != 0, "invalid dataCentre");
    member.incarnation = reader.getIncarnation();
    member.refutation = reader.getRefutation();
    member.state = static_cast<MemberState>(reader.getState());
    member.revision = reader.getRevision();
    return member;
}

Member readSelf(wire::Member::Reader reader)
{
    auto self = readMember(reader);
    require(self.address.port != 0, "the sender gives no address");
    require(self.state == MemberState::Alive || self.state == MemberState::Leaving, "the sender gives no state of its own");
    return self;
}

DemandReport readDemand(wire::DemandReport::Reader reader)
{
    DemandReport report{readId(reader.getHost(), true, "invalid host"), Milliseconds(reader.getAgeMs()), {}};
    for (const auto it : limited(reader.getTeams())) {
        const double rate = it.getTokensPerSecond();
        require(std::isfinite(rate) && rate >= 0, "demand is not a positive number");
        report.teams.push_back({readId(it.getTeam(), true, "invalid team"), rate});
    }
    return report;
}

Digest readFingerprint(capnp::Data::Reader bytes)
{
    Digest fingerprint{};
    require(bytes.size() == fingerprint.size(), "fingerprint has a wrong size");
    std::ranges::copy(bytes, fingerprint.begin());
    return fingerprint;
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

CrashRecord readCrash(wire::CrashRecord::Reader reader)
{
    CrashRecord record;
    record.fingerprint = readFingerprint(reader.getFingerprint());
    record.remaining = Milliseconds(reader.getRemainingMs());
    return record;
}

PeerMessage readMessage(wire::Datagram::Reader reader)
{
    require(reader.getFormat() == datagramFormat, "unknown format");
    require(reader.getKind() < static_cast<std::uint8_t>(PeerMessageKind::Count), "unknown kind");
    PeerMessage message;
    message.kind = static_cast<PeerMessageKind>(reader.getKind());
    message.self = readSelf(reader.getSelf());
    message.counter = reader.getCounter();
    message.recipient = reader.getRecipient();
    message.probe = reader.getProbe();
    message.target = {reader.getTargetHigh(), reader.getTargetLow(), reader.getTargetPort()};
    message.targetTag = reader.getTargetTag();
    message.cursor = readId(reader.getCursor(), false, "invalid cursor");
    if (reader.getHasRevision()) {
        message.newestRevision = KnownRevision{reader.getRevision(), Milliseconds(reader.getRevisionAgeMs())};
    }
    require(reader.hasReport() == (message.kind == PeerMessageKind::Report), "a report is missing or not expected");
    if (reader.hasReport()) {
        message.report = readReport(reader.getReport());
    }
    for (const auto it : limited(reader.getUpdates())) {
        message.updates.push_back(readMember(it));
    }
    for (const auto it : limited(reader.getWithdrawals())) {
        message.withdrawals.push_back(readId(it, true, "invalid withdrawals"));
    }
    for (const auto it : limited(reader.getCrashes())) {
        message.crashes.push_back(readCrash(it));
    }
    for (const auto it : limited(reader.getDemand())) {
        message.demand.push_back(readDemand(it));
    }
    return message;
}

} // namespace

Result<std::vector<std::uint8_t>> PeerCodec::encode(const PeerMessage &message) const
{
    if (message.report.has_value() != (message.kind == PeerMessageKind::Report)) {
        return fail(ResultCode::PeerMessageInvalid, "a report is missing or not expected");
    }
    capnp::word scratch[256] = {};
    capnp::MallocMessageBuilder builder(kj::ArrayPtr<capnp::word>(scratch, 256));
    write(message, builder.initRoot<wire::Datagram>());
    const auto limit = message.kind == PeerMessageKind::Report ? maxReportBytes : maxDatagramBytes;
    kj::VectorOutputStream packed(limit);
    capnp::writePackedMessage(packed, builder);
    const auto content = packed.getArray();
    if (content.size() + codeBytes > limit) {
        return fail(ResultCode::PeerMessageInvalid, "the datagram is too large");
    }
    const auto digest = code({content.begin(), content.size()});
    std::vector<std::uint8_t> datagram(digest.begin(), digest.begin() + codeBytes);
    datagram.insert(datagram.end(), content.begin(), content.end());
    return datagram;
}

Result<PeerMessage> PeerCodec::decode(std::span<const std::uint8_t> datagram) const
{
    if (datagram.size() <= codeBytes || datagram.size() > maxReportBytes) {
        return fail(ResultCode::PeerMessageInvalid, "the datagram has an invalid size");
    }
    const auto content = datagram.subspan(codeBytes);
    const auto digest = code(content);
    if (CRYPTO_memcmp(digest.data(), datagram.data(), codeBytes) != 0) {
        return fail(ResultCode::PeerUnauthenticated, "the authentication code does not match");
    }
    std::string fault;
    try {
        kj::ArrayInputStream packed(kj::arrayPtr(content.data(), content.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = maxMessageWords;
        options.nestingLimit = 8;
        capnp::PackedMessageReader reader(packed, options);
        auto message = readMessage(reader.getRoot<wire::Datagram>());
        require(message.report || datagram.size() <= maxDatagramBytes, "the datagram is too large for its kind");
        return message;
    } catch (const std::exception &error) {
        // Exceptions of Cap'n Proto derive from this as well.
        fault = error.what();
    }
    return fail(ResultCode::PeerMessageInvalid, std::move(fault));
}

Digest PeerCodec::code(std::span<const std::uint8_t> content) const
{
    std::string text(codeContext);
    text.append(reinterpret_cast<const char *>(content.data()), content.size());
    return m_hasher.digest(text);
}

} // namespace guavafield
