"""Stand-ins for the platform, executors and callers of the review's cases."""
