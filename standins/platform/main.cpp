// guavafield-platform-standin: in-memory implementation of the platform's services for tests and demonstrations.
#include "standins/platform/platform.hpp"

#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    using namespace guavafield::standin;
    CLI::App app("Stand-in for the platform's services");
    ServerOptions options;
    app.add_option("--listen", options.listen, "Address to listen on");
    app.add_option("--port", options.port, "Port; 0 lets the system choose");
    app.add_option("--speed", options.speed, "Simulated milliseconds per real millisecond")->check(CLI::PositiveNumber);
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context io(1);
    const SimulatedClock clock(options.speed);
    Platform platform(clock);
    runServer(io, options, clock, [&](Exchange &exchange) { return platform.handle(exchange); });
    return 0;
}
