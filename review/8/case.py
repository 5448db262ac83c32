"""Case 8: a prompt part that crashes servers, and sound requests that share another part with it.

Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 sends no request with the deadly part.
"""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from deployment import CONTACT_S, CaseError, Deployment, Record, send_stream

SERVERS = 8
HOSTS = 3
# The sound requests come in rounds, as a client sends them that works through documents.
ROUND_EVERY_S = 3.0
ROUND_REQUESTS = 4
CALM_ROUNDS = 8
ROUNDS_AFTERWARDS = 11
# Requests with the deadly part, no two alike.
DEADLY_EVERY_S = 0.65
# The first of them is sent so long after a round.
DEADLY_OFFSET_S = 0.9
# The rule wants so many sound requests within the disruption and outside of it.
LEAST_REQUESTS = 20

# Parts of the prompts. The deadly part is a first part; the second part stands below it and below a sound first part.
DEADLY_FIRST = "dead0001"
SOUND_FIRST = "50fa0001"
SHARED_SECOND = "b10c0002"


def parts(first, number):
    return f"{first}:800,{SHARED_SECOND}:410,{number:08x}:250"


class Traffic:
    """Sends sound and deadly requests in turn to all machines, each on a connection of its own, and never a second time."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.lock = threading.Lock()
        self.sent = 0
        # (id, time of sending, kind)
        self.requests = []
        self.threads = []
        self.stopping = threading.Event()

    def send(self, kind, first):
        with self.lock:
            self.sent += 1
            number = self.sent
            request_id = f"{number:016x}"
            self.requests.append((request_id, time.monotonic(), kind))
        host = self.deployment.hosts[number % len(self.deployment.hosts)]
        thread = threading.Thread(target=self.run, args=(kind, host, request_id, parts(first, 0x70000000 + number)), daemon=True)
        self.threads.append(thread)
        thread.start()

    def run(self, kind, host, request_id, prompt):
        self.record.write(f"sent {kind} {request_id} to {host.name}, parts {prompt}")
        outcome = send_stream(host.caller_port, request_id, prompt)
        self.record.write(f"answered {kind} {request_id}: {outcome}")

    def round(self):
        for _ in range(ROUND_REQUESTS):
            self.send("sound", SOUND_FIRST)

    def send_deadly(self):
        while not self.stopping.wait(DEADLY_EVERY_S):
            self.send("deadly", DEADLY_FIRST)


def share_begun(requests, begun):
    return sum(request_id in begun for request_id in requests) / len(requests)


def play(record, trouble):
    with Deployment(record, SERVERS, HOSTS, DEADLY_FIRST) as deployment:
        traffic = Traffic(deployment, record)
        start = time.monotonic()
        for n in range(CALM_ROUNDS):
            time.sleep(max(0.0, start + n * ROUND_EVERY_S - time.monotonic()))
            traffic.round()
        time.sleep(DEADLY_OFFSET_S)
        trouble_at = time.monotonic()
        if trouble:
            record.write("the requests with the deadly part begin")
            traffic.send("deadly", DEADLY_FIRST)
            threading.Thread(target=traffic.send_deadly, daemon=True).start()
        for n in range(CALM_ROUNDS, CALM_ROUNDS + ROUNDS_AFTERWARDS + 4):
            time.sleep(max(0.0, start + n * ROUND_EVERY_S - time.monotonic()))
            traffic.round()
        time.sleep(2)
        traffic.stopping.set()
        for it in traffic.threads:
            it.join(10)
        crashes = sorted(deployment.crashes)
        begun = deployment.begun()
    if trouble and not crashes:
        raise CaseError("no server crashed")
    # From 2 x contactMs after the fifth crash, or after the last if there are fewer.
    counted_from = (crashes[min(5, len(crashes)) - 1] if crashes else trouble_at) + 2 * CONTACT_S
    sound = [(request_id, at) for request_id, at, kind in traffic.requests if kind == "sound"]
    before = [request_id for request_id, at in sound if at < trouble_at]
    after = [request_id for request_id, at in sound if at >= counted_from]
    if min(len(before), len(after)) < LEAST_REQUESTS:
        raise CaseError(f"only {len(before)} and {len(after)} sound requests")
    shares = share_begun(before, begun), share_begun(after, begun)
    late = [it for it in crashes if it > counted_from]
    record.write(f"crashes {len(crashes)}, of them {len(late)} later than counted; sound requests begun: {shares[0]:.2f} of {len(before)} before the "
                 f"deadly part came, {shares[1]:.2f} of {len(after)} from {2 * CONTACT_S:.0f} s after the fifth or last crash on")
    return shares[1] < shares[0] / 2


def main():
    with Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")) as record:
        try:
            broken = play(record, os.environ.get("TROUBLE", "1") != "0")
        except (CaseError, OSError) as error:
            record.write(f"could not run: {error}")
            return 2
        record.write("LOST is broken" if broken else "the rule held")
        return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
