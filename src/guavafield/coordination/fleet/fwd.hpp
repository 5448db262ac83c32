// Forward declarations for state shared between hosts: mirrored tables, host reports and the fleet clock.
#pragma once

namespace guavafield {

class AddressBook;
class FleetClock;
class FleetDirectory;
class RemovedUpstreams;
class TableMirror;
struct HostReport;
struct MirroredRow;
struct RelayGroup;

} // namespace guavafield
