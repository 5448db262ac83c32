// Forward declarations of what hosts share: mirrored tables, reports to each other, the fleet's time.
#pragma once

namespace guavafield {

class AddressBook;
class FleetClock;
class FleetDirectory;
class TableMirror;
struct HostReport;
struct MirroredRow;
struct RelayGroup;

} // namespace guavafield
