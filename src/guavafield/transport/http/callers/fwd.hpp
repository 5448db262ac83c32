// Forward declarations of the callers' side.
#pragma once

namespace guavafield {

class CallerAnswer;
class CallerConnection;
class CallerServer;
class CallerStream;
class KeyRegistry;
struct AccessGrant;

} // namespace guavafield
