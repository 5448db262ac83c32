// Rows with the origins of streams and the software versions of pools as JSON.
#pragma once

#include <guavafield/coordination/streams/stream_origin.hpp>
#include <guavafield/coordination/table/table_io.hpp>

namespace guavafield {

/*! @brief Returns the JSON encoding of the rows stream_origins/<host>/<incarnation>/<slot>; the hashes are packed, eight bytes each. */
[[nodiscard]] RecordCodec<OriginBatch> originBatchCodec() noexcept;

/*! @brief Returns the JSON encoding of the rows stream_versions/<pool>. */
[[nodiscard]] RecordCodec<VersionRecord> versionRecordCodec() noexcept;

} // namespace guavafield
