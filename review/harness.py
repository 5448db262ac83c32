"""Stand-ins of the machines' platform, of servers and of clients for the cases of this review, on loopback addresses.

One process plays the store, the platform's API, all servers and all clients. The daemons are separate processes, started with the run command and
the settings template of the deploy file. Everything that was sent, run and answered goes into record.txt of the case.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "calls.example"
KEY = "key-of-team-a"
# Bounds of the smaller sheets of the pages.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
          "configMs": 2000, "downgradeSlackMs": 250, "outerMs": 5000, "strictRevoke": False, "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10,
          "retrySlack": 58, "requireFencing": False, "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5, "usageOff": 0.05, "usageLateS": 10,
          "recoveryS": 12, "passMs": 120, "retryAfterS": 10}
CONTACT_S = BOUNDS["contactMs"] / 1000


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def fill_template(text, fields):
    """Fills in a settings template as DEPLOY.md describes it, as far as the project's template uses it."""
    def value(path):
        found = fields
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    def written(found):
        return ",".join(map(str, found)) if isinstance(found, list) else "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda it: it[2] if value(it[1]) else "", text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: written(value(it[1])), text)


def deploy_value(name):
    """Returns a text of the only role of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        return re.search(rf'^{name} = "([^"]*)"', file.read(), re.M)[1]


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, **fields):
        self.file.write(f"{self.now():9.4f} {what} " + " ".join(f"{name}={value}" for name, value in fields.items()) + "\n")

    def close(self):
        self.file.close()


async def read_message(reader):
    """Reads one HTTP/1.1 request; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(":")
        headers[name.lower()] = text.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0].split(" "), headers, body


def write_answer(writer, status, body=b"", headers=()):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *(f"{name}: {text}" for name, text in headers)]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


ENDS = (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError)


class Listener:
    """A listening socket whose connections can be reset all at once."""

    def __init__(self, address):
        self.address = address
        self.port = free_port(address)
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.connected, self.address, self.port, backlog=512)

    def close(self, reset=True):
        """Stops listening and ends all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            self.reset(writer) if reset else writer.close()

    @staticmethod
    def reset(writer):
        connection = writer.get_extra_info("socket")
        if connection is not None:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            except OSError:
                pass
        writer.transport.abort()

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except ENDS:
            pass
        finally:
            self.writers.discard(writer)
            try:
                writer.close()
            except OSError:
                pass

    async def serve(self, reader, writer):
        raise NotImplementedError


class Store(Listener):
    """The store (rows and feeds) and the platform's API for usage reports and orders."""

    def __init__(self, address, record):
        super().__init__(address)
        self.record = record
        self.rows = {}
        self.version = 0
        self.era = 1
        self.changed = asyncio.Event()
        self.usage = []

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def row(name, entry):
        result = {"table": name[0], "part": "", "key": name[1], "ver": entry[0]}
        result.update({"removed": True} if entry[1] is None else {"value": base64.b64encode(entry[1]).decode()})
        return result

    async def serve(self, reader, writer):
        while True:
            line, headers, body = await read_message(reader)
            url = urllib.parse.urlsplit(line[1])
            query = {name: texts[0] for name, texts in urllib.parse.parse_qs(url.query).items()}
            status, answer = await self.handle(url.path, query, headers, body)
            write_answer(writer, status, answer, [("Store-Era", self.era), ("Content-Type", "application/json")])
            await writer.drain()

    async def handle(self, path, query, headers, body):
        if path == "/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query["waitMs"]) / 1000)
        if path == "/rows-get":
            return 200, self.read(query)
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        if path in ("/usage", "/scale"):
            entry = (headers.get("x-guavafield-duty-holder"), headers.get("x-guavafield-fencing-token"), body.decode())
            self.record.add("duty", path=path, holder=entry[0], fence=entry[1], body=entry[2])
            self.usage.append(entry)
            return 200, {}
        return 404, {}

    async def feed(self, table, after, wait):
        end = time.monotonic() + wait
        while True:
            if after > self.version:
                return 410, {}
            found = sorted((self.row(name, it) for name, it in self.rows.items() if name[0] == table and it[0] > after), key=lambda it: it["ver"])
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"rows": found, "ver": self.version, "nowMs": int(time.monotonic() * 1000)}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def read(self, query):
        keys = sorted(key for (table, key), it in self.rows.items() if table == query["table"] and it[1] is not None)
        keys = [it for it in keys if it >= query.get("from", "") and ("to" not in query or it < query["to"])]
        limit = min(500, int(query.get("limit", 500)))
        rows = [self.row((query["table"], it), self.rows[(query["table"], it)]) for it in keys[:limit]]
        return {"rows": rows, "hasMore": len(keys) > limit, "ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    def transact(self, call):
        expected = [((it["table"], it["key"]), it["ver"]) for it in call.get("expectedRev", ())]
        current = {name: self.rows.get(name, (0, None)) for name, _ in expected}
        if any((current[name][0] if current[name][1] is not None else 0) != version for name, version in expected):
            rows = [self.row(name, it) for name, it in current.items() if it[1] is not None]
            return 412, {"rows": rows, "ver": self.version, "nowMs": 0}
        self.version += 1
        for it in call.get("writes", ()):
            self.rows[(it["table"], it["key"])] = (self.version, base64.b64decode(it["value"]))
        for it in call.get("remove", ()):
            if (it["table"], it["key"]) in self.rows:
                self.rows[(it["table"], it["key"])] = (self.version, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}


class Server(Listener):
    """One server of a service; subclasses and hooks change what it does with a request."""

    def __init__(self, address, name, service, zone, store, record, slots=64):
        super().__init__(address)
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.slots = slots
        self.running = 0
        self.state = "ready"
        self.beats = None
        self.born = 0
        self.sequence = 0

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.open()
        self.announce()
        self.beats = asyncio.create_task(self.beat())

    def announce(self):
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1", "slots": self.slots,
                 "state": self.state, "coldLeftMs": 0, "seqNo": self.sequence, "born": self.born}
        self.store.put("servers", self.name, json.dumps(entry).encode())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.announce()

    def crash(self):
        """Ends as a process does that crashes: connections break, nothing is written to the store any more."""
        self.record.add("server-crash", server=self.name)
        self.beats.cancel()
        self.close()

    async def restart_after(self, seconds):
        await asyncio.sleep(seconds)
        self.record.add("server-start", server=self.name)
        await self.start()

    async def serve(self, reader, writer):
        while True:
            line, headers, body = await read_message(reader)
            if headers.get("x-guavafield-expect-instance") != self.name:
                write_answer(writer, 421, b"", [("X-Guavafield-Instance-Id", self.name), ("X-Guavafield-Not-Executed", "1"),
                                                ("X-Guavafield-Request-Id", headers.get("x-guavafield-request-id", ""))])
                await writer.drain()
                continue
            self.record.add("server-got", server=self.name, id=headers.get("x-guavafield-request-id"), path=line[1])
            self.running += 1
            try:
                await self.answer(line, headers, body, writer)
                await writer.drain()
            finally:
                self.running -= 1

    def answer_headers(self, headers):
        request = headers.get("x-guavafield-request-id", "")
        return [("X-Guavafield-Request-Id", request), ("X-Guavafield-Response-Seal", "seal-" + request),
                ("X-Guavafield-Server-Load", f"{self.running},0,{self.slots}")]

    async def answer(self, line, headers, body, writer):
        """Plain answer after 20 ms of work."""
        await asyncio.sleep(0.02)
        self.record.add("server-ran", server=self.name, id=headers.get("x-guavafield-request-id"))
        write_answer(writer, 200, b"done", self.answer_headers(headers))

    async def stream(self, headers, writer, events=8, first_s=0.1, pause_s=0.03):
        """Streamed answer of a model server."""
        await asyncio.sleep(first_s)
        first = int(headers.get("last-event-id") or 0) + 1
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {text}" for name, text in self.answer_headers(headers)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, events + 1):
            self.write_event(writer, number)
            await writer.drain()
            if number == first:
                self.record.add("server-ran", server=self.name, id=headers.get("x-guavafield-request-id"))
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")

    @staticmethod
    def write_event(writer, number):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))


