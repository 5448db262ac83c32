"""A part of prompts crashes each server right after the first event that it writes on it; the machines should stop sending such requests."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from harness import CONTACT_S, ENGINE, TROUBLE, Server, configuration, play  # noqa: E402

DEADLY = "dead01"
DOWN_S = 3.0
# Events that a server writes before the crash; None: it crashes before it has written anything.
EVENTS_BEFORE = int(os.environ.get("EVENTS_BEFORE", "1"))
CHAT = {"name": "chat", "prefix": "/chat/", "kind": "stream", "resumable": True, "gapAimMs": 300, "service": "model"}


class ModelServer(Server):
    async def answer(self, line, headers, body, writer):
        deadly = DEADLY + ":" in headers.get("x-guavafield-prefix-hash", "")
        if not (TROUBLE and deadly):
            await self.stream(headers, writer)
            return
        events = int(headers.get("last-event-id") or 0) + EVENTS_BEFORE
        crash = asyncio.create_task(self.crash_when_written(headers, writer, events))
        await crash

    async def crash_when_written(self, headers, writer, events):
        await asyncio.sleep(0.1)
        first = int(headers.get("last-event-id") or 0) + 1
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {text}" for name, text in self.answer_headers(headers)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, events + 1):
            self.write_event(writer, number)
        await writer.drain()
        # The next event would be due after 30 ms.
        await asyncio.sleep(0.02)
        if self.server is not None:
            self.crashes.append(self.record.now())
            self.crash()
            self.world.spawn(self.restart_after(DOWN_S))


async def case(world):
    servers = [ModelServer(f"127.0.{100 + n}.1", f"i-model-{n}", "model", "abc"[n % 3], world.store, world.record) for n in range(9)]
    ModelServer.crashes = []
    ModelServer.world = world
    await world.start(configuration(1, [CHAT], [{"name": "model", "engine": ENGINE}]), servers)
    rng = random.Random(os.environ.get("SEED", "1"))

    async def sound(n):
        await world.send(rng.choice(world.machines), "/chat/x", kind="sound", parts=f"f1:800,b{n % 20}:400,{rng.getrandbits(32):x}:200", body=b"p" * 500)

    async def deadly(n):
        await world.send(rng.choice(world.machines), "/chat/x", kind="deadly", parts=f"f1:800,{DEADLY}:400,{rng.getrandbits(32):x}:200", body=b"d%d" % n)

    world.spawn(world.every(0.1, 60, sound))
    await asyncio.sleep(5)
    await world.every(1.0, 50, deadly)
    await asyncio.sleep(6)
    world.check_alive()
    deadly_ids = {it["id"] for it in world.results if it["kind"] == "deadly"}
    print(f"{len(deadly_ids)} requests with the part, {len(ModelServer.crashes)} crashes")
    if len(ModelServer.crashes) < 5:
        return []
    since = ModelServer.crashes[4] + CONTACT_S
    world.record.file.flush()
    with open(world.record.file.name) as file:
        reached = [it.split() for it in file if " server-got " in it]
    late = [it for it in reached if float(it[0]) > since and it[3].removeprefix("id=") in deadly_ids]
    print(f"{len(late)} of them reached servers later than {CONTACT_S:.0f} s after the fifth crash")
    return [f"BUDGET: {len(late)} requests with the part reached servers, 3 are allowed"] if len(late) > 3 else []


play(os.path.dirname(os.path.abspath(__file__)), case)
