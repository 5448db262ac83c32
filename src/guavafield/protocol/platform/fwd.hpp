// Forward declarations of the table service's message types.
#pragma once

namespace guavafield {

struct Transaction;
struct ScanRange;
struct RowKey;

} // namespace guavafield
