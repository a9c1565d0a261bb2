"""Tests of the search for errors in logs."""

from gypsumline.testing.log_errors import find_errors, log_size


def test_errors_and_tracebacks_are_found_after_the_offset(tmp_path):
    """Guards against runs that pass although a process logged an error."""
    log = tmp_path / "entry-1.log"
    assert find_errors(log) == []
    assert log_size(log) == 0
    log.write_text('{"level":"ERROR","message":"of an earlier run"}\n')
    offset = log_size(log)
    with log.open("a") as more:
        more.write('{"level":"INFO","message":"started"}\n')
        more.write('{"level":"ERROR","message":"a timer callback failed"}\n')
        more.write("Traceback (most recent call last):\n")
    found = find_errors(log, offset)
    assert [line[:20] for line in found] == [
        '{"level":"ERROR","me',
        "Traceback (most rece",
    ]
