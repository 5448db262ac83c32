// Datagrams in packed Cap'n Proto and the checks on what they contain.
#include <guavafield/protocol/peer/peer_codec.hpp>

#include <guavafield/protocol/peer/host_report_codec.hpp>
#include <guavafield/protocol/peer/peer.capnp.h>
#include <guavafield/protocol/peer/wire_values.hpp>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace guavafield {

namespace {

using internal::limited;
using internal::require;
using internal::toWire;

constexpr std::uint8_t datagramFormat = 1;
// Separates the authentication of datagrams from other uses of the fleet secret.
constexpr std::string_view codeContext = "guavafield datagram 1:";
// Packing can unfold a small datagram to a large message; a genuine one has fewer words than this.
constexpr std::uint64_t maxMessageWords = 2048;
constexpr std::size_t maxIdBytes = 64;

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
        internal::writeReport(*message.report, builder.initReport());
    }
    write(message.self, builder.initSelf());
    writeLists(message, builder);
}

std::string readId(capnp::Text::Reader text, bool required, const char *place)
{
    const bool printable = std::ranges::all_of(text, [](char it) { return it > ' ' && it < 0x7F; });
    require(printable && text.size() <= maxIdBytes && (text.size() > 0 || !required), place);
    return {text.begin(), text.size()};
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
        message.report = internal::readReport(reader.getReport());
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
