"""Adapter to the users' platform: translates between its words and ours."""
