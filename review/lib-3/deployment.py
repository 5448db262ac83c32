"""A small deployment on loopback: the platform's store, servers and daemons that run as the deploy file says.

The daemons are separate processes; the store and the servers are stand-ins in this one. They follow the users' pages and are sound unless a
case says otherwise. All addresses are loopback addresses and all ports are free ones.
"""
import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST_NAME = "app.example"
TENANTS = {"tenant-a": "key-a", "tenant-b": "key-b"}
# Loopback addresses of this run, so that several runs don't meet. Nothing connects from the stand-ins' addresses, and so no connection takes the port
# of one that is down for a while.
RUN_ADDRESSES = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}"
STORE_ADDRESS = RUN_ADDRESSES + ".200"
SERVER_ADDRESS = RUN_ADDRESSES + ".100"


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_ports(address, count):
    """Ports that are free for TCP and UDP at an address."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((address, 0))
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind((address, tcp.getsockname()[1]))
            ports.append(tcp.getsockname()[1])
        except OSError:
            pass
        held += [tcp, udp]
    for it in held:
        it.close()
    return ports


def render(template, fields):
    """Fills in a template with sections, as the page on running the system describes."""

    def find(name, scopes):
        if name == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(it) for it in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def expand(source, scopes, key="", last=True):
        out, at = "", 0
        for match in iter(lambda: re.compile(r"\{\{(.*?)\}\}").search(source, at), None):
            out += source[at:match.start()]
            tag, at = match.group(1), match.end()
            if tag[0] in "#^":
                close = source.index("{{/" + tag[1:] + "}}", at)
                inner, at = source[at:close], close + len(tag) + 4
                value = find(tag[1:], scopes)
                if tag[0] == "^":
                    out += expand(inner, scopes) if not value else ""
                elif isinstance(value, dict):
                    items = list(value.items())
                    out += "".join(expand(inner, [it, *scopes], name, n + 1 == len(items)) for n, (name, it) in enumerate(items))
                elif isinstance(value, list):
                    out += "".join(expand(inner, [it, *scopes], str(n), n + 1 == len(value)) for n, it in enumerate(value))
                elif value:
                    out += expand(inner, scopes)
            elif tag == "@":
                out += key
            elif tag == ",":
                out += "" if last else ","
            else:
                out += text(find(tag, scopes))
        return out + source[at:]

    return expand(template, [fields])


class Http:
    """One message of an HTTP/1.1 peer, read from an asyncio stream."""

    @staticmethod
    async def read(reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for it in lines[1:]:
            name, _, value = it.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return lines[0], headers, body


class HttpService:
    """An HTTP server at a loopback address; subclasses implement handle()."""

    def __init__(self, address):
        self.address, self.port = address, 0
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers, body = await Http.read(reader)
                method, target, _ = line.split(" ", 2)
                await self.handle(method, target, headers, body, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    @staticmethod
    def respond(writer, status, body=b"", headers=()):
        data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(data)}", "", ""]
        writer.write("\r\n".join(lines).encode() + data)

    async def stop(self):
        self.server.close()
        for it in list(self.connections):
            it.close()


class Store(HttpService):
    """The platform's store and, at the same address, its API for duties."""

    def __init__(self, record, address=STORE_ADDRESS):
        super().__init__(address)
        self.record = record
        self.rows, self.version, self.era = {}, 0, 1
        self.usage, self.orders = [], []

    async def write(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (self.version, value)

    def encode(self, name, entry):
        row = {"table": name[0], "part": "", "key": name[1], "ver": entry[0]}
        row.update({"removed": True} if entry[1] is None else {"value": base64.b64encode(entry[1]).decode()})
        return row

    async def handle(self, method, target, headers, body, writer):
        path, _, text = target.partition("?")
        query = dict(it.partition("=")[::2] for it in text.split("&") if it)
        query = {name: re.sub("%(..)", lambda m: chr(int(m.group(1), 16)), value) for name, value in query.items()}
        if path == "/rows-feed":
            status, reply = await self.feed(query)
        elif path == "/rows-get":
            status, reply = 200, self.get(query)
        elif path == "/rows-tx":
            status, reply = await self.transact(json.loads(body))
        elif path in ("/usage", "/scale"):
            call = (headers.get("x-guavafield-duty-holder"), headers.get("x-guavafield-fencing-token"), json.loads(body))
            (self.usage if path == "/usage" else self.orders).append(call)
            self.record.line(f"platform: {path} holder={call[0]} fence={call[1]} body={json.dumps(call[2], sort_keys=True)}")
            status, reply = 200, {}
        else:
            status, reply = 404, {}
        self.respond(writer, status, reply, [("Store-Era", self.era)])

    async def feed(self, query):
        table, after, wait = query["table"], int(query["after"]), min(30.0, int(query["waitMs"]) / 1000)

        def found():
            rows = [self.encode(name, it) for name, it in self.rows.items() if name[0] == table and it[0] > after]
            return sorted(rows, key=lambda it: it["ver"])

        end = time.monotonic() + wait
        while not found() and time.monotonic() < end:
            await asyncio.sleep(0.01)
        return (410, {}) if after > self.version else (200, {"rows": found(), "ver": self.version, "nowMs": int(time.monotonic() * 1000)})

    def get(self, query):
        keys = sorted(key for (table, key), it in self.rows.items() if table == query["table"] and it[1] is not None)
        keys = [it for it in keys if it >= query.get("from", "") and ("to" not in query or it < query["to"])]
        limit = min(500, int(query.get("limit", 500)))
        rows = [self.encode((query["table"], it), self.rows[(query["table"], it)]) for it in keys[:limit]]
        return {"rows": rows, "hasMore": len(keys) > limit, "ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    async def transact(self, call):
        names = [(it["table"], it["key"]) for it in call.get("expectedRev", [])]
        current = [self.rows.get(it, (0, None)) for it in names]
        if any((row[0] if row[1] is not None else 0) != it["ver"] for row, it in zip(current, call.get("expectedRev", []))):
            rows = [self.encode(name, row) for name, row in zip(names, current) if row[1] is not None]
            return 412, {"rows": rows, "ver": self.version, "nowMs": int(time.monotonic() * 1000)}
        self.version += 1
        for it in call.get("writes", []):
            self.rows[(it["table"], it["key"])] = (self.version, base64.b64decode(it["value"]))
        for it in call.get("remove", []):
            if (it["table"], it["key"]) in self.rows:
                self.rows[(it["table"], it["key"])] = (self.version, None)
        return 200, {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}


class Server(HttpService):
    """A sound server of a service. Subclasses change answer(); a request runs once answer() is called."""

    def __init__(self, record, name, service, zone="zone-a", slots=64, version="v1", address=SERVER_ADDRESS):
        super().__init__(address)
        self.record, self.name, self.service, self.zone, self.slots, self.version = record, name, service, zone, slots, version
        self.born = int(time.time() * 1000)
        self.runs = []

    def entry(self, state="ready"):
        fields = {"service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": self.version,
                  "slots": self.slots, "state": state, "coldLeftMs": 0, "seqNo": 1, "born": self.born}
        return json.dumps(fields).encode()

    def report(self):
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seqNo": 1, "waiting": 0, "running": 0,
                "kvUsed": 0, "kvTotal": 0, "handles": 0, "born": self.born}

    async def handle(self, method, target, headers, body, writer):
        if target == "/report":
            self.respond(writer, 200, self.report())
            return
        request = headers.get("x-guavafield-request-id")
        if headers.get("x-guavafield-expect-instance", self.name) != self.name:
            self.respond(writer, 421, headers=[("X-Guavafield-Request-Id", request), ("X-Guavafield-Not-Executed", "1")])
            return
        self.runs.append(request)
        await self.answer(method, target, headers, body, writer, request)

    def seal(self, request):
        return [("X-Guavafield-Request-Id", request), ("X-Guavafield-Response-Seal", f"seal.{self.name}.{request}")]

    async def answer(self, method, target, headers, body, writer, request):
        self.respond(writer, 200, f"{self.name} {request}".encode(), self.seal(request))


class Daemon:
    """A daemon, started with the command and the settings template of the deploy file."""

    def __init__(self, record, folder, name, zone, address, ports, memory_mb=260, fds=4100):
        self.record, self.folder, self.name, self.zone, self.address = record, folder, name, zone, address
        self.front, self.ready, self.control = ports
        self.memory_mb, self.fds = memory_mb, fds
        self.process, self.starts = None, 0

    def write_settings(self, store, seeds, zones, bootstrap):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["host"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        fields = {"nodeName": self.name, "zone": self.zone, "region": "region", "zones": {it: "region" for it in zones},
                  "listen": {"front": f"{self.address}:{self.front}", "ready": f"{self.address}:{self.ready}",
                             "control": f"{self.address}:{self.control}"},
                  "seeds": seeds, "bootstrap": bootstrap, "limits": {"memoryMb": self.memory_mb, "maxFds": self.fds, "linkMbps": 1000.0},
                  "bounds": {"graceS": 8, "leaseMs": 3000, "usageWindowS": 5},
                  "provider": {"address": store}, "cloud": {"address": store}}
        self.settings = os.path.join(self.folder, self.name + ".ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, fields))
        self.command = [it if it != "/etc/guavafield/boot.json" else self.settings for it in role["run"].split()]

    def start(self):
        self.starts += 1
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record.line(f"{self.name}: started, start {self.starts}")

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def kill(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def resident_mb(self):
        """Resident memory of the process's own, without that of files such as the program and its libraries."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                line = next((it for it in file if it.startswith("RssAnon:")), None)
            return int(line.split()[1]) / 1024 if line else 0.0
        except OSError:
            return 0.0


class Deployment:
    """The store, the servers and some daemons; ends all that it has started."""

    def __init__(self, record, hosts=3, memory_mb=260, fds=4100):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="guavafield-review-")
        self.store = Store(record)
        self.servers, self.daemons = [], []
        self.zones = ["zone-a", "zone-b", "zone-c"]
        for n in range(hosts):
            address = f"{RUN_ADDRESSES}.{n + 1}"
            self.daemons.append(Daemon(record, self.folder.name, f"front-{n + 1}", self.zones[n % 3], address, free_ports(address, 3), memory_mb, fds))

    def configuration(self, version, routes, services):
        return json.dumps({"version": version, "routes": routes, "services": services,
                           "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
                           "tenants": [{"name": name, "apiKeys": [key]} for name, key in TENANTS.items()]}).encode()

    async def start(self, routes, services, servers):
        await self.store.start()
        await self.store.write("op", "config", self.configuration(1, routes, services))
        for it in servers:
            await it.start()
            self.servers.append(it)
            await self.store.write("servers", it.name, it.entry())
        seeds = [f"{it.address}:{it.control}" for it in self.daemons[:3]]
        for it in self.daemons:
            it.write_settings(f"{self.store.address}:{self.store.port}", seeds, self.zones, True)
            it.start()
        await asyncio.gather(*(self.wait_ready(it) for it in self.daemons))

    async def is_ready(self, daemon):
        try:
            reader, writer = await asyncio.open_connection(daemon.address, daemon.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, daemon, limit=20):
        end = time.monotonic() + limit
        while not await self.is_ready(daemon):
            if time.monotonic() > end:
                raise RuntimeError(f"{daemon.name} is not ready")
            await asyncio.sleep(0.1)

    async def stop(self):
        for it in self.daemons:
            it.kill()
        for it in [*self.servers, self.store]:
            if it.server is not None:
                await it.stop()
        self.folder.cleanup()


def route(name, kind, service, prefix, **fields):
    result = {"name": name, "host": HOST_NAME, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": 10000, "targetLatencyMs": 1000,
              "maxAttempts": 1 if kind == "non_idempotent" else 2, "priority": 1}
    result.update(fields)
    return result


def head(method, target, request, fields=()):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST_NAME}", f"X-Guavafield-Request-Id: {request}", "Authorization: Token key-a",
             *(f"{name}: {value}" for name, value in fields), "", ""]
    return "\r\n".join(lines).encode()


def main(folder, case, limit=115):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run."""
    record = Record(folder)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), limit))
    except Exception as error:  # the case itself failed, which says nothing about the rule
        record.line(f"the case couldn't run: {type(error).__name__}: {error}")
        print(f"the case couldn't run: {type(error).__name__}: {error}")
        return 2
    record.line("result: the rule was " + ("broken" if broken else "kept"))
    print("the rule was " + ("broken" if broken else "kept"))
    return 1 if broken else 0
