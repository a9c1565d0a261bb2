"""Checked bodies of the HTTP interfaces, shared by entries and agents."""
