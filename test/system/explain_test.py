"""Checks guavafieldctl explain: it prints the log lines of one request in chronological order, whatever their order in the logs, and a cause."""
import os
import subprocess

from fleet import BIN_DIR, run_tests

LOGS = os.path.join(os.environ["GUAVAFIELD_SOURCE_DIR"], "test", "golden", "explain.log")


def run_explain(request, *files, text=None):
    return subprocess.run([os.path.join(BIN_DIR, "guavafieldctl"), "explain", request, *files], input=text, capture_output=True, text=True)


def test_unknown_outcome_names_upstream_and_cause():
    result = run_explain("7760c9c4ba5745d6", LOGS)
    lines = result.stdout.splitlines()
    assert result.returncode == 0 and len(lines) == 6, result.stdout + result.stderr
    assert "dispatched" in lines[0] and "attempt failed" in lines[1] and "ended" in lines[3], lines
    assert "fleet: upstream gone" in lines[4] and "i-7d36e69311" in lines[4], lines
    assert lines[-1].startswith("cause: failed, UpstreamIncomplete") and "the connection ended before the answer did" in lines[-1], lines[-1]


def test_other_requests_and_upstreams_are_left_out():
    with open(LOGS) as file:
        result = run_explain("b40288ed3c43c966", text=file.read())
    assert result.returncode == 0 and "7760c9c4ba5745d6" not in result.stdout and "i-293ca586f4" not in result.stdout, result.stdout
    assert result.stdout.splitlines()[-1].startswith("cause: refused, NoUpstream"), result.stdout


def test_unknown_request_is_an_error():
    result = run_explain("b40288ed3c43c96", LOGS)
    assert result.returncode != 0 and "no line concerns request" in result.stderr, result.stdout + result.stderr


if __name__ == "__main__":
    run_tests(globals())
