// Forward declarations of the service that keeps the configuration current.
#pragma once

namespace guavafield {

class ConfigurationOperator;
class ConfigurationService;
struct ConfigurationHooks;

} // namespace guavafield
