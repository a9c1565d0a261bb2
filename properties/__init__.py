"""Property tests of the decisions."""
