"""State charts that the code interprets."""
