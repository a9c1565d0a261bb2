"""Tests of the library's public names, documentation and examples."""

import pathlib
import re
import subprocess
import sys

import pytest

import gypsumline

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = ("embed_dispatch", "own_policy")
HEAVY_MODULES = {"uvicorn", "uvloop", "aiohttp", "starlette", "typer", "rich"}
DAEMON_PACKAGES = {
    f"gypsumline.{name}" for name in ("agent", "cli", "entry", "wire")
}


def run_python(*arguments):
    """Runs a new interpreter and returns its output."""
    process = subprocess.run(
        [sys.executable, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert process.returncode == 0, process.stderr
    return process.stdout


def modules_loaded_by(statement):
    """Returns the modules that a statement loads in a new interpreter."""
    program = f"{statement}\nimport sys\nprint(*sys.modules)"
    return set(run_python("-c", program).split())


def page_code_blocks(language):
    text = (ROOT / "docs/library.md").read_text(encoding="utf-8")
    return re.findall(rf"```{language}\n(.*?)```", text, re.DOTALL)


def test_public_names_load_no_servers():
    """Guards against imports of servers and the command line by embedders."""
    loaded = modules_loaded_by("from gypsumline import *\nSlotTable")
    assert "gypsumline.core.slots.slot_table" in loaded
    assert loaded & (HEAVY_MODULES | DAEMON_PACKAGES) == set()


def test_package_import_loads_no_core():
    """Guards against commands that load the decision core at start."""
    loaded = modules_loaded_by("import gypsumline")
    assert [name for name in loaded if name.startswith("gypsumline.")] == []


def test_all_public_names_exist():
    """Guards against listed names that are missing or listed twice."""
    names = gypsumline.__all__
    assert len(set(names)) == len(names)
    assert all(getattr(gypsumline, name) is not None for name in names)
    assert set(names) <= set(dir(gypsumline))


def test_unknown_name_raises_an_attribute_error():
    """Guards against misspelt names that fail later or not at all."""
    for name in ("SlotTabel", "StartRules", "_hidden"):
        with pytest.raises(AttributeError, match=name):
            getattr(gypsumline, name)


def test_page_shows_the_source_of_the_examples():
    """Guards against documented code that differs from the tested code."""
    files = [
        (ROOT / f"examples/{name}.py").read_text(encoding="utf-8")
        for name in EXAMPLES
    ]
    assert page_code_blocks("python") == files


@pytest.mark.parametrize("number", range(len(EXAMPLES)))
def test_examples_print_the_output_on_the_page(number):
    """Guards against an example that fails or prints something else."""
    output = run_python("-m", f"examples.{EXAMPLES[number]}")
    assert output == page_code_blocks("text")[number]
