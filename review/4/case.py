"""The two servers of an orders service are unreachable for 5 s; later the machines should use them again."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from harness import CONTACT_S, TROUBLE, Server, configuration, play  # noqa: E402

CUT_S = 5.0
LOOKUPS = {"name": "lookups", "prefix": "/lookups/", "kind": "idempotent", "service": "records"}
ORDERS = {"name": "orders", "prefix": "/orders/", "kind": "non_idempotent", "maxAttempts": 1, "service": "orders"}
SERVICES = [{"name": "records"}, {"name": "orders"}]


async def case(world):
    servers = [Server(f"127.0.{100 + n}.1", f"i-{service}-{n}", service, "abc"[n % 3], world.store, world.record, 6)
               for n, service in enumerate(["records"] * 4 + ["orders"] * 2)]
    await world.start(configuration(1, [LOOKUPS], SERVICES), servers)
    world.configure(configuration(2, [LOOKUPS, ORDERS], SERVICES))
    await asyncio.sleep(3)

    def both(kind):
        async def send(n):
            machine = world.machines[n % 3]
            await asyncio.gather(world.send(machine, f"/lookups/{n}", "GET", kind=kind + "-lookup", body=b""),
                                 world.send(machine, f"/orders/{n}", kind=kind + "-order", body=b"order %d" % n))
        return send

    traffic = world.spawn(world.every(0.05, 1000, both("around")))
    await asyncio.sleep(3)
    if TROUBLE:
        # The machines' connections to the servers are refused; the servers run on and write their entries to the store.
        for server in servers[4:]:
            world.record.add("cut-begins", server=server.name)
            server.close()
    await asyncio.sleep(CUT_S)
    if TROUBLE:
        for server in servers[4:]:
            await server.open()
            world.record.add("cut-ends", server=server.name)
    await asyncio.sleep(1)
    traffic.cancel()
    # All machines are in touch again, and nothing is disturbed any more.
    await asyncio.sleep(CONTACT_S + 1)
    await world.every(0.1, 20, both("after"))
    await asyncio.sleep(5)
    world.check_alive()
    served = {}
    for kind in ("after-lookup", "after-order"):
        results = [it for it in world.results if it["kind"] == kind]
        served[kind] = sum(it["status"] == 200 for it in results) / len(results)
        statuses = {status: sum(it["status"] == status for it in results) for status in {it["status"] for it in results}}
        print(f"{kind}: {len(results)} requests, answers by status {statuses}")
    if served["after-order"] < served["after-lookup"] / 4:
        return [f"CONFIG: the added route is served {served['after-order']:.2f} of the time, the first one {served['after-lookup']:.2f}"]
    return []


play(os.path.dirname(os.path.abspath(__file__)), case)
