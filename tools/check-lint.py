#!/usr/bin/env python3
"""Runs clang-tidy on all sources, or on those given as arguments, with the compile commands of build/.

Skips a source that passed before if its text, its headers in the repository, .clang-tidy and the clang-tidy version are unchanged.
"""
import concurrent.futures
import hashlib
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "guavafield-lint"
PATTERNS = [f"{folder}/*.cpp" for folder in ("src", "apps", "platform", "standins", "bench", "test")]
# clang 14 implements C++20 coroutines but doesn't define the feature-test macro that libstdc++ requires.
EXTRA_ARGUMENTS = ["--quiet", "--extra-arg=-D__cpp_impl_coroutine=201902L"]


def list_sources():
    if len(sys.argv) > 1:
        return sys.argv[1:]
    listed = subprocess.run(["git", "ls-files", "--cached", "--others", "--exclude-standard", *PATTERNS], capture_output=True, text=True, check=True)
    return [it for it in listed.stdout.split() if (ROOT / it).exists()]


def read_dependencies():
    """Returns the files in the repository that each source depends on, from the dependencies recorded by ninja."""
    lines = subprocess.run(["ninja", "-C", "build", "-t", "deps"], capture_output=True, text=True, check=True).stdout.splitlines()
    result, block = {}, []
    for line in [*lines, ""]:
        if line.startswith(" "):
            path = pathlib.Path(os.path.normpath(ROOT / "build" / line.strip()))
            if path.is_relative_to(ROOT):
                block.append(path)
        elif block:
            result.setdefault(str(block[0].relative_to(ROOT)), block)
            block = []
    return result


def cache_key(source, deps, common_inputs):
    digest = hashlib.sha256(common_inputs)
    for path in sorted(set(deps.get(source, [])) | {ROOT / source}):
        digest.update(str(path.relative_to(ROOT)).encode())
        digest.update(path.read_bytes() if path.exists() else b"")
    return digest.hexdigest()


def lint(source):
    run = subprocess.run(["clang-tidy", "-p", "build", *EXTRA_ARGUMENTS, source], capture_output=True, text=True)
    return source, run.returncode, run.stdout


def main():
    os.chdir(ROOT)
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    common_inputs = version + (ROOT / ".clang-tidy").read_bytes() + " ".join(EXTRA_ARGUMENTS).encode()
    deps = read_dependencies()
    CACHE.mkdir(parents=True, exist_ok=True)
    # Sources without recorded dependencies are always linted, since changes to their headers would go unnoticed.
    keys = {it: cache_key(it, deps, common_inputs) for it in list_sources()}
    pending = [it for it, digest in keys.items() if it not in deps or not (CACHE / digest).exists()]
    failures = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for source, code, output in pool.map(lint, pending):
            if code == 0:
                (CACHE / keys[source]).touch()
            else:
                failures += 1
                print(output)
    print(f"lint: {len(pending)} of {len(keys)} sources linted, {failures} with faults")
    if failures:
        sys.exit(1)
    print("lint: clean")


main()
