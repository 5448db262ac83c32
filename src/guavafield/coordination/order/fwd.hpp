// Forward declarations of orders.
#pragma once

namespace guavafield {

class OrderExecutor;
struct Order;
struct OrderPlannerInput;
struct OrderRecord;

} // namespace guavafield
