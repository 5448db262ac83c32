"""Stand-in for the machines platform on loopback: row store, duty endpoints and servers, with fault injection.

The operating system assigns the ports. Every process started here is also terminated here, by its process id.
"""
import base64
import json
import os
import signal
import socket
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from fleet import BIN_DIR, ChildProcess, http_request, wait_until

HOST_NAME = "app.example"
WINDOW_S = 5


class RequestHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def respond(self, status, body=b"", headers=()):
        data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def dispatch(self):
        try:
            self.server.service.handle(self)
        except (BrokenPipeError, ConnectionResetError):
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = dispatch


class QuietHttpServer(ThreadingHTTPServer):
    """An HTTP server that logs no errors, since tests disconnect clients during requests."""

    request_queue_size = 512

    def handle_error(self, *_):
        pass


class HttpService:
    """An HTTP server on an ephemeral port, or on one that a former server has had; subclasses implement handle()."""

    STOP_POLL_S = 0.02

    def __init__(self, port=0):
        self.server = QuietHttpServer(("127.0.0.1", port), RequestHandler)
        self.server.daemon_threads = True
        self.server.service = self
        self.port = self.server.server_address[1]
        self.thread = threading.Thread(target=self.server.serve_forever, args=(self.STOP_POLL_S,), daemon=True)
        self.thread.start()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


class RowStore(HttpService):
    """Row store with a global version counter, long polling and transactions; also records usage reports and scaling orders."""

    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}
        self.version = 0
        self.era = 1
        # Hosts share the loopback address and can't be told apart, so faults apply to all of them.
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.usage = []
        self.orders = []
        super().__init__()

    def write(self, table, key, value):
        with self.changed:
            self.version += 1
            self.rows[(table, key)] = (self.version, value)
            self.changed.notify_all()

    def remove(self, table, key):
        self.write(table, key, None)

    def copy(self):
        with self.changed:
            return dict(self.rows), self.version

    def restore(self, copy):
        """Takes back all that was written after the copy; versions are given out again."""
        with self.changed:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.era += 1
            self.changed.notify_all()

    @staticmethod
    def encode_row(table, key, entry):
        version, value = entry
        result = {"table": table, "part": "", "key": key, "ver": version}
        result.update({"removed": True} if value is None else {"value": base64.b64encode(value.encode()).decode()})
        return result

    def handle(self, handler):
        url = urllib.parse.urlparse(handler.path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        body = handler.body()
        time.sleep(self.delay_s)
        if self.down:
            handler.respond(503, headers=self.headers())
        elif url.path == "/rows-feed":
            status, reply = self.wait_for_changes(query["table"], int(query["after"]), int(query["waitMs"]) / 1000)
            handler.respond(status, reply, self.headers())
        elif url.path == "/rows-get":
            handler.respond(200, self.read_rows(query), self.headers())
        elif url.path == "/rows-tx":
            status, reply = self.transact(json.loads(body))
            if self.lose_answers > 0:
                self.lose_answers -= 1
                handler.connection.close()
                return
            handler.respond(status, reply, self.headers())
        elif url.path == "/usage":
            self.usage.append((handler.headers["X-Guavafield-Duty-Holder"], int(handler.headers["X-Guavafield-Fencing-Token"]), json.loads(body)))
            handler.respond(200, {})
        elif url.path == "/scale":
            self.orders.append((handler.headers["X-Guavafield-Duty-Holder"], int(handler.headers["X-Guavafield-Fencing-Token"]), json.loads(body)))
            handler.respond(200, {})
        else:
            handler.respond(404)

    def headers(self):
        return [("Store-Era", str(self.era))]

    def wait_for_changes(self, table, after, wait):
        def changes():
            found = [self.encode_row(*name, entry) for name, entry in self.rows.items() if name[0] == table and entry[0] > after]
            return sorted(found, key=lambda it: it["ver"])

        with self.changed:
            self.changed.wait_for(lambda: changes() or after > self.version, timeout=wait)
            if after > self.version:
                return 410, {}
            return 200, {"rows": changes(), "ver": self.version, "nowMs": 0}

    def read_rows(self, query):
        with self.changed:
            keys = sorted(key for (table, key), entry in self.rows.items() if table == query["table"] and entry[1] is not None)
            keys = [it for it in keys if it >= query.get("from", "") and ("to" not in query or it < query["to"])]
            limit = int(query.get("limit", 500))
            rows = [self.encode_row(query["table"], it, self.rows[(query["table"], it)]) for it in keys[:limit]]
            return {"rows": rows, "hasMore": len(keys) > limit, "ver": self.version, "nowMs": 0}

    def transact(self, transaction):
        with self.changed:
            expected = [(it["table"], it["key"], it["ver"]) for it in transaction["expectedRev"]]
            current_rows = {(table, key): self.rows.get((table, key), (0, None)) for table, key, _ in expected}
            matches = all((entry[0] if entry[1] is not None else 0) == ver for (table, key, ver), entry in zip(expected, current_rows.values()))
            if not matches:
                rows = [self.encode_row(*name, entry) for name, entry in current_rows.items() if entry[1] is not None]
                return 412, {"rows": rows, "ver": self.version, "nowMs": 0}
            self.version += 1
            for it in transaction["writes"]:
                self.rows[(it["table"], it["key"])] = (self.version, base64.b64decode(it["value"]).decode())
            for it in transaction["remove"]:
                if (it["table"], it["key"]) in self.rows:
                    self.rows[(it["table"], it["key"])] = (self.version, None)
            self.changed.notify_all()
            return 200, {"ver": self.version, "nowMs": 0}


class StandInServer(HttpService):
    """A service instance: responds to plain requests with its id and to streams with numbered events."""

    def __init__(self, name):
        self.name = name
        self.handled_requests = []
        self.delay_s = 0.0
        super().__init__()

    def entry(self, service, zone, state="ready"):
        return json.dumps({"service": service, "address": f"127.0.0.1:{self.port}", "zone": zone, "version": "v1", "slots": 8, "state": state,
                           "coldLeftMs": 0, "seqNo": 1, "born": 1700000000000})

    def handle(self, handler):
        handler.body()
        if handler.headers["X-Guavafield-Expect-Instance"] != self.name:
            handler.respond(421, headers=[("X-Guavafield-Instance-Id", self.name)])
            return
        request_id = handler.headers["X-Guavafield-Request-Id"]
        self.handled_requests.append((request_id, handler.headers.get("X-Guavafield-Tenant")))
        headers = [("X-Guavafield-Request-Id", request_id), ("X-Guavafield-Response-Seal", "seal-" + request_id)]
        if not handler.path.startswith("/stream/"):
            time.sleep(self.delay_s)
            handler.respond(200, self.name.encode(), headers)
            return
        handler.send_response(200)
        for name, value in [*headers, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]:
            handler.send_header(name, value)
        handler.end_headers()
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, 11):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.flush()
            time.sleep(self.delay_s)
        handler.wfile.write(b"0\r\n\r\n")


