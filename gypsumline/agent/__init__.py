"""The agent: the process beside each upstream that starts its tasks."""
