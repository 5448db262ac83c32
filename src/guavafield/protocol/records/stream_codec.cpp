// JSON encoding of the rows about streams.
#include <guavafield/protocol/records/stream_codec.hpp>

#include <guavafield/protocol/records/base64.hpp>
#include <guavafield/protocol/records/record_json.hpp>

#include <algorithm>
#include <climits>

namespace guavafield {

namespace internal {

// Later than any time that a host writes, and far from an overflow of the clock's type.
constexpr Milliseconds::rep latestTime = 4'102'444'800'000;

Milliseconds::rep encodeTime(WallTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

WallTime decodeTime(const boost::json::object &object, std::string_view name)
{
    const auto count = numberField<Milliseconds::rep>(object, name);
    if (count < 0 || count > latestTime) {
        throw std::out_of_range("time");
    }
    return WallTime(Milliseconds{count});
}

// Least significant byte first.
std::string packHashes(const std::vector<StreamHash> &hashes)
{
    std::string bytes;
    bytes.reserve(hashes.size() * sizeof(StreamHash));
    for (auto hash : hashes) {
        for (std::size_t n = 0; n < sizeof(StreamHash); ++n) {
            bytes += static_cast<char>(hash & UCHAR_MAX);
            hash >>= CHAR_BIT;
        }
    }
    return bytes;
}

std::vector<StreamHash> unpackHashes(std::string_view bytes)
{
    if (bytes.size() % sizeof(StreamHash) != 0) {
        throw std::length_error("hashes");
    }
    std::vector<StreamHash> hashes(bytes.size() / sizeof(StreamHash));
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        const StreamHash byte = static_cast<unsigned char>(bytes[n]);
        hashes[n / sizeof(StreamHash)] |= byte << (n % sizeof(StreamHash) * CHAR_BIT);
    }
    return hashes;
}

std::string encodeBatch(const OriginBatch &batch)
{
    boost::json::array groups;
    for (const auto &it : batch.groups) {
        groups.emplace_back(boost::json::object{{"pool", it.origin.pool}, {"version", it.origin.version}, {"streams", toBase64(packHashes(it.streams))}});
    }
    return boost::json::serialize(boost::json::object{{"until_ms", encodeTime(batch.until)}, {"groups", std::move(groups)}});
}

std::optional<OriginBatch> decodeBatch(std::string_view text)
{
    return decodeRecord<OriginBatch>(text, [](const boost::json::object &object, OriginBatch &batch) {
        batch.until = decodeTime(object, "until_ms");
        for (const auto &it : object.at("groups").as_array()) {
            const auto &group = it.as_object();
            const auto bytes = required(fromBase64(textField(group, "streams")));
            batch.groups.push_back({{textField(group, "pool"), textField(group, "version")}, unpackHashes(bytes)});
        }
    });
}

std::string encodeVersions(const VersionRecord &record)
{
    boost::json::array versions;
    for (const auto &it : record.versions) {
        const auto left = it.left ? boost::json::value(encodeTime(*it.left)) : boost::json::value(nullptr);
        versions.emplace_back(boost::json::object{{"version", it.version}, {"left_ms", left}});
    }
    return boost::json::serialize(boost::json::object{{"since_ms", encodeTime(record.since)}, {"epoch", record.epoch}, {"versions", std::move(versions)}});
}

std::optional<VersionRecord> decodeVersions(std::string_view text)
{
    return decodeRecord<VersionRecord>(text, [](const boost::json::object &object, VersionRecord &record) {
        record.since = decodeTime(object, "since_ms");
        record.epoch = numberField<std::uint64_t>(object, "epoch");
        for (const auto &it : object.at("versions").as_array()) {
            const auto &version = it.as_object();
            const bool serves = version.at("left_ms").is_null();
            record.versions.push_back({textField(version, "version"), serves ? std::nullopt : std::optional(decodeTime(version, "left_ms"))});
        }
    });
}

} // namespace internal

RecordCodec<OriginBatch> originBatchCodec() noexcept
{
    return {&internal::encodeBatch, &internal::decodeBatch};
}

RecordCodec<VersionRecord> versionRecordCodec() noexcept
{
    return {&internal::encodeVersions, &internal::decodeVersions};
}

} // namespace guavafield
