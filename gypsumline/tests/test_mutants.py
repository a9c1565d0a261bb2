"""Tests of the list of deliberate faults."""

import pathlib

import pytest

from benchmarks.mutants import load_mutants

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_LEAST = 18


@pytest.mark.parametrize("mutant", load_mutants(), ids=lambda one: one.name)
def test_mutant_still_applies(mutant):
    """Guards against a mutant that no longer changes its module."""
    assert (_ROOT / mutant.path).read_text().count(mutant.old) == 1
    assert mutant.new != mutant.old
    assert mutant.checks
    for check in mutant.checks:
        assert (_ROOT / check.split("::")[0]).is_file()


def test_names_are_unique_and_many():
    """Guards against a list that shrinks or names two faults alike."""
    names = [mutant.name for mutant in load_mutants()]
    assert len(set(names)) == len(names) >= _LEAST
