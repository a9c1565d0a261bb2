"""Tests of the batching log handler and of the format of its lines."""

import datetime
import io
import json
import logging
import time

from pythonjsonlogger.msgspec import MsgspecFormatter

from gypsumline.core.effects import Decision, DecisionKind
from gypsumline.runtime.logs import (
    BatchingHandler,
    DecisionLog,
    configure_logs,
)


class CountingStream(io.StringIO):
    """Counts the calls of `write` and keeps their texts."""

    writes = 0

    def __init__(self):
        super().__init__()
        self.texts = []

    def write(self, text):
        self.writes += 1
        self.texts.append(text)
        return super().write(text)


def make_logger():
    stream = CountingStream()
    handler = BatchingHandler(stream)
    handler.setFormatter(MsgspecFormatter("%(levelname)s %(message)s"))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger, handler, stream


def test_lines_are_written_together():
    """Guards against one write per decision in the request path."""
    logger, handler, stream = make_logger()
    for number in range(5):
        logger.info("placed", extra={"task": number})
    assert stream.writes == 0
    handler.flush()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["task"] for line in lines] == [0, 1, 2, 3, 4]
    assert stream.writes == 1


def test_warning_is_written_at_once():
    """Guards against losing a warning when the process is killed."""
    logger, _, stream = make_logger()
    logger.info("placed")
    logger.warning("planned stop cuts work")
    assert len(stream.getvalue().splitlines()) == 2


def test_each_write_holds_whole_lines_within_the_limit():
    """Guards against lines that a reader of the first 8 KiB does not see."""
    logger, handler, stream = make_logger()
    for number in range(100):
        logger.info("placed", extra={"task": number, "detail": "é" * 200})
    logger.info("placed", extra={"task": 100, "detail": "e" * 10_000})
    handler.flush()
    *batches, last = stream.texts
    assert all(text.endswith("\n") for text in batches)
    assert max(len(text.encode()) for text in batches) <= 8192
    assert last.count("\n") == 1
    batches.append(last)
    lines = [json.loads(line) for line in "".join(batches).splitlines()]
    assert [line["task"] for line in lines] == list(range(101))
    assert len(batches) < len(lines) / 4


def test_times_are_in_utc(monkeypatch):
    """Guards against lines whose time depends on the zone of the host."""
    stream = io.StringIO()
    monkeypatch.setattr(logging, "root", logging.RootLogger(logging.INFO))
    monkeypatch.setenv("TZ", "Etc/GMT-5")
    time.tzset()
    try:
        configure_logs("front-1", "info", stream)
        before = datetime.datetime.now(datetime.UTC)
        logging.getLogger().warning("started")
    finally:
        monkeypatch.undo()
        time.tzset()
    text = json.loads(stream.getvalue())["time"].replace(",", ".")
    logged = datetime.datetime.fromisoformat(f"{text}+00:00")
    assert abs(logged - before) < datetime.timedelta(minutes=1)


def test_end_of_a_job_is_logged_beside_dropped_lines(caplog, monkeypatch):
    """Guards against ends of jobs that other lines of that second displace."""
    monkeypatch.setattr("gypsumline.runtime.logs.boot_time", lambda: 5.0)
    caplog.set_level(logging.INFO)
    log = DecisionLog(3)
    for _ in range(10):
        log.write(Decision(event="run_placed", fields={}))
    ended = Decision(event="job_ended", fields={}, kind=DecisionKind.OUTCOME)
    for _ in range(5):
        log.write(ended)
    assert caplog.messages == 3 * ["run_placed"] + 3 * ["job_ended"]
