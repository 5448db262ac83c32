#!/usr/bin/env python3
"""Runs the tests listed in docs/proofs.md and prints one verdict for each promised property.

Columns of its table: id, promise, tests (in backquotes), state (proved or not proved), remarks.
"""
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
ROW = re.compile(r"^\| (P\d+) \| (.*?) \| (.*?) \| (.*?) \| (.*?) \|$")
EXPECTED_ROWS = 13


def read_rows():
    for line in (ROOT / "docs/proofs.md").read_text().splitlines():
        if match := ROW.match(line):
            yield match.group(1), match.group(2), re.findall(r"`([a-z_0-9]+)`", match.group(3)), match.group(4)


def run_test(test):
    command = ["ctest", "--preset", "release", "-R", f"^{test}$", "--no-tests=error"]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True).returncode == 0


def main():
    table = list(read_rows())
    verdicts = {}
    proved_count = failed = 0
    for identifier, promise, tests, state in table:
        for test in tests:
            if test not in verdicts:
                verdicts[test] = run_test(test)
        failing = [test for test in tests if not verdicts[test]]
        proved = state == "proved" and tests and not failing
        claimed = state == "proved"
        proved_count += 1 if proved else 0
        failed += 1 if claimed and not proved or failing else 0
        verdict = "proved" if proved else ("FAILED: " + ", ".join(failing) if failing else "not proved")
        print(f"{identifier:4} {verdict:12} {promise} [{', '.join(tests)}]")
    if len(table) != EXPECTED_ROWS:
        print(f"docs/proofs.md has {len(table)} promises instead of {EXPECTED_ROWS}")
        failed += 1
    print(f"{proved_count} proved, {len(table) - proved_count - failed} not proved, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
