#!/usr/bin/env python3
"""Runs clang-tidy on every source, but for those that were clean before with the same content.

A source's verdict holds as long as the source, the repository's headers that it includes, the
linter's settings and the linter itself are the same. Only clean verdicts are kept, in
$XDG_CACHE_HOME/agatepass-lint. Usage: lint_sources.py BUILD_FOLDER [SOURCE...]; without sources,
all that git knows or does not ignore.
"""
import hashlib
import os
import pathlib
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

INCLUDE = re.compile(r'^\s*#\s*include\s+"([^"]+)"', re.MULTILINE)
ROOTS = ("src", ".")
cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "agatepass-lint"


def includes(path, seen):
    """Adds the repository's files that `path` includes, directly or not, to `seen`."""
    for name in INCLUDE.findall(path.read_text(errors="replace")):
        for root in (path.parent, *map(pathlib.Path, ROOTS)):
            found = root / name
            if found.is_file():
                found = pathlib.Path(os.path.normpath(found))
                if found not in seen:
                    seen.add(found)
                    includes(found, seen)
                break


def key_of(source, settings):
    """Returns the name under which the verdict on `source` is kept."""
    seen = {source}
    includes(source, seen)
    digest = hashlib.sha256(settings)
    for path in sorted(seen):
        digest.update(str(path).encode() + b"\0" + path.read_bytes() + b"\0")
    return digest.hexdigest()


def lint(build, source, key):
    """Returns the findings, empty if the source is clean; keeps a clean verdict at once."""
    run = subprocess.run(["clang-tidy", "-p", build, "--quiet", str(source)],
                         stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True, check=False)
    if run.returncode == 0:
        (cache / key).touch()
        return ""
    return run.stdout or f"clang-tidy ended with {run.returncode} on {source}"


def main():
    build = sys.argv[1]
    version = subprocess.run(["clang-tidy", "--version"], stdout=subprocess.PIPE, check=True).stdout
    settings = version + pathlib.Path(".clang-tidy").read_bytes() + pathlib.Path("CMakeLists.txt").read_bytes()
    listed = subprocess.run(["git", "ls-files", "--cached", "--others", "--exclude-standard", "*.cpp"],
                            stdout=subprocess.PIPE, text=True, check=True).stdout.split()
    sources = {pathlib.Path(name): None for name in sys.argv[2:] or listed}
    for source in sources:
        sources[source] = key_of(source, settings)
    cache.mkdir(parents=True, exist_ok=True)
    due = [source for source, key in sources.items() if not (cache / key).exists()]
    failed = 0
    with ThreadPoolExecutor(os.cpu_count()) as pool:
        for findings in pool.map(lambda source: lint(build, source, sources[source]), due):
            if findings:
                failed += 1
                print(findings, flush=True)
    print(f"linted {len(due)} of {len(sources)} sources, {failed} with findings; the others were clean before")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