class Machine:
    """A machine of the system: one daemon, started as the deploy file says."""

    def __init__(self, world, number, zone):
        self.world = world
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = f"127.0.{10 + number}.1"
        self.process = None
        self.settings = os.path.join(world.folder, self.name + ".ini")
        self.log = open(os.path.join(world.folder, self.name + ".log"), "ab")

    def fields(self):
        ports = self.world.ports
        return {"nodeName": self.name, "zone": self.zone, "region": "region", "listen": {name: f"{self.ip}:{port}" for name, port in ports.items()},
                "limits": {"linkMbps": 1000.0}, "provider": {"address": f"{self.world.store.address}:{self.world.store.port}"},
                "cloud": {"address": f"{self.world.store.address}:{self.world.store.port}"}, "bounds": BOUNDS,
                "seeds": [f"{it.ip}:{ports['control']}" for it in self.world.machines[:3]]}

    def start(self):
        with open(os.path.join(ROOT, deploy_value("template"))) as file:
            text = fill_template(file.read(), self.fields())
        with open(self.settings, "w") as file:
            file.write(text)
        command = [it.replace("/etc/guavafield/boot.json", self.settings) for it in deploy_value("run").split(" ")]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(command, cwd=ROOT, env={**environment, "GUAVAFIELD_BOOT": self.settings}, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.world.record.add("machine-start", machine=self.name, pid=self.process.pid)

    def signal(self, number):
        self.world.record.add("signal", machine=self.name, number=int(number))
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self.log.close()

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.world.ports["ready"])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200" in line
        except OSError:
            return False


