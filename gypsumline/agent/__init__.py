"""The agent: the small process beside each upstream."""
