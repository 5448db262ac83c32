// Defines all settings of the daemon.
#include <guavafield/protocol/settings/settings_table.hpp>

#include <guavafield/state/key_hasher.hpp>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <limits>
#include <vector>

namespace guavafield {

namespace internal {

constexpr std::uint64_t maxPort = 65'535;
// One day; a longer time is most likely given in the wrong unit.
constexpr std::uint64_t maxMilliseconds = 86'400'000;
constexpr double maxLinkMbit = 1e6;
constexpr std::uint64_t mebibyte = std::uint64_t{1024} * 1024;
constexpr std::array<std::string_view, 4> logLevelNames{"debug", "info", "warning", "error"};

bool isAddress(std::string_view text)
{
    boost::system::error_code ec;
    boost::asio::ip::make_address(std::string(text), ec);
    return !ec;
}

bool isIdentifier(std::string_view text)
{
    return !text.empty()
        && std::ranges::all_of(text, [](char it) { return std::isalnum(static_cast<unsigned char>(it)) != 0 || it == '-' || it == '_' || it == '.'; });
}

template <typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size();
}

bool parseSocketAddress(std::string_view text, SocketAddress &result)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    auto address = text.substr(0, colon);
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
    }
    result.address = std::string(address);
    return isAddress(address) && parseNumber(text.substr(colon + 1), result.port) && result.port != 0;
}

