// All settings of the daemon as one value.
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
    // Keys the digests of API keys and authenticates peers; from the settings or from a file.
    std::string fleetSecret;
    std::string fleetSecretFile;
};

struct ListenSettings
{
    std::string address{"0.0.0.0"};
    // Port 0 lets the operating system choose.
    std::uint16_t callerPort{8080};
    std::uint16_t operatorPort{8081};
    std::uint16_t peerPort{8082};
    // Path on the operators' port at which a load balancer asks whether the host is ready, besides /readyz.
    std::string readyPath{"/readyz"};
};

struct LimitSettings
{
    std::uint32_t headerBytes{16 * 1024};
    std::uint64_t bodyBytes{8ULL * 1024 * 1024};
    std::uint64_t responseBytes{64ULL * 1024 * 1024};
    std::size_t connections{4096};
    std::size_t requests{2048};
    // For the whole request to arrive, from its first byte.
    Milliseconds requestTimeout{30'000};
    // For the whole answer of a model.
    Milliseconds responseTimeout{600'000};
    // Between two requests on one connection.
    Milliseconds keepAliveTimeout{75'000};
    // Without progress of a write to the caller.
    Milliseconds writeTimeout{30'000};
};

struct UpstreamSettings
{
    Milliseconds tcpConnectTimeout{1'000};
    // Without a byte from the upstream.
    Milliseconds readTimeout{60'000};
    Milliseconds loadPollInterval{1'000};
};

/*! @brief Which platform the hosts run on. */
enum class PlatformKind : std::uint8_t {
    // The product's own interface.
    Own,
    // The machines' platform, through the adapter in platform/.
    Machines,
};

struct PlatformSettings
{
    PlatformKind kind{PlatformKind::Own};
    // Empty: the daemon runs without the platform.
    std::string address;
    std::uint16_t port{8090};
    // Of the machines' platform: where usage reports and orders go; empty: there are none.
    SocketAddress duties;
    // Least time between the calls of two hosts that hold the duties.
    Milliseconds dutyHandoverDelay{3'000};
    std::uint32_t usageWindowSeconds{5};
};

struct PeerSettings
{
    std::vector<SocketAddress> seeds;
};

struct OperatorSettings
{
    // Digest of the operators' token under the fleet secret; empty: no operator has access.
    std::optional<Digest> tokenDigest;
};

struct ShutdownSettings
{
    // Time during which the load balancer may still send new connections.
    Milliseconds listenerCloseDelay{5'000};
    // The shutdown ends after this time even if requests are still running.
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

/*! @brief The daemon's settings; the member initializers are the defaults. */
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
