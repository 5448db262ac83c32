// Forward declarations of the HTTP transport.
#pragma once

#include <guavafield/transport/http/callers/fwd.hpp>
#include <guavafield/transport/http/forwarding/fwd.hpp>
#include <guavafield/transport/http/operators/fwd.hpp>
#include <guavafield/transport/http/upstreams/fwd.hpp>

namespace guavafield {

class Mailbox;
class RequestDriver;
class RequestPath;
struct PathContext;
struct PathHooks;

} // namespace guavafield
