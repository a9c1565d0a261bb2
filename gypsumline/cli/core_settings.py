"""Converts process settings to the settings of the state machines."""

from __future__ import annotations

from gypsumline.cli.settings import (
    AgentSettings,
    CommonSettings,
    EntrySettings,
)
from gypsumline.core.control.control_settings import ControlSettings
from gypsumline.core.placement.settings import PlacementSettings
from gypsumline.core.slots.slot_settings import SlotSettings
from gypsumline.core.submissions.owner_settings import OwnerSettings


def control_settings(settings: CommonSettings) -> ControlSettings:
    """Returns the settings of the control state machine."""
    defaults = ControlSettings()
    poll = getattr(settings, "table_poll_interval", None)
    return ControlSettings(
        heartbeat_interval=settings.heartbeat_interval,
        table_poll_interval=poll or defaults.table_poll_interval,
        evidence_ttl=settings.evidence_ttl,
        suspect_after=settings.suspect_after,
        silence_limit=settings.silence_limit,
        clock_skew=settings.clock_skew,
        client_clock_skew=settings.client_clock_skew,
        resubmission_horizon=settings.resubmission_horizon,
        deadline_max=settings.deadline_max,
        stop_limit=settings.stop_limit,
    )


def owner_settings(settings: EntrySettings) -> OwnerSettings:
    """Returns the settings of the submission owner."""
    return OwnerSettings(
        resubmission_horizon=settings.resubmission_horizon,
        client_clock_skew=settings.client_clock_skew,
        clock_skew=settings.clock_skew,
        deadline_max=settings.deadline_max,
        jobs=settings.kept_answers_count,
        refusals=settings.kept_answers_count,
        kept_bytes=settings.kept_answers_bytes,
        repeat_after_silence=settings.silence_limit,
    )


def placement_settings(settings: EntrySettings) -> PlacementSettings:
    """Returns the settings of the scheduler."""
    return PlacementSettings(
        policy=settings.placement_policy.value,
        silence_limit=settings.silence_limit,
    )


def slot_settings(settings: AgentSettings) -> SlotSettings:
    """Returns the settings of the slot table."""
    return SlotSettings(
        resubmission_horizon=settings.resubmission_horizon,
        deadline_max=settings.deadline_max,
        journal_entries=settings.journal_count,
        journal_bytes=settings.journal_bytes,
    )
