"""Settings of the agent's decisions, taken from the process settings."""

from __future__ import annotations

from gypsumline.cli.settings import AgentSettings
from gypsumline.core.slot_settings import SlotSettings
from gypsumline.entry.core_settings import control_settings


def slot_settings(settings: AgentSettings) -> SlotSettings:
    """Returns the settings of the slot table."""
    return SlotSettings(
        resubmission_horizon=settings.resubmission_horizon,
        deadline_max=settings.deadline_max,
        journal_entries=settings.journal_count,
        journal_bytes=settings.journal_bytes,
    )


__all__ = ["control_settings", "slot_settings"]
