"""Decision logic as pure state machines, without clocks, sockets or tasks."""
