"""Tests that the names which leave a process stay as they are."""

from gypsumline.tests.outside_names import KEPT_NAMES, collect


def test_names_that_leave_the_process_stay():
    """Guards against a rename that clients, peers or operators would meet.

    Fields that are added on purpose are written to the file with
    `python -m gypsumline.tests.outside_names --write`.
    """
    kept = KEPT_NAMES.read_text(encoding="utf-8").splitlines()
    found = collect()
    assert sorted(set(kept) - set(found)) == []
    assert sorted(set(found) - set(kept)) == []
