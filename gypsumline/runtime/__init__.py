"""Runtime support of the daemons: clocks, timers, HTTP, logs and metrics."""
