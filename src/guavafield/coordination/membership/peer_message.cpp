// Upper bounds of packed Cap'n Proto sizes, so that messages can be filled without encoding them repeatedly.
#include <guavafield/coordination/membership/peer_message.hpp>

#include <xxhash.h>

#include <algorithm>

namespace guavafield {

namespace {

constexpr std::size_t wordBytes = 8;
// A word without zero bytes is encoded as a tag, eight bytes and a run length.
constexpr std::size_t fullWordBytes = 10;
// A near pointer has at most four non-zero bytes, plus the tag.
constexpr std::size_t pointerBytes = 5;
// Authentication code, segment table, root pointer and the fixed-size fields of the message itself.
constexpr std::size_t messageBytes = 16 + 4 + pointerBytes + 62;

std::size_t packedWord(std::uint64_t word) noexcept
{
    std::size_t bytes = 0;
    for (; word != 0; word >>= 8U) {
        bytes += (word & 0xFFU) != 0 ? 1U : 0U;
    }
    return bytes == wordBytes ? fullWordBytes : std::max<std::size_t>(2, bytes + 1);
}

std::size_t packedText(std::size_t size) noexcept
{
    return size == 0 ? 2 : pointerBytes + (size / wordBytes) * fullWordBytes + 1 + size % wordBytes;
}

template <typename Item>
std::size_t packedList(const std::vector<Item> &items) noexcept
{
    std::size_t bytes = items.empty() ? 0 : 2 * pointerBytes;
    for (const auto &it : items) {
        bytes += encodedBound(it);
    }
    return bytes;
}

} // namespace

std::uint64_t recipientTag(const HostId &id, Incarnation incarnation) noexcept
{
    const auto tag = XXH3_64bits_withSeed(id.data(), id.size(), incarnation);
    return tag != 0 ? tag : 1;
}

std::size_t encodedBound(const Member &member) noexcept
{
    return packedText(member.id.size()) + packedText(member.dataCentre.size()) + packedWord(member.incarnation) + packedWord(member.revision)
        + packedWord(member.address.high) + packedWord(member.address.low) + wordBytes;
}

std::size_t encodedBound(const KeyId &key) noexcept
{
    return packedText(key.size());
}

std::size_t encodedBound(const CrashRecord &record) noexcept
{
    return packedText(record.fingerprint.size()) + 6;
}

std::size_t encodedBound(const DemandReport &report) noexcept
{
    auto bytes = packedText(report.host.size()) + 6 + 2 * pointerBytes;
    for (const auto &it : report.teams) {
        bytes += packedText(it.team.size()) + 5;
    }
    return bytes;
}

std::size_t encodedBound(const PeerMessage &message) noexcept
{
    return messageBytes + encodedBound(message.self) + packedWord(message.target.high) + packedWord(message.target.low) + packedWord(message.targetTag)
        + packedText(message.cursor.size()) + packedList(message.updates) + packedList(message.withdrawals) + packedList(message.crashes)
        + packedList(message.demand);
}

} // namespace guavafield
