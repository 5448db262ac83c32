// Settings of the daemon with their defaults.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavafield {

/*! @brief An IP address and a port. */
struct SocketAddress
{
    std::string address;
    std::uint16_t port{0};

    friend bool operator==(const SocketAddress &, const SocketAddress &) = default;
};

struct HostSettings
{
    HostId id;
    DataCentreId dataCentre;
    std::string region;
    std::uint32_t threads{4};
    double linkMbit{1'000};
    // Region of each data centre, as far as it is known.
    StringMap<RegionId> regions;
    // Secret for the digests of API keys and for authenticating peers; set directly or read from fleetSecretFile.
    std::string fleetSecret;
    std::string fleetSecretFile;
};

struct ListenSettings
{
    std::string address{"0.0.0.0"};
    // With port 0 the operating system chooses a free port.
    std::uint16_t callerPort{8080};
    std::uint16_t operatorPort{8081};
    std::uint16_t peerPort{8082};
    // Path of the load balancer's readiness check on the operator port, in addition to /readyz.
    std::string readyPath{"/readyz"};
};

struct LimitSettings
{
    std::uint32_t headerBytes{16 * 1024};
    std::uint64_t bodyBytes{8ULL * 1024 * 1024};
    std::uint64_t responseBytes{64ULL * 1024 * 1024};
    // Of all answers that are being collected, as they are not streamed, and of all events that have not arrived completely.
    std::uint64_t heldAnswerBytes{256ULL * 1024 * 1024};
    // Of all requests that are being received or run, with their copies for attempts.
    std::uint64_t heldRequestBytes{256ULL * 1024 * 1024};
    // Memory of the machine; 0 if it is not known. A quarter of it bounds heldRequestBytes.
    std::uint64_t memoryMegabytes{0};
    // File descriptors that the process may have; 0 if it is not known. A part of them bounds the connections.
    std::size_t descriptors{0};
    std::size_t connections{4096};
    std::size_t requests{2048};
    // From the first byte of a request until it has arrived completely.
    Milliseconds requestTimeout{30'000};
    // For a model's complete response.
    Milliseconds responseTimeout{600'000};
    // Longest idle time between two requests on a connection.
    Milliseconds keepAliveTimeout{75'000};
    // Longest time without progress when writing to the caller.
    Milliseconds writeTimeout{30'000};
};

struct UpstreamSettings
{
    Milliseconds tcpConnectTimeout{1'000};
    // Longest time without receiving a byte from the upstream.
    Milliseconds readTimeout{60'000};
    Milliseconds loadPollInterval{1'000};
};

/*! @brief Interface of the platform that the hosts run on. */
enum class PlatformKind : std::uint8_t {
    // Guavafield's own table service.
    Own,
    // The machines platform, accessed through the adapter in platform/.
    Machines,
};

struct PlatformSettings
{
    PlatformKind kind{PlatformKind::Own};
    // If empty, the daemon runs without a platform.
    std::string address;
    std::uint16_t port{8090};
    // Machines platform only: endpoint for usage reports and orders; if empty, none are sent.
    SocketAddress dutyEndpoint;
    // Minimum time between the calls of successive duty holders.
    Milliseconds dutyHandoverDelay{3'000};
    std::uint32_t usageWindowSeconds{5};
    // 1 when the whole system starts for the first time, so that no stream can have begun before.
    std::uint32_t firstStart{0};
};

struct PeerSettings
{
    std::vector<SocketAddress> seeds;
};

struct OperatorSettings
{
    // HMAC-SHA-256 of the operator token, keyed with the fleet secret; if empty, operators have no access.
    std::optional<Digest> tokenDigest;
};

struct ShutdownSettings
{
    // How long listeners stay open, since the load balancer may still send new connections.
    Milliseconds listenerCloseDelay{5'000};
    // The daemon exits after this time even if requests are still running.
    Milliseconds shutdownTimeout{120'000};
};

enum class LogThreshold : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

struct LogSettings
{
    LogThreshold level{LogThreshold::Info};
};

/*! @brief All settings of the daemon; the member initializers are the defaults. */
struct DaemonSettings
{
    HostSettings host;
    ListenSettings listen;
    LimitSettings limits;
    UpstreamSettings upstream;
    PlatformSettings platform;
    PeerSettings peers;
    OperatorSettings operators;
    ShutdownSettings shutdown;
    LogSettings log;
};

} // namespace guavafield
