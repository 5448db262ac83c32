"""Checks the settings template deploy/host.ini.template.

Rendered settings must be valid, and an invalid value must be reported with its line and key.
"""
import os
import re
import subprocess
import tempfile

from fleet import BIN_DIR, run_tests

TEMPLATE = os.path.join(os.environ["GUAVAFIELD_SOURCE_DIR"], "deploy", "host.ini.template")
FIELDS = {
    "nodeName": "front-a-1", "zone": "a", "region": "r", "listen": {"front": "10.1.0.19:8227", "ready": "10.1.0.19:8220", "control": "10.1.0.19:8229"},
    "provider": {"address": "10.200.1.7:8223"}, "cloud": {"address": "10.200.0.61:8223"}, "seeds": ["10.1.0.19:8229", "10.2.0.36:8229"],
    "bounds": {"leaseMs": 3000, "usageWindowS": 5, "graceS": 8}, "limits": {"linkMbps": 200.0, "memoryMb": 110, "maxFds": 4100},
    "zones": {"a": "r", "b": "r"},
}


def lookup(fields, path):
    for part in path.split("."):
        fields = fields.get(part) if fields is not None else None
    return fields


def render(fields):
    """Renders the subset of the platform's template language that the template uses: values, lists and conditional sections."""
    with open(TEMPLATE) as file:
        text = file.read()

    def section(it):
        value = lookup(fields, it[1])
        if not isinstance(value, dict):
            return it[2] if value else ""
        entries = [it[2].replace("{{@}}", key).replace("{{.}}", entry) for key, entry in value.items()]
        return "".join(entry.replace("{{,}}", "," if n + 1 < len(entries) else "") for n, entry in enumerate(entries))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def substitute(it):
        value = lookup(fields, it[1])
        return ",".join(value) if isinstance(value, list) else "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", substitute, text)


def check_settings(text):
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "host.ini")
        with open(path, "w") as file:
            file.write(text)
        return subprocess.run([os.path.join(BIN_DIR, "guavafieldd"), "--settings", path, "--check"], capture_output=True, text=True)


def test_rendered_template_is_valid():
    for fields in (FIELDS, {**FIELDS, "cloud": None}, {**FIELDS, "seeds": []}, {**FIELDS, "bounds": {**FIELDS["bounds"], "graceS": 2.5}},
                   {**FIELDS, "limits": {"linkMbps": 200.0}, "zones": {}}):
        result = check_settings(render(fields))
        assert result.returncode == 0, result.stderr
    assert "data_centre_regions = a:r,b:r\n" in render(FIELDS) and "memory_mb = 110\n" in render(FIELDS)


def test_faults_name_line_and_key():
    text = render({**FIELDS, "provider": {"address": "10.200.1.7"}})
    result = check_settings(text)
    line = next(n for n, it in enumerate(text.splitlines(), 1) if it.startswith("endpoint"))
    assert result.returncode == 2 and f":{line}:" in result.stderr and "endpoint" in result.stderr, result.stderr


if __name__ == "__main__":
    run_tests(globals())
