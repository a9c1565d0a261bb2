"""Tests of gypsumline.core.submissions."""
