"""Prometheus metrics of the daemons."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

_RESPONSE_BUCKETS_SECONDS = (
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
)  # fmt: skip

DECISION_LINES_DROPPED = Counter(
    "gypsumline_decision_log_dropped_total",
    "Decision log lines dropped by the limit.",
)
SENT_BYTES = Counter(
    "gypsumline_wire_sent_bytes_total", "Bytes sent in frames."
)
RECEIVED_BYTES = Counter(
    "gypsumline_wire_received_bytes_total", "Bytes received in frames."
)
MESSAGES = Counter(
    "gypsumline_wire_messages_total",
    "Messages by type and direction.",
    ["type", "direction"],
)
UNKNOWN_MESSAGES = Counter(
    "gypsumline_wire_unknown_messages_total",
    "Messages of unknown types from peers with a newer protocol version.",
)
UNSENT_MESSAGES = Counter(
    "gypsumline_wire_unsent_messages_total",
    "Messages that were not sent, by type and error.",
    ["type", "error"],
)
CONNECTION_ERRORS = Counter(
    "gypsumline_wire_connection_errors_total",
    "Connections ended by an error.",
    ["error"],
)
DIAL_ERRORS = Counter(
    "gypsumline_wire_dial_errors_total", "Failed dials.", ["error"]
)
CONNECTIONS = Gauge("gypsumline_wire_connections", "Open connections.")
REVISION = Gauge("gypsumline_control_revision", "Newest revision known.")
CONFIGURATION_VERSION = Gauge(
    "gypsumline_configuration_version", "Configuration version in force."
)
STORE_SILENCE = Gauge(
    "gypsumline_store_silence_seconds",
    "Seconds since the platform's store answered a reader of a table.",
    ["table"],
)
LATE_TIMERS = Counter(
    "gypsumline_late_timers_total",
    "Timer calls that came late enough to be logged.",
)
FRESH = Gauge(
    "gypsumline_control_fresh", "1 while the evidence is fresh, else 0."
)
JOBS = Counter(
    "gypsumline_jobs_total", "Jobs answered, by outcome.", ["outcome"]
)
JOB_SECONDS = Histogram(
    "gypsumline_job_response_seconds",
    "Response time of jobs at the entry.",
    buckets=_RESPONSE_BUCKETS_SECONDS,
)
TASK_STARTS = Counter(
    "gypsumline_task_starts_total", "Tasks handed to the executor."
)
TASK_RESULTS = Counter(
    "gypsumline_task_results_total", "Task results, by status.", ["status"]
)
SUSPECTED_QUEUES = Gauge(
    "gypsumline_suspected_queues",
    "Queues confined to their share because their jobs crash executors.",
)
JOBS_GIVEN_UP = Counter(
    "gypsumline_jobs_given_up_total",
    "Jobs given up because executors crashed under a task.",
)
QUEUE_CRASHES = Counter(
    "gypsumline_queue_crashes_total",
    "Crashes of executors of which a job of a queue is a likely cause.",
    ["service", "queue"],
)
QUEUE_JOBS_GIVEN_UP = Counter(
    "gypsumline_queue_jobs_given_up_total",
    "Jobs given up because executors crashed under a task, by queue.",
    ["service", "queue"],
)
EXECUTOR_CRASHES = Counter(
    "gypsumline_executor_crashes_total",
    "Crashes of the executor beside the agent.",
)
CRASHED_RUNS = Counter(
    "gypsumline_executor_crashed_runs_total",
    "Runs that were at the executor when it crashed.",
)
ORDER_FAILURES = Counter(
    "gypsumline_executor_order_failures_total",
    "Orders that the executor did not carry out, by order and answer.",
    ["order", "answer"],
)
ORDER_SECONDS = Histogram(
    "gypsumline_executor_order_seconds",
    "Time to the answer or the time limit of an order, by order and answer.",
    ["order", "answer"],
    buckets=_RESPONSE_BUCKETS_SECONDS,
)
LATE_ORDER_ANSWERS = Counter(
    "gypsumline_executor_late_answers_total",
    "Answers of the executor after the time limit of their order.",
    ["order"],
)
REJECTED_INPUTS = Counter(
    "gypsumline_rejected_inputs_total",
    "Inputs that could not be read, by where they came from.",
    ["source"],
)
TABLE_OPERATIONS = Counter(
    "gypsumline_table_operations_total",
    "Operations on the platform's table, by kind and result.",
    ["kind", "result"],
)
