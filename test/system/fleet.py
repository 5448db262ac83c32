"""Runs a small fleet on loopback for system tests: a stand-in platform, stand-in upstreams and daemons.

The operating system assigns the ports. Every process started here is also terminated here, by its process id.
"""
import http.client
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time

BIN_DIR = os.environ["GUAVAFIELD_BIN_DIR"]
FLEET_SECRET = "system-test-fleet-secret"
OPERATOR_TOKEN = "system-test-operator-token"
# Default timeout of wait_until(), which returns as soon as the condition holds.
WAIT_LIMIT_S = 60.0


def wait_until(condition, what, limit_s=WAIT_LIMIT_S):
    """Polls condition() until it returns a true value and returns that value; raises an error naming `what` after limit_s."""
    end = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"timed out waiting for: {what}")
        time.sleep(0.02)


class HttpResponse:
    """A complete HTTP response; header names are in lower case."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    def json(self):
        return json.loads(self.body)

    @property
    def code(self):
        """The numeric result code in an error body."""
        return self.json()["error"]["guavafield_code"]


def http_request(port, method, path, body=None, headers=None, timeout_s=60.0):
    """Sends one request to 127.0.0.1 and returns the complete response."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return HttpResponse(response.status, response.getheaders(), response.read().decode())
    finally:
        connection.close()


class Stream:
    """A server-sent event stream that is read one event at a time."""

    def __init__(self, port, path, body, headers):
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_LIMIT_S)
        self.connection.request("POST", path, json.dumps(body), headers)
        self.response = self.connection.getresponse()
        self.status = self.response.status

    def events(self):
        """Yields the data of each event until the stream ends, whether it is complete or truncated."""
        while True:
            try:
                line = self.response.readline()
            except (http.client.HTTPException, OSError):
                return
            if not line:
                return
            line = line.decode().strip()
            if line.startswith("data: "):
                yield line[len("data: "):]

    def close(self):
        self.connection.close()


class ChildProcess:
    """A running process whose standard output and error are written to files."""

    def __init__(self, folder, name, arguments):
        self.name = name
        self.arguments = arguments
        self.out_path = os.path.join(folder, name + ".out")
        self.err_path = os.path.join(folder, name + ".err")
        with open(self.out_path, "ab") as out, open(self.err_path, "ab") as err:
            # Earlier processes of the same name wrote what comes before.
            self.out_start = out.tell()
            self.process = subprocess.Popen(arguments, stdout=out, stderr=err, stdin=subprocess.DEVNULL)

    def output(self):
        with open(self.out_path, "rb") as file:
            return file.read().decode(errors="replace")

    def run_output(self):
        """Returns the output of this process alone."""
        with open(self.out_path, "rb") as file:
            file.seek(self.out_start)
            return file.read().decode(errors="replace")

    def log(self):
        """Returns all output: the daemon logs to standard output and reports settings errors on standard error."""
        with open(self.err_path, "rb") as file:
            return self.output() + file.read().decode(errors="replace")

    def is_running(self):
        return self.process.poll() is None

    def peak_memory_mb(self):
        """Returns the largest resident memory that the process has had."""
        with open(f"/proc/{self.process.pid}/status") as file:
            return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmHWM:"))

    def send_signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def suspend(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self):
        self.send_signal(signal.SIGTERM)

    def wait(self, limit_s=WAIT_LIMIT_S):
        return self.process.wait(timeout=limit_s)


