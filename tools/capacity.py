#!/usr/bin/env python3
"""Measures how resource use grows with size for docs/CAPACITY.md and writes docs/capacity/slopes.csv and slopes.svg.

Each row holds a quantity, the measured sizes and values, the intercept and slope of the least-squares fit, and the largest deviation
from it.
"""
import csv
import io
import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build"
OUT = ROOT / "docs" / "capacity"
os.environ.setdefault("GUAVAFIELD_BIN_DIR", str(BIN))
sys.path.insert(0, str(ROOT / "test" / "system"))
sys.path.insert(0, str(ROOT / "tools"))

from fleet import Fleet, chat_body, configure, wait_until  # noqa: E402
import importlib  # noqa: E402

overhead = importlib.import_module("measure-overhead")

IDLE_SECONDS = 15
MEMBERSHIP_SIZES = (9, 33, 110, 330)


def run(*arguments):
    return subprocess.run([str(it) for it in arguments], capture_output=True, text=True, check=True).stdout


def measure_membership():
    rows = list(csv.DictReader(io.StringIO(run(BIN / "guavafield-membership-bench", "--hosts", ",".join(map(str, MEMBERSHIP_SIZES))))))
    result = {}
    for row in rows:
        result.setdefault("membership " + row["measure"], []).append((float(row["hosts"]), float(row["value"])))
    return result


def measure_durable_state():
    result = {}
    for line in run(BIN / "guavafield-durable-cost").splitlines():
        part, *fields = line.split(",")
        if part != "fleet":
            continue
        hosts, role, count, writes, reads, size = fields
        result.setdefault(f"{role}: writes/s, all hosts", []).append((float(hosts), float(writes)))
        result.setdefault(f"{role}: reads/s, all hosts", []).append((float(hosts), float(reads)))
        result.setdefault(f"{role}: bytes/s a host", []).append((float(hosts), float(size)))
    return result


def measure_idle_daemons():
    """Measures CPU time, resident memory and peer traffic of an idle daemon in fleets of several sizes."""
    result = {}
    for size in (3, 6, 9):
        with Fleet() as fleet:
            fleet.start_upstream("u0", "a", ["--speed", "20"])
            hosts = [fleet.start_host(f"h{n}", "abc"[n % 3]) for n in range(size)]
            configure(fleet, hosts[0])
            wait_until(lambda: len(hosts[-1].operator_request("GET", "/admin/status").json()["peers"]) == size - 1, "all peers are known")
            names = ("guavafield_peer_bytes_sent_total", "guavafield_peer_bytes_received_total")
            bytes_before = sum(hosts[-1].counter(name) for name in names)
            cpu = overhead.cpu_seconds(hosts[-1].child)
            start = time.monotonic()
            time.sleep(IDLE_SECONDS)
            seconds = time.monotonic() - start
            peer_bytes = sum(hosts[-1].counter(name) for name in names) - bytes_before
            result.setdefault("idle daemon: percent of a core", []).append((size, (overhead.cpu_seconds(hosts[-1].child) - cpu) / seconds * 100))
            result.setdefault("idle daemon: resident MB", []).append((size, overhead.resident_mb(hosts[-1].child)))
            result.setdefault("idle daemon: peer bytes/s", []).append((size, peer_bytes / seconds))
    return result


def measure_streaming():
    """Measures the CPU time of the daemon for streams of several lengths."""
    result = {}
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--speed", "1000000", "--slots", "64"], slots=64)
        host = fleet.start_host("h0", "a", extra={"host": {"threads": 1}})
        key = configure(fleet, host)["team-a"][1]
        for tokens in (2000, 4000, 8000, 16000):
            before = overhead.cpu_seconds(host.child)
            events = list(host.stream(key, chat_body("stream", tokens)).events())
            assert events[-1] == "[DONE]" and len(events) == tokens + 1
            result.setdefault("stream: daemon CPU ms by tokens", []).append((tokens, (overhead.cpu_seconds(host.child) - before) * 1000))
    return result


def fit_line(points):
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x if sum_squares_x else 0.0
    intercept = mean_y - slope * mean_x
    return intercept, slope, max(abs(y - intercept - slope * x) for x, y in points)


def render_svg(series):
    width, height, columns, pad = 300, 190, 3, 40
    rows = (len(series) + columns - 1) // columns
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{columns * width}" height="{rows * height}" font-family="sans-serif" font-size="10">']
    for index, (name, points) in enumerate(series.items()):
        left, top = index % columns * width, index // columns * height
        max_x, max_y = max(x for x, _ in points), max(max(y for _, y in points), 1e-9)
        intercept, slope, _ = fit_line(points)

        def to_pixels(x, y):
            return left + pad + x / max_x * (width - 2 * pad), top + height - pad - max(0.0, min(1.1, y / max_y)) * (height - 2 * pad)

        x0, y0 = to_pixels(0, intercept)
        x1, y1 = to_pixels(max_x, intercept + slope * max_x)
        parts.append(f'<text x="{left + pad}" y="{top + 20}">{name}</text>')
        parts.append(f'<rect x="{left + pad}" y="{top + pad}" width="{width - 2 * pad}" height="{height - 2 * pad}" fill="none" stroke="#bbb"/>')
        parts.append(f'<line x1="{x0:.1f}" y1="{y0:.1f}" x2="{x1:.1f}" y2="{y1:.1f}" stroke="#3465a4"/>')
        parts += [f'<circle cx="{to_pixels(x, y)[0]:.1f}" cy="{to_pixels(x, y)[1]:.1f}" r="3" fill="#cc0000"/>' for x, y in points]
        parts.append(f'<text x="{left + 4}" y="{top + pad + 4}">{max_y:.4g}</text><text x="{left + width - 60}" y="{top + height - 24}">{max_x:g}</text>')
    parts.append("</svg>")
    return "\n".join(parts) + "\n"


def main():
    series = {**measure_durable_state(), **measure_membership(), **measure_idle_daemons(), **measure_streaming()}
    OUT.mkdir(exist_ok=True)
    with open(OUT / "slopes.csv", "w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(["quantity", "sizes", "values", "intercept", "slope", "largest deviation"])
        for name, points in series.items():
            intercept, slope, deviation = fit_line(points)
            row = [name, " ".join(f"{x:g}" for x, _ in points), " ".join(f"{y:.4g}" for _, y in points)]
            writer.writerow([*row, f"{intercept:.4g}", f"{slope:.4g}", f"{deviation:.3g}"])
    (OUT / "slopes.svg").write_text(render_svg(series))
    print((OUT / "slopes.csv").read_text())


if __name__ == "__main__":
    main()
