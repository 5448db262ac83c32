// Forward declarations of the table service operations.
#pragma once

namespace guavafield {

struct ReadFailed;
struct ReadRows;
struct Row;
struct RowCondition;
struct RowKey;
struct RowWrite;
struct ScanRange;
struct Transaction;

} // namespace guavafield
