// Forward declarations of connections to upstreams.
#pragma once

namespace guavafield {

class ConnectionPool;
class ConnectionProber;
class LoadPoller;
class UpstreamExchange;

} // namespace guavafield
