// guavafield-upstream-standin: simulated model server or plain HTTP service for tests and demonstrations.
#include "standins/upstream/upstream.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

int main(int argc, char **argv)
{
    using namespace guavafield::standin;
    CLI::App app("Stand-in for a model server or a plain service");
    ServerOptions server;
    UpstreamOptions options;
    auto &engine = options.engine;
    app.add_option("--listen", server.listen, "Address to listen on");
    app.add_option("--port", server.port, "Port; 0 lets the system choose");
    app.add_option("--speed", server.speed, "Simulated milliseconds per real millisecond")->check(CLI::PositiveNumber);
    app.add_option("--models", options.models, "Loaded models")->delimiter(',');
    app.add_option("--incarnation", options.incarnation, "Incarnation in load reports");
    app.add_flag("--check-fence", options.checkFence, "Refuse orders with an old fencing token");
    app.add_flag("--service", options.service, "Serve plain calls instead of completions");
    app.add_option("--load-ms", options.loadMs, "Time to load a model");
    app.add_option("--slots", engine.slots, "Requests that run together");
    app.add_option("--token-ms", engine.tokenMs, "Time per output token with a batch of one");
    app.add_option("--batch-cost", engine.batchCost, "Growth of the time per token with each further request");
    app.add_option("--prefill-ms-per-token", engine.prefillMsPerToken, "Prefill time per prompt token");
    app.add_option("--cache-prefixes", engine.cachePrefixes, "Prefixes kept in the cache");
    app.add_option("--cache-event-lag-ms", engine.cacheEventLagMs, "Age at which cache events are published");
    app.add_option("--cache-gap-every", engine.cacheGapEvery, "Leave out each so manieth cache event; 0 for none");
    app.add_option("--report-lag-ms", engine.reportLagMs, "Interval between load samples")->check(CLI::PositiveNumber);
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context io(1);
    const SimulatedClock clock(server.speed);
    Upstream upstream(std::move(options), clock, io);
    boost::asio::co_spawn(io, upstream.sampleLoad(), boost::asio::detached);
    runServer(io, server, clock, [&](Exchange &exchange) { return upstream.handle(exchange); });
    return 0;
}
