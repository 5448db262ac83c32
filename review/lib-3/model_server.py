"""A server of a model as a process of its own, so that it can crash as a process does.

It writes each event of its streams in one piece. The answers have neither a length nor chunks and end with their connection, unless it is started
with "chunked". Where a request's prompt has the part CRASH_PART, not as the last one, the process ends as it has begun to write the answer.
"""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from deployment import Server  # noqa: E402

CRASH_PART = "c0ffee"
EVENTS = 12
EVENT_GAP_S = 0.1
FIRST_EVENT_S = 0.05


class Quiet:
    def line(self, text):
        pass


class ModelServer(Server):
    chunked = False
    running = 0

    def report(self):
        return {**super().report(), "running": self.running}

    async def answer(self, method, target, headers, body, writer, request):
        parts = [it.partition(":")[0].strip() for it in headers.get("x-guavafield-prefix-hash", "").split(",")]
        crashes = CRASH_PART in parts[:-1]
        print(f"runs {request}{' with the part that crashes servers' if crashes else ''}", flush=True)
        self.running += 1
        try:
            await self.write_stream(headers, writer, request, crashes)
        finally:
            self.running -= 1

    async def write_stream(self, headers, writer, request, crashes):
        framing = ["Transfer-Encoding: chunked"] if self.chunked else ["Connection: close"]
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *framing, *(f"{name}: {value}" for name, value in self.seal(request)), "", ""]
        await asyncio.sleep(FIRST_EVENT_S)
        writer.write("\r\n".join(lines).encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {request} {number} of {EVENTS}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if self.chunked else event)
            await writer.drain()
            if crashes:
                os.kill(os.getpid(), signal.SIGKILL)
            await asyncio.sleep(EVENT_GAP_S)
        if self.chunked:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()
        print(f"ran {request} to its end", flush=True)


async def run():
    name, address, port, framing = sys.argv[1], sys.argv[2], int(sys.argv[3]), sys.argv[4]
    server = ModelServer(Quiet(), name, "model", slots=64, address=address)
    server.port, server.chunked = port, framing == "chunked"
    await server.start()
    print(f"listens {server.born}", flush=True)
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(0.5)


if __name__ == "__main__":
    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        pass
