// Forward declarations of the coordination layer, by folder.
#pragma once

#include <guavafield/coordination/configuration/fwd.hpp>
#include <guavafield/coordination/lease/fwd.hpp>
#include <guavafield/coordination/membership/fwd.hpp>
#include <guavafield/coordination/once/fwd.hpp>
#include <guavafield/coordination/order/fwd.hpp>
#include <guavafield/coordination/request/fwd.hpp>
#include <guavafield/coordination/table/fwd.hpp>
#include <guavafield/coordination/usage/fwd.hpp>
