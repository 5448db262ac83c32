// Forward declarations of the configuration's JSON.
#pragma once

namespace guavafield::internal {

class ObjectReader;

} // namespace guavafield::internal
