#!/usr/bin/env python3
"""Measures the latency that a daemon with one I/O thread and 5,000 teams adds to a short request, its CPU time and its memory.

Prints CSV: median and 95th percentile in microseconds for each path, their difference and ratio, CPU time per request and resident
memory.
"""
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
os.environ.setdefault("GUAVAFIELD_BIN_DIR", str(ROOT / "build"))
sys.path.insert(0, str(ROOT / "test" / "system"))

from fleet import Fleet, chat_body, configure, revision_of, wait_until  # noqa: E402

TEAMS = 5000
MODELS = 14
TEAMS_PER_CHANGE = 500


def team_entry(n):
    classes = [{"name": "interactive", "tier": n % 4, "ttft_ms": 500, "total_ms": 20000}]
    return {"id": f"extra-{n}", "contract": {"tier": n % 4, "share": 1.0, "classes": classes}}


def resident_mb(child):
    status = pathlib.Path(f"/proc/{child.process.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def cpu_seconds(child):
    fields = pathlib.Path(f"/proc/{child.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def apply_change(fleet, host, change):
    path = os.path.join(fleet.folder, "change.json")
    pathlib.Path(path).write_text(json.dumps(change))
    fleet.run_ctl(host, "apply", path)


def main():
    with Fleet() as fleet:
        entry = fleet.start_upstream("u0", "a", ["--speed", "1000000", "--slots", "64"], slots=64)
        host = fleet.start_host("h0", "a", extra={"host": {"threads": 1}})
        key = configure(fleet, host)["team-a"][1]
        for start in range(0, TEAMS, TEAMS_PER_CHANGE):
            apply_change(fleet, host, {"upsert": {"teams": [team_entry(n) for n in range(start, start + TEAMS_PER_CHANGE)]}})
        apply_change(fleet, host, {"upsert": {"models": [{"id": f"model-{n}"} for n in range(MODELS)]}})
        wait_until(lambda: revision_of(host) >= 3 + TEAMS // TEAMS_PER_CHANGE, "all teams are configured")
        before = cpu_seconds(host.child)
        program = os.path.join(os.environ["GUAVAFIELD_BIN_DIR"], "guavafield-overhead")
        result = subprocess.run(
            [program, "--direct-port", str(entry["port"]), "--daemon-port", str(host.caller_port), "--key", key,
             "--body", json.dumps(chat_body("short question", 1)), "--requests", "3000"], capture_output=True, text=True, check=True)
        print(result.stdout.strip())
        print(f"daemon_cpu_us_per_request,{(cpu_seconds(host.child) - before) / 3000 * 1e6:.0f},")
        print(f"daemon_resident_mb,{resident_mb(host.child):.1f},")


if __name__ == "__main__":
    main()
