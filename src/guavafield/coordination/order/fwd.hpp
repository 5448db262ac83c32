// Forward declarations of order planning and execution.
#pragma once

namespace guavafield {

class OrderExecutor;
struct Order;
struct OrderPlannerInput;
struct OrderRecord;

} // namespace guavafield