bool splitSocketAddresses(std::string_view text, std::vector<SocketAddress> &result)
{
    while (!text.empty()) {
        const auto comma = text.find(',');
        auto part = text.substr(0, comma);
        part.remove_prefix(std::min(part.find_first_not_of(' '), part.size()));
        part = part.substr(0, part.find_last_not_of(' ') + 1);
        if (!parseSocketAddress(part, result.emplace_back())) {
            return false;
        }
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return true;
}

// Each row function takes an accessor that returns a reference to the member.
template <typename Member>
SettingInfo textRow(std::string_view section, std::string_view key, SettingKind kind, bool required, std::string_view description, Member member)
{
    const auto assign = [kind, member](DaemonSettings &settings, std::string_view value) {
        if ((kind == SettingKind::Identifier && !isIdentifier(value)) || (kind == SettingKind::Address && !isAddress(value))) {
            return false;
        }
        member(settings) = std::string(value);
        return true;
    };
    const auto format = [member](const DaemonSettings &settings) { return member(settings); };
    return {section, key, kind, {}, 0, 0, required, description, assign, format};
}

template <typename Member>
SettingInfo integerRow(std::string_view section,
                       std::string_view key,
                       std::string_view unit,
                       std::uint64_t minimum,
                       std::uint64_t maximum,
                       std::string_view description,
                       Member member)
{
    const auto assign = [member](DaemonSettings &settings, std::string_view value) { return parseNumber(value, member(settings)); };
    const auto format = [member](const DaemonSettings &settings) { return std::to_string(member(settings)); };
    const auto kind = unit.empty() && maximum == maxPort ? SettingKind::Port : SettingKind::Integer;
    return {section, key, kind, unit, minimum, maximum, false, description, assign, format};
}

template <typename Member>
SettingInfo timeRow(std::string_view section, std::string_view key, std::uint64_t minimum, std::string_view description, Member member)
{
    const auto assign = [member](DaemonSettings &settings, std::string_view value) {
        Milliseconds::rep number = 0;
        const bool valid = parseNumber(value, number);
        member(settings) = Milliseconds{number};
        return valid;
    };
    const auto format = [member](const DaemonSettings &settings) { return std::to_string(member(settings).count()); };
    return {section, key, SettingKind::Integer, "ms", minimum, maxMilliseconds, false, description, assign, format};
}

// Sets the address shared by all listeners and one port.
template <typename Port>
SettingInfo listenRow(std::string_view key, std::string_view description, Port port)
{
    const auto assign = [port](DaemonSettings &settings, std::string_view value) {
        SocketAddress address;
        const bool valid = parseSocketAddress(value, address);
        settings.listen.address = address.address;
        port(settings) = address.port;
        return valid;
    };
    const auto format = [](const DaemonSettings &) { return std::string(); };
    return {"listen", key, SettingKind::SocketAddresses, {}, 0, 0, false, description, assign, format};
}

SettingInfo platformKindRow()
{
    constexpr std::array<std::string_view, 2> names{"own", "machines"};
    const auto assign = [names](DaemonSettings &settings, std::string_view value) {
        const auto it = std::ranges::find(names, value);
        settings.platform.kind = it == names.begin() ? PlatformKind::Own : PlatformKind::Machines;
        return it != names.end();
    };
    const auto format = [names](const DaemonSettings &settings) { return std::string(names[static_cast<std::size_t>(settings.platform.kind)]); };
    return {"platform", "kind", SettingKind::PlatformKind, {}, 0, 0, false, "interface of the platform", assign, format};
}

SettingInfo platformEndpointRow()
{
    const auto assign = [](DaemonSettings &settings, std::string_view value) {
        SocketAddress address;
        const bool valid = parseSocketAddress(value, address);
        settings.platform.address = address.address;
        settings.platform.port = address.port;
        return valid;
    };
    const auto format = [](const DaemonSettings &) { return std::string(); };
    return {"platform", "endpoint", SettingKind::SocketAddresses, {}, 0, 0, false, "address and port of the platform in one", assign, format};
}

SettingInfo dutiesRow()
{
    const auto assign = [](DaemonSettings &settings, std::string_view value) { return parseSocketAddress(value, settings.platform.dutyEndpoint); };
    const auto format = [](const DaemonSettings &) { return std::string(); };
    return {"platform", "duties", SettingKind::SocketAddresses, {}, 0, 0, false, "machines: where usage reports and orders go", assign, format};
}

SettingInfo gracePeriodRow()
{
    // Fraction of the grace period for which the load balancer may still send connections, and the time reserved at its end for a clean exit.
    constexpr double listenerCloseFraction = 0.4;
    static constexpr Milliseconds exitReserve{700};
    const auto assign = [](DaemonSettings &settings, std::string_view value) {
        double seconds = 0;
        const bool valid = parseNumber(value, seconds) && seconds >= 1 && seconds * 1'000 <= maxMilliseconds;
        const Milliseconds grace{static_cast<Milliseconds::rep>(seconds * 1'000)};
        settings.shutdown.shutdownTimeout = grace - exitReserve;
        settings.shutdown.listenerCloseDelay = Milliseconds{static_cast<Milliseconds::rep>(seconds * 1'000 * listenerCloseFraction)};
        return valid;
    };
    const auto format = [](const DaemonSettings &) { return std::string(); };
    return {"shutdown", "grace_s", SettingKind::FractionalSeconds, "s", 0, 0, false, "time from SIGTERM to SIGKILL; sets the two other times", assign, format};
}

// Entries of the form name:region, separated by commas.
bool parseRegions(std::string_view text, StringMap<RegionId> &regions)
{
    regions.clear();
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto entry = text.substr(0, comma);
        const auto colon = entry.find(':');
        if (colon == std::string_view::npos || !isIdentifier(entry.substr(0, colon)) || !isIdentifier(entry.substr(colon + 1))) {
            return false;
        }
        regions[std::string(entry.substr(0, colon))] = std::string(entry.substr(colon + 1));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return true;
}

SettingInfo regionsRow()
{
    const auto assign = [](DaemonSettings &settings, std::string_view value) { return parseRegions(value, settings.host.regions); };
    const auto format = [](const DaemonSettings &) { return std::string(); };
    return {"host",
            "data_centre_regions",
            SettingKind::Text,
            {},
            0,
            0,
            false,
            "region of each data centre, as name:region, separated by commas; requests with home regions go to data centres named here only",
            assign,
            format};
}

SettingInfo linkRow()
{
    const auto assign = [](DaemonSettings &settings, std::string_view value) {
        return parseNumber(value, settings.host.linkMbit) && settings.host.linkMbit > 0 && settings.host.linkMbit <= maxLinkMbit;
    };
    const auto format = [](const DaemonSettings &settings) { return std::to_string(static_cast<std::uint64_t>(settings.host.linkMbit)); };
    return {"host",
            "link_mbit",
            SettingKind::PositiveNumber,
            "Mbit/s",
            0,
            0,
            false,
            "speed of the network link; hosts with slow links leave work for the whole fleet to others",
            assign,
            format};
}

SettingInfo seedsRow()
{
    const auto assign = [](DaemonSettings &settings, std::string_view value) {
        settings.peers.seeds.clear();
        return splitSocketAddresses(value, settings.peers.seeds);
    };
    const auto format = [](const DaemonSettings &) { return std::string(); };
    return {"peers", "seeds", SettingKind::SocketAddresses, {}, 0, 0, false, "hosts to learn the others from", assign, format};
}

SettingInfo tokenRow()
{
    const auto assign = [](DaemonSettings &settings, std::string_view value) {
        settings.operators.tokenDigest = digestFromHex(value);
        return settings.operators.tokenDigest.has_value();
    };
    const auto format = [](const DaemonSettings &) { return std::string(); };
    return {"operators", "token_digest", SettingKind::HexDigest, {}, 0, 0, false, "HMAC-SHA-256 of the operator token under the fleet secret", assign, format};
}

SettingInfo logRow()
{
    const auto assign = [](DaemonSettings &settings, std::string_view value) {
        const auto it = std::ranges::find(logLevelNames, value);
        settings.log.level = static_cast<LogThreshold>(it - logLevelNames.begin());
        return it != logLevelNames.end();
    };
    const auto format = [](const DaemonSettings &settings) { return std::string(logLevelNames[static_cast<std::size_t>(settings.log.level)]); };
    return {"log", "level", SettingKind::LogLevel, {}, 0, 0, false, "least severity of the lines on standard output", assign, format};
}

// Accessor for a member; returns a const reference for const settings.
#define GUAVAFIELD_MEMBER(path) ([](auto &settings) -> auto & { return settings.path; })

std::vector<SettingInfo> makeTable()
{
    using enum SettingKind;
    return {
        textRow("host", "id", Identifier, true, "unique name of this host", GUAVAFIELD_MEMBER(host.id)),
        textRow("host", "data_centre", Identifier, true, "data centre of this host", GUAVAFIELD_MEMBER(host.dataCentre)),
        textRow("host", "region", Identifier, false, "region of the data centre", GUAVAFIELD_MEMBER(host.region)),
        regionsRow(),
        integerRow("host", "threads", {}, 1, 64, "I/O threads", GUAVAFIELD_MEMBER(host.threads)),
        linkRow(),
        textRow("host", "fleet_secret", Text, false, "secret of the fleet; either this or fleet_secret_file", GUAVAFIELD_MEMBER(host.fleetSecret)),
        textRow("host", "fleet_secret_file", Text, false, "file whose first line is the secret of the fleet", GUAVAFIELD_MEMBER(host.fleetSecretFile)),
        textRow("listen", "address", Address, false, "address of the listeners", GUAVAFIELD_MEMBER(listen.address)),
        integerRow("listen", "caller_port", {}, 0, maxPort, "port for callers; 0 lets the system choose", GUAVAFIELD_MEMBER(listen.callerPort)),
        integerRow("listen", "operator_port", {}, 0, maxPort, "port for operators and metrics", GUAVAFIELD_MEMBER(listen.operatorPort)),
        integerRow("listen", "peer_port", {}, 0, maxPort, "port for peers, UDP and TCP", GUAVAFIELD_MEMBER(listen.peerPort)),
        listenRow(
            "callers", "address and port for callers in one", [](DaemonSettings & it) -> auto & { return it.listen.callerPort; }),
        listenRow(
            "operators", "address and port for operators in one", [](DaemonSettings & it) -> auto & { return it.listen.operatorPort; }),
        listenRow(
            "peers", "address and port for peers in one", [](DaemonSettings & it) -> auto & { return it.listen.peerPort; }),
        textRow("listen", "ready_path", Text, false, "path of the readiness check, besides /readyz", GUAVAFIELD_MEMBER(listen.readyPath)),
        integerRow("limits", "header_bytes", "bytes", 1024, mebibyte, "size of a request header", GUAVAFIELD_MEMBER(limits.headerBytes)),
        integerRow("limits", "body_bytes", "bytes", 1024, 1024 * mebibyte, "size of a request body", GUAVAFIELD_MEMBER(limits.bodyBytes)),
        integerRow("limits", "answer_bytes", "bytes", 1024, 4096 * mebibyte, "size of an answer that is not streamed", GUAVAFIELD_MEMBER(limits.responseBytes)),
        integerRow("limits",
                   "held_answer_bytes",
                   "bytes",
                   1024,
                   65536 * mebibyte,
                   "size of all such answers and of parts of events at once; one may take as much as it leaves free",
                   GUAVAFIELD_MEMBER(limits.heldAnswerBytes)),
        integerRow("limits",
                   "held_request_bytes",
                   "bytes",
                   1024,
                   65536 * mebibyte,
                   "memory of all requests that are received or run, with their copies; one may take as much as it leaves free",
                   GUAVAFIELD_MEMBER(limits.heldRequestBytes)),
        integerRow("limits",
                   "memory_mb",
                   "MB",
                   0,
                   16'777'216,
                   "memory of the machine, a quarter of which bounds held_request_bytes; 0: not known",
                   GUAVAFIELD_MEMBER(limits.memoryMegabytes)),
        integerRow("limits",
                   "descriptors",
                   {},
                   0,
                   16'777'216,
                   "file descriptors of the process, which bound callers' connections; 0: not known",
                   GUAVAFIELD_MEMBER(limits.descriptors)),
        integerRow("limits", "connections", "connections", 1, 1'000'000, "callers' connections at once", GUAVAFIELD_MEMBER(limits.connections)),
        integerRow("limits", "requests", "requests", 1, 1'000'000, "requests in flight at once, streams included", GUAVAFIELD_MEMBER(limits.requests)),
        timeRow("limits", "request_time_ms", 1, "time for a whole request to arrive", GUAVAFIELD_MEMBER(limits.requestTimeout)),
        timeRow("limits", "answer_time_ms", 1, "time for the whole answer of a model", GUAVAFIELD_MEMBER(limits.responseTimeout)),
        timeRow("limits", "idle_time_ms", 1, "time between two requests on a connection", GUAVAFIELD_MEMBER(limits.keepAliveTimeout)),
        timeRow("limits", "write_time_ms", 1, "time a caller may take to accept a piece of the answer", GUAVAFIELD_MEMBER(limits.writeTimeout)),
        timeRow("upstream", "connect_time_ms", 1, "time for a connection to an upstream", GUAVAFIELD_MEMBER(upstream.tcpConnectTimeout)),
        timeRow("upstream", "silence_time_ms", 1, "time without a byte from an upstream", GUAVAFIELD_MEMBER(upstream.readTimeout)),
        timeRow("upstream", "load_poll_interval_ms", 10, "time between two reads of an upstream's load", GUAVAFIELD_MEMBER(upstream.loadPollInterval)),
        platformKindRow(),
        platformEndpointRow(),
        dutiesRow(),
        timeRow("platform",
                "holder_gap_ms",
                0,
                "machines: least time between the calls of two holders of the duties",
                GUAVAFIELD_MEMBER(platform.dutyHandoverDelay)),
        integerRow("platform", "usage_window_s", "s", 1, 86'400, "machines: length of a billing window", GUAVAFIELD_MEMBER(platform.usageWindowSeconds)),
        integerRow("platform", "first_start", {}, 0, 1, "machines: 1 when the whole system starts for the first time", GUAVAFIELD_MEMBER(platform.firstStart)),
        textRow("platform", "address", Address, false, "address of the platform; absent: run without it", GUAVAFIELD_MEMBER(platform.address)),
        integerRow("platform", "port", {}, 1, maxPort, "port of the platform", GUAVAFIELD_MEMBER(platform.port)),
        seedsRow(),
        tokenRow(),
        timeRow("shutdown", "listen_time_ms", 0, "time the listeners stay open for the load balancer", GUAVAFIELD_MEMBER(shutdown.listenerCloseDelay)),
        gracePeriodRow(),
        timeRow("shutdown", "stop_limit_ms", 0, "longest time of a graceful shutdown", GUAVAFIELD_MEMBER(shutdown.shutdownTimeout)),
        logRow(),
    };
}

#undef GUAVAFIELD_MEMBER

} // namespace internal

std::span<const SettingInfo> settingsTable()
{
    static const auto table = internal::makeTable();
    return table;
}

bool parseSocketAddresses(std::string_view text, std::vector<SocketAddress> &result)
{
    return internal::splitSocketAddresses(text, result);
}

std::string describeRange(const SettingInfo &info)
{
    switch (info.kind) {
    case SettingKind::Text:
        return "text";
    case SettingKind::Identifier:
        return "letters, digits, `-`, `_`, `.`";
    case SettingKind::Address:
        return "IP address";
    case SettingKind::SocketAddresses:
        return "address:port, separated by commas";
    case SettingKind::HexDigest:
        return "64 hexadecimal digits";
    case SettingKind::PlatformKind:
        return "own, machines";
    case SettingKind::FractionalSeconds:
        return "at least 1, fractions allowed";
    case SettingKind::PositiveNumber:
        return "above 0, fractions allowed";
    case SettingKind::LogLevel:
        return "debug, info, warning, error";
    case SettingKind::Integer:
    case SettingKind::Port:
        break;
    }
    return std::to_string(info.minimum) + " to " + std::to_string(info.maximum);
}

std::string formatSettingsTable()
{
    const DaemonSettings defaults;
    std::string text = "| section | key | unit | range | default | meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const auto &it : settingsTable()) {
        const auto defaultText = it.required ? std::string("required") : it.format(defaults);
        text.append("| ").append(it.section).append(" | ").append(it.key).append(" | ").append(it.unit);
        text.append(" | ").append(describeRange(it)).append(" | ").append(defaultText);
        text.append(" | ").append(it.description).append(" |\n");
    }
    return text;
}

} // namespace guavafield
