// Forward declarations of what hosts know of the origins of streams.
#pragma once

namespace guavafield {

class EventSequence;
class OriginBook;
class OriginIndex;
class VersionHistory;
struct OriginBatch;
struct StreamOrigin;
struct VersionRecord;

} // namespace guavafield
