"""Finds names of the code in the pages, and whether they still exist."""

from __future__ import annotations

import pathlib
import re
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parents[2]

_SOURCE_FOLDERS = (
    "gypsumline", "properties", "soak", "benchmarks", "examples", "deploy",
)  # fmt: skip
_FENCED = re.compile(r"```(\w*)\n(.*?)```", re.DOTALL)
_QUOTED = re.compile(r"`([^`\n]+)`")
_PATH = re.compile(r"[\w./-]+/[\w.-]+\.(?:py|toml|md)(?:::\w+)?")
_NAME = re.compile(r"[A-Za-z_]\w*")


def pages() -> list[pathlib.Path]:
    """Returns all pages of the repository."""
    return [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


def missing_names(page: pathlib.Path, known: set[str]) -> list[str]:
    """Returns what a page quotes and the repository does not have."""
    text = page.read_text(encoding="utf-8")
    blocks = [code for kind, code in _FENCED.findall(text) if kind == "python"]
    quotes = _QUOTED.findall(_FENCED.sub("", text))
    missing: set[str] = set()
    for quoted in [*blocks, *quotes]:
        paths = _PATH.findall(quoted)
        missing.update(path for path in paths if not _path_exists(path))
        names = _code_names(_PATH.sub("", quoted))
        missing.update(name for name in names if name not in known)
    return sorted(missing)


def source_names() -> set[str]:
    """Returns every word of the source and of the files that it reads."""
    files = [ROOT / "Makefile", ROOT / "pyproject.toml"]
    for folder in _SOURCE_FOLDERS:
        for pattern in ("*.py", "*.toml"):
            files += (ROOT / folder).rglob(pattern)
    found: set[str] = set()
    for file in files:
        found.update(_NAME.findall(file.read_text(encoding="utf-8")))
        found.add(file.stem)
    return found


def _path_exists(path: str) -> bool:
    name, _, test = path.partition("::")
    bases = [ROOT, ROOT / "docs", ROOT / "gypsumline", ROOT / "docs/decisions"]
    files = [base / name for base in bases if (base / name).is_file()]
    if not files:
        return False
    return not test or f"def {test}(" in files[0].read_text(encoding="utf-8")


def _code_names(quoted: str) -> Iterator[str]:
    """Yields the parts of quoted code that only identifiers look like."""
    if re.fullmatch(r"[A-Z][a-z]+", quoted):
        yield quoted
    for name in _NAME.findall(quoted):
        inner = name.strip("_")
        if "_" in inner or re.search(r"[a-z][A-Z]", inner):
            yield name
