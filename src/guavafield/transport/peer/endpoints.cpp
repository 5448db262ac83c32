// Byte order and mapping of addresses.
#include <guavafield/transport/peer/endpoints.hpp>

namespace guavafield {

namespace asio = boost::asio;

namespace {

std::uint64_t readWord(const asio::ip::address_v6::bytes_type &bytes, std::size_t first)
{
    std::uint64_t word = 0;
    for (std::size_t n = first; n < first + 8; ++n) {
        word = word << 8U | bytes[n];
    }
    return word;
}

void writeWord(asio::ip::address_v6::bytes_type &bytes, std::size_t first, std::uint64_t word)
{
    for (std::size_t n = first + 8; n > first; --n) {
        bytes[n - 1] = static_cast<unsigned char>(word & 0xFFU);
        word >>= 8U;
    }
}

asio::ip::address_v6 toV6(const PeerAddress &address)
{
    asio::ip::address_v6::bytes_type bytes{};
    writeWord(bytes, 0, address.high);
    writeWord(bytes, 8, address.low);
    return asio::ip::address_v6(bytes);
}

} // namespace

PeerAddress toPeerAddress(const asio::ip::address &address, std::uint16_t port)
{
    const auto v6 = address.is_v4() ? asio::ip::make_address_v6(asio::ip::v4_mapped, address.to_v4()) : address.to_v6();
    const auto bytes = v6.to_bytes();
    return {readWord(bytes, 0), readWord(bytes, 8), port};
}

asio::ip::address toIpAddress(const PeerAddress &address)
{
    const auto v6 = toV6(address);
    return v6.is_v4_mapped() ? asio::ip::address(asio::ip::make_address_v4(asio::ip::v4_mapped, v6)) : asio::ip::address(v6);
}

asio::ip::udp::endpoint toEndpoint(const PeerAddress &address, const asio::ip::udp &family)
{
    return {family == asio::ip::udp::v6() ? asio::ip::address(toV6(address)) : toIpAddress(address), address.port};
}

std::string formatAddress(const PeerAddress &address)
{
    const auto ip = toIpAddress(address);
    const auto text = ip.is_v6() ? "[" + ip.to_string() + "]" : ip.to_string();
    return text + ":" + std::to_string(address.port);
}

bool isUnspecified(const PeerAddress &address)
{
    return toIpAddress(address).is_unspecified();
}

} // namespace guavafield