class EndlessServer:
    """A service instance whose answers never end; the path says what they seem to be. Listens on an ephemeral port.

    Each answer pauses after its first bytes until it is released, so that all of them are under way at once.
    """

    PAUSE_AFTER_BYTES = 1_000_000
    ANSWER_BYTES = 6_000_000

    def __init__(self, name):
        self.name = name
        self.lock = threading.Lock()
        # Answers that pause or whose connection was closed before.
        self.paused = 0
        self.released = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, service, zone):
        return json.dumps({"service": service, "address": f"127.0.0.1:{self.port}", "zone": zone, "version": "v1", "slots": 512, "state": "ready",
                           "coldLeftMs": 0, "seqNo": 1, "born": 1700000000000})

    def stop(self):
        self.listener.close()

    def accept(self):
        while True:
            try:
                connection = self.listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            try:
                request = b""
                while b"\r\n\r\n" not in request:
                    piece = connection.recv(65536)
                    if not piece:
                        return
                    request += piece
                start, piece = self.answer(request.decode("latin-1"))
                connection.sendall(start)
                try:
                    self.send_repeatedly(connection, piece, self.PAUSE_AFTER_BYTES)
                finally:
                    with self.lock:
                        self.paused += 1
                self.released.wait(30)
                self.send_repeatedly(connection, piece, self.ANSWER_BYTES)
                # The daemon closes the connection.
                connection.settimeout(30)
                connection.recv(1)
            except OSError:
                pass

    @staticmethod
    def send_repeatedly(connection, piece, size):
        for _ in range(size // len(piece)):
            connection.sendall(piece)

    @staticmethod
    def answer(request):
        lines = request.split("\r\n")
        request_id = next(it.partition(":")[2].strip() for it in lines if it.lower().startswith("x-guavafield-request-id:"))
        head = f"HTTP/1.1 200 OK\r\nX-Guavafield-Request-Id: {request_id}\r\nX-Guavafield-Response-Seal: s\r\n"
        stream = head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        filler = b"a" * 16384
        forms = {
            "event": (stream + "id: 1\ndata: ", filler),
            "lines": (stream + "id: 1\n", b"data: " + filler[:1000] + b"\n"),
            "comments": (stream, b": " + filler[:1000] + b"\n"),
            "body": (head + "Connection: close\r\n\r\n", filler),
            "stray": (head.replace(request_id, "another") + "Connection: close\r\n\r\n", filler),
            "header": ("HTTP/1.1 200 OK\r\nX-Long: ", filler),
            "headers": ("HTTP/1.1 200 OK\r\n", b"X-Line: " + filler[:200] + b"\r\n"),
            "extension": (head + "Transfer-Encoding: chunked\r\n\r\n5;x=", filler),
        }
        start, piece = forms[lines[0].split(" ")[1].rsplit("/", 1)[1]]
        return start.encode(), piece


def operators_document(version, keys=("key-a",), routes=(), services=()):
    """Returns a configuration document as operators write it, with a plain and a streamed route."""
    plain = {"name": "call", "host": HOST_NAME, "prefix": "/call/", "kind": "idempotent", "timeoutMs": 5000, "targetLatencyMs": 500, "service": "s",
             "maxAttempts": 2}
    stream = {"name": "stream", "host": HOST_NAME, "prefix": "/stream/", "kind": "stream", "resumable": True, "timeoutMs": 20000,
              "targetLatencyMs": 1000, "gapAimMs": 500, "service": "s", "maxAttempts": 2}
    return json.dumps({"version": version, "routes": [plain, stream, *routes], "services": [{"name": "s", "maxConns": 100}, *services],
                       "tenants": [{"name": "team-a", "apiKeys": list(keys)}]})


def is_ready(host):
    try:
        return http_request(host["operator_port"], "GET", "/ready").status == 200
    except OSError:
        return False


class MachinesFixture:
    """Row store, servers and daemons of one test."""

    def __enter__(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = RowStore()
        self.servers = {}
        self.hosts = {}
        # Lines added to the settings of hosts that are started later.
        self.extra_settings = []
        self.store.write("op", "config", operators_document(1))
        return self

    def __exit__(self, *_):
        for host in self.hosts.values():
            host["child"].kill()
        for it in [*self.servers.values(), self.store]:
            it.stop()
        self.folder.cleanup()

    def start_server(self, name, zone="a"):
        server = StandInServer(name)
        self.servers[name] = server
        self.store.write("servers", name, server.entry("s", zone))
        return server

    def settings(self, name, zone, seeds):
        return "\n".join([
            "[host]", f"id = {name}", f"data_centre = {zone}", "threads = 1", "fleet_secret = machines-test", "[listen]", "address = 127.0.0.1",
            "caller_port = 0", "operator_port = 0", "peer_port = 0", "ready_path = /ready", "[platform]", "kind = machines",
            f"endpoint = 127.0.0.1:{self.store.port}", f"duties = 127.0.0.1:{self.store.port}", "holder_gap_ms = 500",
            f"usage_window_s = {WINDOW_S}", "[peers]", f"seeds = {seeds}", "[shutdown]", "grace_s = 4", *self.extra_settings, ""])

    def bin_dir(self):
        """Returns the folder of the daemon that a host starts."""
        return BIN_DIR

    def start_host(self, name, zone="a"):
        seeds = ",".join(f"127.0.0.1:{it['peer_port']}" for it in self.hosts.values())
        path = os.path.join(self.folder.name, name + ".ini")
        with open(path, "w") as file:
            file.write(self.settings(name, zone, seeds))
        child = ChildProcess(self.folder.name, name, [os.path.join(self.bin_dir(), "guavafieldd"), "--settings", path])

        def ports():
            line = next((it for it in child.run_output().splitlines() if it.startswith("caller_port=")), None)
            return line and dict(it.split("=") for it in line.split())

        found = wait_until(ports, f"ports of {name}")
        host = {"child": child, "settings": path, **{key: int(value) for key, value in found.items()}}
        self.hosts[name] = host
        return host

    def reload(self, host):
        host["child"].send_signal(signal.SIGHUP)
