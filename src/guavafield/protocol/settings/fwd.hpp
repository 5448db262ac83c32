// Forward declarations of the settings types.
#pragma once

namespace guavafield {

struct DaemonSettings;
struct SettingInfo;
struct SettingsError;

} // namespace guavafield
