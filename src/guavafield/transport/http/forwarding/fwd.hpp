// Forward declarations of the ways of a request to an upstream and back.
#pragma once

namespace guavafield {

class EngineAttempt;
class ForwardAttempt;
class ForwardRequest;
class ModelRequest;
struct ForwardDialect;

} // namespace guavafield
