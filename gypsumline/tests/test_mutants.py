"""Tests of the list of mutants in `benchmarks/mutants.toml`."""

import pathlib

import pytest

from benchmarks.mutants import load_mutants

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_MUTANTS_MIN = 18


@pytest.mark.parametrize("mutant", load_mutants(), ids=lambda one: one.name)
def test_mutant_still_applies(mutant):
    """Guards against a mutant whose source line is missing or not unique."""
    assert (_ROOT / mutant.path).read_text().count(mutant.old) == 1
    assert mutant.new != mutant.old
    assert mutant.checks
    for check in mutant.checks:
        assert (_ROOT / check.split("::")[0]).is_file()


def test_names_are_unique_and_no_mutant_is_missing():
    """Guards against removed mutants and duplicate names."""
    names = [mutant.name for mutant in load_mutants()]
    assert len(set(names)) == len(names) >= _MUTANTS_MIN
