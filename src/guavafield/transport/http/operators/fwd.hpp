// Forward declarations of the operators' port.
#pragma once

namespace guavafield {

class OperatorRouter;
class OperatorServer;

} // namespace guavafield
