// Forward declarations of the services of a fleet whose hosts share the platform's tables.
#pragma once

namespace guavafield {

class DirectoryService;
class DutyService;
class StreamOriginService;

} // namespace guavafield
