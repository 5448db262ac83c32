"""Usage of one window is reported twice with different counts: a machine restarts in the window, the reporter is killed, the store comes back from a copy."""
import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from harness import TROUBLE, Server, Store, configuration, play  # noqa: E402

WINDOW_S = 5
CALLS = {"name": "calls", "prefix": "/calls/", "kind": "idempotent", "service": "records"}
CONFIG = configuration(1, [CALLS], [{"name": "records"}])
# The order in which machines of these names take over the duties.
ORDER = ["front-b-1", "front-c-2", "front-a-0"]


class DrilledStore(Store):
    """Keeps copies of itself and comes back from one that is some seconds old."""

    def __init__(self, address, record):
        super().__init__(address, record)
        self.copies = []
        self.away = False
        self.reports = []
        self.on_report = None

    async def handle(self, path, query, headers, body):
        if path == "/usage":
            report = json.loads(body)
            self.reports.append((self.record.now(), headers["x-guavafield-duty-holder"], report["window"], report["counts"]))
            if self.on_report is not None:
                self.on_report(headers["x-guavafield-duty-holder"], report["window"])
        return await super().handle(path, query, headers, body)

    async def serve(self, reader, writer):
        if self.away:
            raise ConnectionError
        await super().serve(reader, writer)

    async def keep_copies(self):
        while True:
            self.copies.append((time.monotonic(), dict(self.rows), self.version))
            await asyncio.sleep(0.25)

    async def come_back_from_copy(self, age):
        self.away = True
        for writer in list(self.writers):
            self.reset(writer)
        await asyncio.sleep(0.5)
        at, rows, version = next(it for it in reversed(self.copies) if it[0] <= time.monotonic() - age)
        self.rows, self.version = dict(rows), version
        self.era += 1
        self.away = False
        self.record.add("store-restored", era=self.era, copy_age_s=round(time.monotonic() - at, 2))
        # What the operator wrote is written again; the servers write their entries by themselves.
        self.put("op", "config", json.dumps(CONFIG).encode())


async def case(world):
    store = world.store = DrilledStore("127.0.2.1", world.record)
    servers = [Server(f"127.0.{100 + n}.1", f"i-records-{n}", "records", "abc"[n], store, world.record, 16) for n in range(3)]
    await world.start(CONFIG, servers)
    world.spawn(store.keep_copies())
    machines = {it.name: it for it in world.machines}

    async def call(n):
        await world.send(world.machines[n % 3], f"/calls/{n}", "GET", kind="call", body=b"", deadline=1500)

    world.spawn(world.every(0.02, 55, call))
    await asyncio.sleep(12)
    if not store.reports:
        return []
    holder = store.reports[-1][1]
    successor = next(it for it in ORDER if it != holder)
    # One machine is killed in the middle of a window and started again after a short delay.
    await asyncio.sleep(WINDOW_S - time.time() % WINDOW_S + 1.5)
    window = int(time.time()) // WINDOW_S
    if TROUBLE:
        machines[successor].signal(signal.SIGKILL)
        machines[successor].process.wait()
        await asyncio.sleep(0.5)
        machines[successor].start()

    async def trouble(name):
        machines[name].signal(signal.SIGKILL)
        await asyncio.sleep(1)
        await store.come_back_from_copy(3)
        await asyncio.sleep(4)
        machines[name].process.wait()
        machines[name].start()

    def on_report(name, reported):
        # The machine that acted last is killed; a second later the store comes back from a copy.
        if TROUBLE and reported == window:
            store.on_report = None
            world.spawn(trouble(name))

    store.on_report = on_report
    await asyncio.sleep(32)
    world.check_alive()
    broken, counts = [], {}
    for at, name, reported, figures in store.reports:
        print(f"{at:7.2f} s: {name} reports window {reported}: {figures}")
        if counts.setdefault(reported, figures) != figures:
            broken.append(f"ONE: window {reported} is reported with {counts[reported]} and with {figures}")
    return broken


play(os.path.dirname(os.path.abspath(__file__)), case)
