// Forward declarations of the daemon's settings.
#pragma once

namespace guavafield {

struct DaemonSettings;
struct SettingInfo;
struct SettingsError;

} // namespace guavafield