class World:
    """Store, machines, servers and clients of one case."""

    def __init__(self, folder, zones=("a", "b", "c")):
        self.case = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="guavafield-review-")
        self.store = Store("127.0.2.1", self.record)
        self.ports = {}
        self.machines = []
        self.zones = zones
        self.servers = []
        self.ids = 0
        self.results = []
        self.tasks = []

    async def start(self, config, servers):
        if not os.path.exists(os.path.join(ROOT, "target", "guavafieldd")):
            raise CannotRun("target/guavafieldd is missing; run the build command of the deploy file")
        await self.store.open()
        self.store.put("op", "config", json.dumps(config).encode())
        self.servers = servers
        for it in servers:
            await it.start()
        self.machines = [Machine(self, n, zone) for n, zone in enumerate(self.zones)]
        self.ports = {name: free_port("0.0.0.0") for name in ("front", "ready", "control")}
        for it in self.machines:
            it.start()
        await self.all_ready()
        await asyncio.sleep(CONTACT_S)

    async def all_ready(self, limit=20):
        end = time.monotonic() + limit
        while True:
            ready = [await it.ready() for it in self.machines]
            if all(ready):
                return
            if time.monotonic() > end:
                raise CannotRun("the machines are not ready")
            await asyncio.sleep(0.1)

    def configure(self, config):
        self.store.put("op", "config", json.dumps(config).encode())
        self.record.add("config", version=config["version"])

    async def send(self, machine, path, method="POST", parts="", deadline=4000, kind="", body=b"x", key=KEY):
        """One client attempt on a connection of its own; returns (status, complete, events)."""
        self.ids += 1
        request = f"r{self.ids}"
        result = {"id": request, "kind": kind, "at": self.record.now(), "status": 0, "complete": False, "body": b"", "machine": machine.name}
        self.results.append(result)
        self.record.add("client-sent", id=request, machine=machine.name, path=path, kind=kind, parts=parts)
        headers = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Guavafield-Request-Id: {request}", f"X-Guavafield-Deadline-Ms: {deadline}",
                   f"Authorization: Token {key}", f"Content-Length: {len(body)}", "Connection: close"]
        if parts:
            tokens = sum(int(it.split(":")[1]) for it in parts.split(","))
            headers += ["X-Guavafield-Model: m", f"X-Guavafield-Token-Counts: {tokens},40", f"X-Guavafield-Prefix-Hash: {parts}"]
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.ip, self.ports["front"], limit=1 << 22), 1)
            writer.write(("\r\n".join(headers) + "\r\n\r\n").encode() + body)
            await asyncio.wait_for(self.read_answer(reader, result), deadline / 1000 + 1)
        except (asyncio.TimeoutError, *ENDS) as error:
            result["error"] = type(error).__name__
        finally:
            if writer is not None:
                writer.close()
        result["end"] = self.record.now()
        self.record.add("client-got", id=request, status=result["status"], complete=result["complete"], bytes=len(result["body"]),
                        error=result.get("error", "-"))
        return result

    @staticmethod
    async def read_answer(reader, result):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        result["status"] = int(head[0].split(" ")[1])
        headers = {it.partition(":")[0].lower(): it.partition(":")[2].strip() for it in head[1:] if it}
        result["headers"] = headers
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                data = await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
                result["body"] += data
        else:
            result["body"] = await reader.readexactly(int(headers.get("content-length", 0)))
        result["complete"] = True

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def every(self, interval, seconds, send):
        """Starts send(n) at a fixed rate for some seconds."""
        start = time.monotonic()
        n = 0
        while time.monotonic() - start < seconds:
            self.spawn(send(n))
            n += 1
            await asyncio.sleep(max(0, start + n * interval - time.monotonic()))

    def check_alive(self):
        for it in self.machines:
            if it.process.poll() is not None:
                raise CannotRun(f"{it.name} ended by itself, exit {it.process.returncode}")

    async def stop(self):
        for it in self.machines:
            it.end()
        for it in self.tasks:
            it.cancel()
        for it in self.servers:
            if it.beats is not None:
                it.beats.cancel()
            it.close()
        self.store.close()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services, more_tenants=()):
    defaults = {"host": HOST, "timeoutMs": 4000, "targetLatencyMs": 1000, "priority": 0, "maxAttempts": 2, "public": False}
    return {"version": version, "routes": [{**defaults, **it} for it in routes], "services": [{"maxConns": 370, **it} for it in services],
            "tenants": [{"name": "team-a", "apiKeys": [KEY], "priority": 0}, *more_tenants],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000}}


ENGINE = {"kvCapacity": 620762, "tokenKvBytes": 1000, "linkMbps": 10000, "stride": 4}


def play(folder, case, zones=("a", "b", "c")):
    """Runs a case; case(world) returns a list of lines that say how the rule was broken, empty if it held."""
    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        # Ends the daemons also if the script itself is ended.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        world = World(folder, zones)
        try:
            return await asyncio.wait_for(case(world), 110)
        finally:
            await world.stop()

    try:
        broken = asyncio.run(run())
    except CannotRun as error:
        print("could not run:", error)
        sys.exit(2)
    except (asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        print("could not run:", repr(error))
        sys.exit(2)
    for line in broken:
        print("broken:", line)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
