"""Tests of the library's public names, its page and its examples."""

import pathlib
import re
import subprocess
import sys

import pytest

import gypsumline

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = ("embed_dispatch", "own_policy")
HEAVY = {"uvicorn", "uvloop", "aiohttp", "starlette", "typer", "rich"}
DAEMONS = {f"gypsumline.{name}" for name in ("agent", "cli", "entry", "wire")}


def run_python(*arguments):
    """Returns what a fresh interpreter prints."""
    done = subprocess.run(
        [sys.executable, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout


def loaded_after(statement):
    """Returns the modules that a statement loads in a fresh interpreter."""
    program = f"{statement}\nimport sys\nprint(*sys.modules)"
    return set(run_python("-c", program).split())


def blocks(language):
    text = (ROOT / "docs/library.md").read_text(encoding="utf-8")
    return re.findall(rf"```{language}\n(.*?)```", text, re.DOTALL)


def test_public_names_load_nothing_heavy():
    """Guards against an embedder that pays for servers and command line."""
    loaded = loaded_after("from gypsumline import *\nSlotTable")
    assert "gypsumline.core.slots.slot_table" in loaded
    assert loaded & (HEAVY | DAEMONS) == set()


def test_package_alone_loads_no_core():
    """Guards against commands that load the decision core at start."""
    loaded = loaded_after("import gypsumline")
    assert [name for name in loaded if name.startswith("gypsumline.")] == []


def test_all_public_names_exist():
    """Guards against a listed name that can't be imported, or listed twice."""
    names = gypsumline.__all__
    assert len(set(names)) == len(names)
    assert all(getattr(gypsumline, name) is not None for name in names)
    assert set(names) <= set(dir(gypsumline))


def test_unknown_name_is_an_attribute_error():
    """Guards against a misspelt name that fails only later, or not at all."""
    for name in ("SlotTabel", "StartRules", "_hidden"):
        with pytest.raises(AttributeError, match=name):
            getattr(gypsumline, name)


def test_page_shows_the_examples_as_they_are():
    """Guards against a page whose code is not the code that is checked."""
    files = [
        (ROOT / f"examples/{name}.py").read_text(encoding="utf-8")
        for name in EXAMPLES
    ]
    assert blocks("python") == files


@pytest.mark.parametrize("number", range(len(EXAMPLES)))
def test_examples_print_what_the_page_says(number):
    """Guards against an example that fails or behaves otherwise."""
    printed = run_python("-m", f"examples.{EXAMPLES[number]}")
    assert printed == blocks("text")[number]