class TcpProxy:
    """A TCP proxy to a local port that can drop all connections, which simulates a network partition between two processes."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.partitioned = False
        self.connections = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.partitioned:
                client.close()
                continue
            try:
                server_side = socket.create_connection(("127.0.0.1", self.target_port))
            except OSError:
                client.close()
                continue
            self.connections.append((client, server_side))
            for source, sink in ((client, server_side), (server_side, client)):
                threading.Thread(target=self._forward, args=(source, sink), daemon=True).start()

    @staticmethod
    def _forward(source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        for it in (source, sink):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def set_partitioned(self, partitioned):
        self.partitioned = partitioned
        if partitioned:
            for pair in self.connections:
                for it in pair:
                    try:
                        it.shutdown(socket.SHUT_RDWR)
                    except OSError:
                        pass
            self.connections.clear()

    def close(self):
        self.set_partitioned(True)
        self.listener.close()


class Host:
    """A daemon process, its settings and its ports."""

    def __init__(self, fleet, name, data_centre, platform_port, seeds, extra):
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.settings_path = os.path.join(fleet.folder, name + ".ini")
        sections = {
            "host": {"id": name, "data_centre": data_centre, "threads": 2, "fleet_secret": FLEET_SECRET},
            "listen": {"address": "127.0.0.1", "caller_port": 0, "operator_port": 0, "peer_port": 0},
            "platform": {"address": "127.0.0.1", "port": platform_port},
            "operators": {"token_digest": fleet.operator_digest},
            "shutdown": {"listen_time_ms": 100, "stop_limit_ms": 30000},
        }
        if seeds:
            sections["peers"] = {"seeds": ",".join(f"127.0.0.1:{port}" for port in seeds)}
        for section, keys in (extra or {}).items():
            sections.setdefault(section, {}).update(keys)
        with open(self.settings_path, "w") as file:
            for section, keys in sections.items():
                file.write(f"[{section}]\n" + "".join(f"{key} = {value}\n" for key, value in keys.items()))
        self.start()

    def start(self):
        # Counts the port lines of earlier runs before the new process can append its own to the same file.
        output = os.path.join(self.fleet.folder, self.name + ".out")
        start = 0
        if os.path.exists(output):
            with open(output) as file:
                start = len(re.findall(r"caller_port=", file.read()))
        self.child = ChildProcess(self.fleet.folder, self.name, [os.path.join(BIN_DIR, "guavafieldd"), "--settings", self.settings_path])
        self.fleet.children.append(self.child)
        ports = wait_until(lambda: self._ports(start), f"ports of {self.name}")
        self.caller_port, self.operator_port, self.peer_port = ports

    def _ports(self, start):
        if not self.child.is_running():
            raise AssertionError(f"{self.name} exited: {self.child.log()}")
        found = re.findall(r"caller_port=(\d+) operator_port=(\d+) peer_port=(\d+)", self.child.output())
        return tuple(int(it) for it in found[-1]) if len(found) > start or (found and start == 0) else None

    def chat(self, key, body, headers=None):
        return http_request(self.caller_port, "POST", "/v1/chat/completions", body, self._headers(key, headers))

    def stream(self, key, body, headers=None):
        return Stream(self.caller_port, "/v1/chat/completions", dict(body, stream=True), self._headers(key, headers))

    @staticmethod
    def _headers(key, headers):
        result = {"Content-Type": "application/json"}
        if key:
            result["Authorization"] = "Bearer " + key
        result.update(headers or {})
        return result

    def operator_request(self, method, path, body=None):
        return http_request(self.operator_port, method, path, body, {"Authorization": "Bearer " + OPERATOR_TOKEN})

    def is_ready(self):
        try:
            return http_request(self.operator_port, "GET", "/readyz").status == 200
        except OSError:
            return False

    def counter(self, name):
        """Returns a counter summed over all label values, or a single series if the name includes its labels."""
        text = http_request(self.operator_port, "GET", "/metrics").body
        total = 0
        for line in text.splitlines():
            if line.startswith(name) and line[len(name):len(name) + 1] in (" ", "{"):
                total += float(line.rsplit(" ", 1)[1])
        return total


class Fleet:
    """A stand-in platform, upstreams and daemons. The context manager terminates them and prints their logs after a failure."""

    def __init__(self, platform_arguments=()):
        self.temporary_folder = tempfile.TemporaryDirectory(prefix="guavafield-")
        self.folder = self.temporary_folder.name
        self.children = []
        self.proxies = []
        self.upstreams = {}
        self.hosts = []
        import hashlib
        import hmac
        self.operator_digest = hmac.new(FLEET_SECRET.encode(), OPERATOR_TOKEN.encode(), hashlib.sha256).hexdigest()
        self.platform_port = self._start_stand_in("platform", "guavafield-platform-standin", list(platform_arguments))
        self.platform_child = self.children[-1]

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.print_logs()
        for proxy in self.proxies:
            proxy.close()
        for child in self.children:
            if child.is_running():
                child.resume()
                child.kill()
        self.temporary_folder.cleanup()

    def print_logs(self):
        for child in self.children:
            print(f"--- {child.name}\n" + child.log()[-4000:])

    def _start_stand_in(self, name, program, arguments):
        child = ChildProcess(self.folder, name, [os.path.join(BIN_DIR, program), "--listen", "127.0.0.1", "--port", "0", *arguments])
        self.children.append(child)
        line = wait_until(lambda: re.search(r"\d+", child.output()), f"port of {name}")
        return int(line.group())

    def start_upstream(self, name, data_centre, arguments=(), **fields):
        """Starts a stand-in upstream and returns its configuration entry."""
        port = self._start_stand_in(name, "guavafield-upstream-standin", list(arguments))
        entry = {"id": name, "address": "127.0.0.1", "port": port, "data_centre": data_centre, "slots": 8, "models": ["small"]}
        entry.update(fields)
        self.upstreams[name] = entry
        return entry

    def upstream_child(self, name):
        return next(it for it in reversed(self.children) if it.name == name)

    def start_host(self, name, data_centre, through_proxy=False, extra=None):
        platform_port = self.platform_port
        proxy = None
        if through_proxy:
            proxy = TcpProxy(self.platform_port)
            self.proxies.append(proxy)
            platform_port = proxy.port
        host = Host(self, name, data_centre, platform_port, [it.peer_port for it in self.hosts if it.peer_port], extra)
        host.proxy = proxy
        self.hosts.append(host)
        return host

    def run_ctl(self, host, *arguments, check=True):
        """Runs guavafieldctl against a host; returns its standard output, or the completed process if check is false."""
        result = subprocess.run(
            [os.path.join(BIN_DIR, "guavafieldctl"), "--address", f"127.0.0.1:{host.operator_port}", "--token", OPERATOR_TOKEN, *arguments],
            capture_output=True, text=True, timeout=WAIT_LIMIT_S)
        if check and result.returncode != 0:
            raise AssertionError(f"guavafieldctl {' '.join(arguments)}: exit {result.returncode}\n{result.stdout}{result.stderr}")
        return result.stdout if check else result

    def platform_request(self, method, path, body=None):
        return http_request(self.platform_port, method, path, body)

    def set_faults(self, **switches):
        response = self.platform_request("POST", "/control", switches)
        assert response.status == 200, response.body


def chat_body(prompt, tokens=6):
    return {"model": "small", "messages": [{"role": "user", "content": prompt}], "max_tokens": tokens}


def response_text(response):
    return response.json()["choices"][0]["message"]["content"]


def configure(fleet, host, teams=("team-a",), extra_upsert=None):
    """Applies a configuration with all upstreams, a model route and the teams; returns (key id, secret) by team."""
    upsert = {
        "models": [{"id": "small"}],
        "upstreams": list(fleet.upstreams.values()),
        "routes": [{"id": "chat", "prefix": "/v1/", "target": "models"}],
        "teams": [{
            "id": team,
            "contract": {
                "tier": 0, "share": 1.0,
                "classes": [{"name": "interactive", "tier": 0, "ttft_ms": 20000, "total_ms": 120000}],
            },
        } for team in teams],
    }
    for kind, items in (extra_upsert or {}).items():
        upsert[kind] = upsert.get(kind, []) + items
    path = os.path.join(fleet.folder, "configuration.json")
    with open(path, "w") as file:
        json.dump({"upsert": upsert}, file)
    fleet.run_ctl(host, "apply", path)
    keys = {}
    for team in teams:
        created = json.loads(fleet.run_ctl(host, "--json", "keys", "create", "--team", team))
        keys[team] = (created["id"], created["secret"])
    revision = json.loads(fleet.run_ctl(host, "--json", "show"))["revision"]
    wait_for_revision(fleet.hosts, revision)
    return keys


def revision_of(host):
    return host.operator_request("GET", "/admin/status").json()["revision"]


def wait_for_revision(hosts, revision):
    for host in hosts:
        wait_until(lambda it=host: revision_of(it) >= revision, f"revision {revision} at {host.name}")


def run_in_parallel(functions):
    """Runs each function in its own thread and returns the results in order; raises the first exception."""
    results = [None] * len(functions)

    def run(n):
        try:
            results[n] = functions[n]()
        except Exception as error:  # raised in the calling thread below
            results[n] = error

    threads = [threading.Thread(target=run, args=(n,)) for n in range(len(functions))]
    for it in threads:
        it.start()
    for it in threads:
        it.join()
    for it in results:
        if isinstance(it, Exception):
            raise it
    return results


def run_tests(names, parallel=False):
    """Runs every test_... function in `names`; exits with status 1 if one fails or there are none."""
    import sys
    import traceback

    def run(name, function):
        try:
            function()
        except Exception:
            print(f"{name}: FAILED\n{traceback.format_exc()}", flush=True)
            return False
        print(f"{name}: passed", flush=True)
        return True

    tests = [lambda it=it: run(*it) for it in names.items() if it[0].startswith("test_") and callable(it[1])]
    results = run_in_parallel(tests) if parallel else [it() for it in tests]
    sys.exit(0 if results and all(results) else 1)
