"""Each machine is frozen once, under load; later the machines should serve the requests of a plain service again."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from harness import CONTACT_S, TROUBLE, Server, configuration, play, write_answer  # noqa: E402

FREEZE_S = 7.0
WORK_S = 0.1
# First route and its service: not the one that fails.
FIRST = {"name": "first", "prefix": "/files/", "kind": "idempotent", "timeoutMs": 4000, "service": "files"}
LOOKUPS = {"name": "lookups", "prefix": "/lookups/", "kind": "idempotent", "timeoutMs": 800, "targetLatencyMs": 100, "service": "records"}
SERVICES = [{"name": "files"}, {"name": "records"}]


class Records(Server):
    async def answer(self, line, headers, body, writer):
        await asyncio.sleep(WORK_S)
        self.record.add("server-ran", server=self.name, id=headers.get("x-guavafield-request-id"))
        write_answer(writer, 200, b"found", self.answer_headers(headers))


async def case(world):
    servers = [Server(f"127.0.{100 + n}.1", f"i-files-{n}", "files", "abc"[n], world.store, world.record, 6) for n in range(3)]
    servers += [Records(f"127.0.{110 + n}.1", f"i-records-{n}", "records", "abc"[n], world.store, world.record, 12) for n in range(3)]
    await world.start(configuration(1, [FIRST], SERVICES), servers)
    world.configure(configuration(2, [FIRST, LOOKUPS], SERVICES))
    await asyncio.sleep(3)

    def both(kind):
        async def send(n):
            machine = world.machines[n % 3]
            await asyncio.gather(world.send(machine, f"/files/{n}", "GET", kind=kind + "-first", body=b"", deadline=4000),
                                 world.send(machine, f"/lookups/{n}", "GET", kind=kind + "-added", body=b"", deadline=1500))
        return send

    traffic = world.spawn(world.every(1 / 120, 1000, both("around")))
    await asyncio.sleep(3)
    for machine in world.machines:
        if TROUBLE:
            machine.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if TROUBLE:
            machine.signal(signal.SIGCONT)
        await asyncio.sleep(2)
    traffic.cancel()
    # All machines are in touch again, and nothing is disturbed any more.
    await asyncio.sleep(CONTACT_S + 1)
    await world.every(0.1, 20, both("after"))
    await asyncio.sleep(5)
    world.check_alive()
    served = {}
    for kind in ("after-first", "after-added"):
        results = [it for it in world.results if it["kind"] == kind]
        served[kind] = sum(it["status"] == 200 for it in results) / len(results)
        for machine in world.machines:
            statuses = [it["status"] for it in results if it["machine"] == machine.name]
            print(f"{kind} at {machine.name}: answers by status { {it: statuses.count(it) for it in set(statuses)} }")
    if served["after-added"] < served["after-first"] / 4:
        return [f"CONFIG: the added route is served {served['after-added']:.2f} of the time, the first one {served['after-first']:.2f}"]
    return []


play(os.path.dirname(os.path.abspath(__file__)), case)
