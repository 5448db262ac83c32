#!/usr/bin/env python3
"""Demonstrates a small fleet on loopback: three data centres, a contract change under load and the withdrawal of a key."""
import json
import os
import pathlib
import sys
import threading

ROOT = pathlib.Path(__file__).resolve().parent.parent
os.environ.setdefault("GUAVAFIELD_BIN_DIR", str(ROOT / "build"))
sys.path.insert(0, str(ROOT / "test" / "system"))

from fleet import Fleet, chat_body, wait_until  # noqa: E402

DATA_CENTRES = ("evora", "beja", "portalegre")


def print_section(title, text=""):
    print(f"\n== {title}")
    if text:
        print(text.rstrip())



class BackgroundTraffic:
    """A caller that sends short requests to all hosts in turn, from a background thread."""

    def __init__(self, hosts, key):
        self.hosts, self.key = hosts, key
        self.statuses = {}
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        n = 0
        while not self.stopped.wait(0.02):
            status = self.hosts[n % len(self.hosts)].chat(self.key, chat_body(f"question {n}")).status
            self.statuses[status] = self.statuses.get(status, 0) + 1
            n += 1

    def stop(self):
        self.stopped.set()
        self.thread.join()
        return self.statuses


def main():
    with Fleet() as fleet:
        print_section("starting a stand-in platform, 6 stand-in upstreams and 3 daemons in 3 data centres")
        for name in DATA_CENTRES:
            for n in (1, 2):
                fleet.start_upstream(f"{name}-{n}", name, ["--speed", "10"])
        hosts = [fleet.start_host("host-" + name, name) for name in DATA_CENTRES]
        first = hosts[0]

        print_section("an operator configures the fleet through one host")
        document = {"upsert": {
            "models": [{"id": "small"}],
            "upstreams": list(fleet.upstreams.values()),
            "routes": [{"id": "chat", "prefix": "/v1/", "target": "models"}],
        }}
        path = os.path.join(fleet.folder, "fleet.json")
        with open(path, "w") as file:
            json.dump(document, file)
        print(fleet.run_ctl(first, "apply", path).rstrip())
        print(fleet.run_ctl(first, "teams", "create", "frota", "--tier", "0", "--share", "1",
                            "--class", "question:0:2000:20000", "--class", "report:3:60000:600000").rstrip())
        created = json.loads(fleet.run_ctl(first, "--json", "keys", "create", "--team", "frota"))
        key, key_id = created["secret"], created["id"]
        print(f"key {key_id} created; its secret is shown once")

        for host in hosts:
            wait_until(host.is_ready, f"{host.name} ready")
            wait_until(lambda it=host: it.chat(key, chat_body("hello")).status == 200, f"{host.name} answers")

        print_section("a plain answer from each data centre")
        for host in hosts:
            response = host.chat(key, chat_body(f"where is lorry 7, asks {host.data_centre}"))
            print(host.name, response.status, response.json()["choices"][0]["message"]["content"])

        print_section("a streamed answer")
        events = list(first.stream(key, chat_body("tell me more", 4)).events())
        print("\n".join(events))

        traffic = BackgroundTraffic(hosts, key)
        print_section("the contract is changed while requests run")
        print(fleet.run_ctl(first, "teams", "change", "frota", "--share", "3").rstrip())
        print(fleet.run_ctl(first, "status").rstrip())
        wait_until(lambda: sum(traffic.statuses.values()) >= 90, "90 answers")
        statuses = traffic.stop()
        print("answers by status while the contract changed:", statuses)

        print_section("the key is withdrawn")
        print(fleet.run_ctl(first, "keys", "withdraw", key_id).rstrip())
        for host in hosts:
            refused = wait_until(lambda it=host: (lambda a: a if a.status == 401 else None)(it.chat(key, chat_body("again"))), f"{host.name} refuses")
            print(host.name, refused.status, "code", refused.code)

        print_section("counters and refusals of one host")
        print(fleet.run_ctl(first, "refusals").rstrip())

        print_section("graceful stop")
        for host in hosts:
            host.child.terminate()
        print("exit codes:", [host.child.wait() for host in hosts])
        assert statuses.keys() == {200}, statuses
        print("\nall as expected")


if __name__ == "__main__":
    main()
