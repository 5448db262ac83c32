// Forward declarations of the platform client.
#pragma once

namespace guavafield {

class CallLimiter;
class PlatformClient;
struct PlatformClientSettings;

} // namespace guavafield
