"""Clock, timers, logs and metrics that the daemons share."""
