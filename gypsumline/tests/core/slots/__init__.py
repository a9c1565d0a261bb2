"""Tests of gypsumline.core.slots."""
