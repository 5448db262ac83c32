"""Slow exports and fast lookups share a service; after one tenant has sent many exports the machines should serve lookups again."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from harness import KEY, TROUBLE, Server, configuration, play, write_answer  # noqa: E402

HOT_X = 6
HOT_S = 11.0
EXPORTS_PER_S = 5
LOOKUPS_PER_S = 40
WORK_S = {"/exports/": 2.0, "/lookups/": 0.02}
EXPORTS = {"name": "exports", "prefix": "/exports/", "kind": "idempotent", "timeoutMs": 10000, "targetLatencyMs": 2000, "priority": 2, "service": "records"}
LOOKUPS = {"name": "lookups", "prefix": "/lookups/", "kind": "idempotent", "timeoutMs": 800, "targetLatencyMs": 100, "priority": 0, "service": "records"}
SERVICES = [{"name": "records"}]
OTHER_KEY = "key-of-team-b"
TEAM_B = [{"name": "team-b", "apiKeys": [OTHER_KEY], "priority": 0}]


class Records(Server):
    async def answer(self, line, headers, body, writer):
        kind = line[1][:9]
        await asyncio.sleep(WORK_S[kind])
        self.record.add("server-ran", server=self.name, id=headers.get("x-guavafield-request-id"))
        write_answer(writer, 200, b"r" * (20000 if kind == "/exports/" else 800), self.answer_headers(headers))


async def case(world):
    servers = [Records(f"127.0.{110 + n}.1", f"i-records-{n}", "records", "abc"[n], world.store, world.record, 64) for n in range(3)]
    await world.start(configuration(1, [EXPORTS], SERVICES, TEAM_B), servers)
    world.configure(configuration(2, [EXPORTS, LOOKUPS], SERVICES, TEAM_B))
    await asyncio.sleep(3)
    phase = "warm"

    def request(kind, deadline, key):
        async def send(n):
            await world.send(world.machines[n % 3], f"/{kind}/{n}", "GET", kind=f"{phase}-{kind}", body=b"", deadline=deadline, key=key)
        return send

    world.spawn(world.every(1 / EXPORTS_PER_S, 1000, request("exports", 10000, OTHER_KEY)))
    world.spawn(world.every(1 / LOOKUPS_PER_S, 1000, request("lookups", 1500, KEY)))
    await asyncio.sleep(5)
    phase = "before"
    await asyncio.sleep(12)
    phase = "hot"
    if TROUBLE:
        world.record.add("hot-tenant-begins")
        world.spawn(world.every(1 / EXPORTS_PER_S / (HOT_X - 1), HOT_S, request("exports", 10000, OTHER_KEY)))
    await asyncio.sleep(HOT_S)
    world.record.add("hot-tenant-ends")
    phase = "calm"
    await asyncio.sleep(8)
    phase = "after"
    await asyncio.sleep(20)
    phase = "end"
    await asyncio.sleep(11)
    world.check_alive()
    share = {}
    for part in ("before", "hot", "after"):
        for kind in ("exports", "lookups"):
            statuses = [it["status"] for it in world.results if it["kind"] == f"{part}-{kind}" and "end" in it]
            share[part, kind] = statuses.count(200) / max(1, len(statuses))
            print(f"{part}: {len(statuses)} {kind}, answers by status { {it: statuses.count(it) for it in sorted(set(statuses))} }")
    if share["after", "lookups"] < share["after", "exports"] / 4:
        return [f"CONFIG: the added route is served {share['after', 'lookups']:.2f} of the time, the first one {share['after', 'exports']:.2f}"]
    return []


play(os.path.dirname(os.path.abspath(__file__)), case)
