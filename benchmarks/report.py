"""Runs all measurements: `make bench`.

Writes build/bench/report.json with the commit and the command of each part,
plots and an HTML page that shows them. Exits 1 if a part failed or a target
was missed. Parts whose module does not exist are reported as not run.
"""

from __future__ import annotations

import argparse
import datetime
import html
import importlib
import importlib.util
import json
import pathlib
import platform
import subprocess
import sys
import time
from typing import Any

from benchmarks import plots

_DIRECTORY = pathlib.Path("build/bench")
# Each module prints one JSON object of figures. It may define
# `targets(figures) -> dict`, which maps the name of a figure to its value and
# the highest allowed value.
_PARTS = (
    "path",
    "job_cost",
    "slopes",
    "decisions",
    "placement_model",
    "capacity",
)
# Modules that print JSON only with the flag --json.
_PARTS_WITH_JSON_FLAG = frozenset({"decisions", "placement_model"})
_PART_TIMEOUT_SECONDS = 1200.0
_ERROR_MAX_CHARACTERS = 2000


def run_part(name: str) -> dict[str, Any]:
    """Runs one part; returns its figures, or the reason for their absence."""
    module_name = f"benchmarks.{name}"
    if importlib.util.find_spec(module_name) is None:
        return {"state": "not run", "why": f"there is no {module_name}"}
    print(f"{name} ...", flush=True)
    started_at = time.monotonic()
    try:
        figures = _run_module(module_name)
    except (subprocess.SubprocessError, ValueError) as error:
        return {"state": "failed", "why": _format_error(error)}
    part: dict[str, Any] = {
        "state": "done",
        "command": f"python -m {module_name}",
        "seconds": round(time.monotonic() - started_at, 1),
        "figures": figures,
    }
    module = importlib.import_module(module_name)
    if hasattr(module, "targets"):
        part["targets"] = {
            figure: {"value": value, "at_most": limit, "met": value <= limit}
            for figure, (value, limit) in module.targets(figures).items()
        }
    return part


def _run_module(module_name: str) -> dict[str, Any]:
    process = subprocess.run(
        [sys.executable, "-m", module_name, *_json_flag(module_name)],
        capture_output=True,
        text=True,
        check=True,
        timeout=_PART_TIMEOUT_SECONDS,
    )
    figures = json.loads(process.stdout)
    if not isinstance(figures, dict):
        raise ValueError(f"{module_name} printed no JSON object")
    return figures


def _json_flag(module_name: str) -> list[str]:
    has_flag = module_name.rpartition(".")[2] in _PARTS_WITH_JSON_FLAG
    return ["--json"] if has_flag else []


def _format_error(error: Exception) -> str:
    text = f"{error}\n{getattr(error, 'stderr', None) or ''}"
    return text[-_ERROR_MAX_CHARACTERS:]


def make_report(names: list[str], path: pathlib.Path) -> dict[str, Any]:
    """Runs the parts and returns the report.

    The file is written after each part, so an interrupted run keeps the figures
    of the parts that have finished.

    Args:
      names: Names of the parts.
      path: File to write.
    """
    report: dict[str, Any] = {
        "commit": _git("rev-parse", "HEAD"),
        "has_local_changes": bool(_git("status", "--porcelain")),
        "command": " ".join([pathlib.Path(sys.argv[0]).name, *sys.argv[1:]]),
        "at": datetime.datetime.now(datetime.UTC).isoformat(),
        "python": platform.python_version(),
        "parts": {},
    }
    for name in names:
        report["parts"][name] = run_part(name)
        path.write_text(json.dumps(report, indent=2, default=str))
    return report


def find_problems(report: dict) -> list[str]:
    """Returns a message for each failed part and each missed target."""
    problems = []
    for name, part in report["parts"].items():
        if part["state"] == "failed":
            problems.append(f"{name} failed")
        for figure, target in part.get("targets", {}).items():
            if not target["met"]:
                problems.append(
                    f"{name}: {figure} is {target['value']}; "
                    f"target: at most {target['at_most']}"
                )
    return problems


def _git(*arguments: str) -> str:
    process = subprocess.run(
        ["git", *arguments], capture_output=True, text=True, check=False
    )
    return process.stdout.strip()


def _write_page(report: dict, images: list[str]) -> None:
    shown = html.escape(json.dumps(report, indent=2, default=str))
    pictures = "\n".join(f'<p><img src="{name}" alt=""></p>' for name in images)
    page = (
        "<!doctype html><meta charset='utf-8'><title>gypsumline bench</title>"
        f"<h1>Measurements at {report['commit'][:12]}</h1>"
        f"{pictures}<pre>{shown}</pre>"
    )
    (_DIRECTORY / "index.html").write_text(page)


def main() -> None:
    """Runs the parts named on the command line, or all parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*_PARTS, []])
    options = parser.parse_args()
    _DIRECTORY.mkdir(parents=True, exist_ok=True)
    path = _DIRECTORY / "report.json"
    report = make_report(options.parts or list(_PARTS), path)
    _write_page(report, plots.draw_all(report, _DIRECTORY))
    for name, part in report["parts"].items():
        print(f"{name}: {part['state']} {part.get('why', '')}")
    problems = find_problems(report)
    print("\n".join(problems))
    print(f"report: {path}")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
