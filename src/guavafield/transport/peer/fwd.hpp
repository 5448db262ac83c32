// Forward declarations of the transport between peers.
#pragma once

namespace guavafield {

class PeerRpc;
class PeerService;
struct PeerHooks;
struct PeerRpcHooks;
struct PeerServiceSettings;

} // namespace guavafield
