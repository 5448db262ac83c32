// Forward declarations of configuration validation, commits and propagation.
#pragma once

namespace guavafield {

class ConfigurationCommit;
class ConfigurationFollower;
struct ChangeRecord;
struct ConfigurationChange;
struct ConfigurationFault;
struct ConfigurationHead;
struct ConfigurationItems;

} // namespace guavafield
