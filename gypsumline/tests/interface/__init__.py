"""Tests of the checked bodies of the HTTP interfaces."""
