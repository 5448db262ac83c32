"""A small deployment on loopback addresses: the platform's store, model servers that a deadly prompt part crashes, and the daemons."""
import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST_NAME = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
# Bounds of the deployment.
CONTACT_S = 3.0
HEARTBEAT_S = 1.2
# A crashed server is back after some seconds; its old entry goes after three heartbeats of silence.
SERVER_BACK_S = 2.5
ENTRY_EXPIRES_S = 3 * HEARTBEAT_S
# A sound answer.
EVENTS = 8
EVENT_PAUSE_S = 0.04
DEADLINE_MS = 5000


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.file.close()

    def write(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
                self.file.flush()


def free_port():
    with socket.socket() as it:
        it.bind(("127.0.0.1", 0))
        return it.getsockname()[1]


class Store(ThreadingHTTPServer):
    """The platform's store and its calls for duties."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}
        self.version = 0
        self.start = time.monotonic()
        super().__init__(("127.0.0.1", 0), StoreHandler)
        self.port = self.server_address[1]
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, *_):
        pass

    def now_ms(self):
        return int((time.monotonic() - self.start) * 1000)

    def write(self, table, key, value):
        with self.changed:
            self.version += 1
            self.rows[(table, key)] = (self.version, value)
            self.changed.notify_all()

    @staticmethod
    def encode(name, entry):
        row = {"table": name[0], "part": "", "key": name[1], "ver": entry[0]}
        row.update({"removed": True} if entry[1] is None else {"value": base64.b64encode(entry[1]).decode()})
        return row

    def get(self, query):
        with self.changed:
            keys = sorted(key for (table, key), entry in self.rows.items() if table == query["table"] and entry[1] is not None)
            keys = [it for it in keys if it >= query.get("from", "") and ("to" not in query or it < query["to"])]
            limit = min(500, int(query.get("limit", 500)))
            rows = [self.encode((query["table"], it), self.rows[(query["table"], it)]) for it in keys[:limit]]
            return {"rows": rows, "hasMore": len(keys) > limit, "ver": self.version, "nowMs": self.now_ms()}

    def feed(self, query):
        after = int(query["after"])

        def found():
            rows = [self.encode(name, entry) for name, entry in self.rows.items() if name[0] == query["table"] and entry[0] > after]
            return sorted(rows, key=lambda it: it["ver"])

        with self.changed:
            self.changed.wait_for(found, timeout=int(query["waitMs"]) / 1000)
            return {"rows": found(), "ver": self.version, "nowMs": self.now_ms()}

    def transact(self, call):
        with self.changed:
            expected = [((it["table"], it["key"]), it["ver"]) for it in call.get("expectedRev", [])]
            current = {name: self.rows.get(name, (0, None)) for name, _ in expected}
            if any((entry[0] if entry[1] is not None else 0) != ver for (_, ver), entry in zip(expected, current.values())):
                rows = [self.encode(name, entry) for name, entry in current.items() if entry[1] is not None]
                return 412, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
            self.version += 1
            for it in call.get("writes", []):
                self.rows[(it["table"], it["key"])] = (self.version, base64.b64decode(it["value"]))
            for it in call.get("remove", []):
                if (it["table"], it["key"]) in self.rows:
                    self.rows[(it["table"], it["key"])] = (self.version, None)
            self.changed.notify_all()
            return 200, {"ver": self.version, "nowMs": self.now_ms()}


class StoreHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self):
        url = urllib.parse.urlparse(self.path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/rows-feed":
            self.answer(200, self.server.feed(query))
        elif url.path == "/rows-get":
            self.answer(200, self.server.get(query))
        else:
            self.answer(404, {})

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")
        if self.path == "/rows-tx":
            time.sleep(0.003)
            self.answer(*self.server.transact(body))
        else:
            # Usage reports and orders.
            self.answer(200, {})


class ModelServer:
    """A model server. A request with the deadly part crashes it when it begins to write the answer; it is back after some seconds."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.number = number
        self.lock = threading.Lock()
        self.connections = set()
        self.incarnation = 0
        self.port = free_port()
        self.listener = None
        self.start()

    def start(self):
        self.incarnation += 1
        self.id = f"i-{self.number:02x}{self.incarnation:04x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(256)
        threading.Thread(target=self.accept, args=(self.listener, self.incarnation), daemon=True).start()
        threading.Thread(target=self.beat, args=(self.id, self.incarnation), daemon=True).start()

    def entry(self):
        self.sequence += 1
        return json.dumps({"service": "dele69a", "address": f"127.0.0.1:{self.port}", "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready",
                           "coldLeftMs": 0, "seqNo": self.sequence, "born": self.born}).encode()

    def beat(self, server_id, incarnation):
        while self.incarnation == incarnation and self.listener is not None and not self.deployment.stopping.is_set():
            self.deployment.store.write("servers", server_id, self.entry())
            self.deployment.stopping.wait(HEARTBEAT_S)

    def crash(self):
        with self.lock:
            if self.listener is None:
                return
            listener, self.listener = self.listener, None
            connections, self.connections = self.connections, set()
        self.deployment.crashes.append(time.monotonic())
        self.deployment.record.write(f"server {self.id} crashes")
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for it in connections:
            self.reset(it)
        expired = self.id
        threading.Timer(SERVER_BACK_S, self.come_back).start()
        threading.Timer(ENTRY_EXPIRES_S, self.deployment.store.write, ("servers", expired, None)).start()

    def come_back(self):
        if not self.deployment.stopping.is_set():
            self.start()
            self.deployment.record.write(f"server {self.id} starts")

    @staticmethod
    def reset(connection):
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            # Wakes the thread that reads; closing the descriptor itself then resets the connection, whoever else holds the object.
            connection.shutdown(socket.SHUT_RD)
            os.close(connection.detach())
        except OSError:
            pass

    def accept(self, listener, incarnation):
        while True:
            try:
                connection = listener.accept()[0]
            except OSError:
                return
            with self.lock:
                if self.listener is not listener:
                    self.reset(connection)
                    return
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection, incarnation), daemon=True).start()

    def serve(self, connection, incarnation):
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader = connection.makefile("rb")
            while self.incarnation == incarnation and self.handle(connection, reader):
                pass
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            try:
                connection.close()
            except OSError:
                pass

    def handle(self, connection, reader):
        line = reader.readline().decode("latin-1").split()
        if len(line) != 3:
            return False
        headers = {}
        while (field := reader.readline().decode("latin-1").strip()):
            name, _, value = field.partition(":")
            headers[name.lower()] = value.strip()
        reader.read(int(headers.get("content-length", 0)))
        if line[1] == "/report":
            body = json.dumps({"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seqNo": 1, "waiting": 0,
                               "running": len(self.connections), "kvUsed": 0, "kvTotal": 600000, "handles": 0, "born": self.born}).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return True
        request_id = headers.get("x-guavafield-request-id", "")
        if headers.get("x-guavafield-expect-instance") != self.id:
            connection.sendall(f"HTTP/1.1 421 Misdirected Request\r\nX-Guavafield-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.run(connection, request_id, headers.get("x-guavafield-prefix-hash", ""), int(headers.get("last-event-id", 0)))
        return True

    def run(self, connection, request_id, prompt, last):
        self.deployment.runs.append(request_id)
        self.deployment.record.write(f"run {request_id} at {self.id}")
        time.sleep(0.05)
        if self.deployment.deadly in [it.partition(":")[0] for it in prompt.split(",")]:
            self.crash()
            raise OSError("crashed")
        head = f"HTTP/1.1 200 OK\r\nX-Guavafield-Request-Id: {request_id}\r\nX-Guavafield-Response-Seal: 3e1b.{request_id}\r\n"
        head += "X-Guavafield-Weights-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.sendall(head.encode())
        for number in range(last + 1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_PAUSE_S)
        connection.sendall(b"0\r\n\r\n")

    def stop(self):
        with self.lock:
            listener, self.listener = self.listener, None
        if listener is not None:
            listener.close()


def configuration():
    route = {"name": "lohu930", "host": HOST_NAME, "prefix": "/lohu930/", "service": "dele69a", "kind": "stream", "resumable": True, "sticky": True,
             "maxAttempts": 2, "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1000, "gapAimMs": 300, "priority": 0}
    return {"version": 3, "routes": [route], "services": [{"name": "dele69a", "maxConns": 370, "healthPath": "/health", "engine": {
        "kvCapacity": 600000, "tokenKvBytes": 18432, "linkMbps": 180000, "stride": 4}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
            "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 0}]}


class Template:
    """Fills in the settings template as the platform does."""

    def __init__(self, fields):
        self.fields = fields

    def find(self, scopes, name):
        if name == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for step in name.split("."):
                value = value.get(step) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    @staticmethod
    def text(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(Template.text(it) for it in value)
        return str(value)

    def fill(self, text, scopes=None, key="", last=True):
        scopes = scopes or [self.fields]
        result = ""
        while "{{" in text:
            before, _, rest = text.partition("{{")
            tag, _, text = rest.partition("}}")
            result += before
            if tag.startswith("#"):
                inner, _, text = text.partition("{{/" + tag[1:] + "}}")
                result += self.section(inner, scopes, self.find(scopes, tag[1:]))
            elif tag == "@":
                result += str(key)
            elif tag == ",":
                result += "" if last else ","
            else:
                result += self.text(self.find(scopes, tag))
        return result + text

    def section(self, inner, scopes, value):
        if isinstance(value, dict):
            items = list(value.items())
            return "".join(self.fill(inner, [it, *scopes], name, n == len(items) - 1) for n, (name, it) in enumerate(items))
        return self.fill(inner, scopes) if value else ""


class Host:
    """A daemon, started with the command of the deploy file."""

    def __init__(self, deployment, folder, name, ports, seeds):
        self.name = name
        self.caller_port, self.ready_port, control = ports
        fields = {"nodeName": name, "zone": "zone-a", "region": "region", "zones": {"zone-a": "region"}, "seeds": seeds, "bootstrap": True,
                  "listen": {"front": f"127.0.0.1:{ports[0]}", "ready": f"127.0.0.1:{ports[1]}", "control": f"127.0.0.1:{control}"},
                  "limits": {"linkMbps": 1000, "memoryMb": 260, "maxFds": 4100}, "bounds": {"leaseMs": 3000, "usageWindowS": 5, "graceS": 8},
                  "provider": {"address": f"127.0.0.1:{deployment.store.port}"}, "cloud": {"address": f"127.0.0.1:{deployment.store.port}"}}
        with open(os.path.join(ROOT, "deploy", "host.ini.template")) as file:
            text = Template(fields).fill(file.read())
        settings = os.path.join(folder, name + ".ini")
        with open(settings, "w") as file:
            file.write(text)
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            command = re.search(r'^run = "([^"]*)"', file.read(), re.MULTILINE).group(1).split()
        command[command.index("--settings") + 1] = settings
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready_port), timeout=1) as it:
                it.sendall(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return it.recv(64).split()[1:2] == [b"200"]
        except OSError:
            return False

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Deployment:
    """The store, the servers and the daemons of one run."""

    def __init__(self, record, servers, hosts, deadly):
        self.record = record
        self.deadly = deadly
        self.stopping = threading.Event()
        self.crashes = []
        # Ids of requests that a server began to run.
        self.runs = []
        self.store = Store()
        self.servers_wanted, self.hosts_wanted = servers, hosts
        self.servers, self.hosts = [], []

    def __enter__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="guavafield-case-")
        try:
            self.start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def start(self):
        self.store.write("op", "config", json.dumps(configuration()).encode())
        self.servers = [ModelServer(self, n) for n in range(self.servers_wanted)]
        ports = [[free_port() for _ in range(3)] for _ in range(self.hosts_wanted)]
        seeds = [f"127.0.0.1:{it[2]}" for it in ports[:3]]
        self.hosts = [Host(self, self.folder.name, f"front-zone-a-{n + 1}", it, seeds) for n, it in enumerate(ports)]
        end = time.monotonic() + 15
        while not all(it.is_ready() for it in self.hosts):
            if time.monotonic() > end or any(it.process.poll() is not None for it in self.hosts):
                raise CaseError("the daemons do not become ready")
            time.sleep(0.1)
        # Traffic starts some time after the machines do.
        time.sleep(3)

    def begun(self):
        return set(self.runs)

    def __exit__(self, *_):
        self.stopping.set()
        for host in self.hosts:
            if host.process.poll() is not None:
                self.record.write(f"{host.name} has ended by itself, code {host.process.returncode}")
            host.stop()
            with open(host.log_path, errors="replace") as log:
                for line in log:
                    if "refused for crashes" in line:
                        self.record.write(f"log of {host.name}: {line.strip()}")
        for it in self.servers:
            it.stop()
        self.store.shutdown()
        self.store.server_close()
        self.folder.cleanup()


def send_stream(port, request_id, prompt):
    """Sends one streamed request; returns what came back."""
    request = f"POST /lohu930/2f HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Guavafield-Request-Id: {request_id}\r\nX-Guavafield-Model: m\r\n"
    request += f"X-Guavafield-Token-Counts: 1460,80\r\nX-Guavafield-Prefix-Hash: {prompt}\r\nX-Guavafield-Deadline-Ms: {DEADLINE_MS}\r\n"
    body = f"prompt {request_id}"
    request += f"Authorization: Token {KEY}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1) as it:
            it.settimeout(DEADLINE_MS / 1000 + 1)
            it.sendall(request.encode())
            data = b""
            while not data.endswith(b"0\r\n\r\n"):
                piece = it.recv(65536)
                if not piece:
                    break
                data += piece
                head, _, rest = data.partition(b"\r\n\r\n")
                length = re.search(rb"\r\nContent-Length: (\d+)", head)
                if length and len(rest) >= int(length.group(1)):
                    break
    except OSError as error:
        return f"no answer, {error}"
    status = data.split(b" ", 2)[1].decode() if data.startswith(b"HTTP/1.1 ") else "none"
    code = re.search(rb'"guavafield_code":(\d+)', data)
    return f"status {status}, {data.count(b'data: piece')} events" + (f", code {code.group(1).decode()}" if code else "")
