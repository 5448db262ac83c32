// Compiles the separately compilable parts of Asio, Beast and JSON, and the storage of easylogging++, once for all targets.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
