"""Tests of gypsumline.core.control."""
