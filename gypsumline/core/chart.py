"""State charts read from `core/charts/*.toml`."""

from __future__ import annotations

import dataclasses
import functools
import importlib.resources
import tomllib

from gypsumline.core.errors import GypsumlineError


class ChartError(GypsumlineError):
    """A chart has no transition for a trigger in a state."""

    def __init__(self, chart: str, state: str, trigger: str) -> None:
        super().__init__(
            f"chart {chart!r} has no transition {trigger!r} from {state!r}"
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transition:
    """One allowed change of state."""

    trigger: str
    source: str
    dest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Chart:
    """A state chart.

    Attributes:
      name: Name of the file without its ending.
      initial: State at the start.
      states: All states.
      transitions: All allowed changes.
    """

    name: str
    initial: str
    states: tuple[str, ...]
    transitions: tuple[Transition, ...]

    def next_state(self, state: str, trigger: str) -> str:
        """Returns the state after a trigger; raises `ChartError` if none."""
        for transition in self.transitions:
            if (transition.source, transition.trigger) == (state, trigger):
                return transition.dest
        raise ChartError(self.name, state, trigger)


@functools.cache
def load_chart(name: str) -> Chart:
    """Returns the chart of that name."""
    folder = importlib.resources.files("gypsumline.core.charts")
    values = tomllib.loads((folder / f"{name}.toml").read_text("utf-8"))
    return Chart(
        name=name,
        initial=values["initial"],
        states=tuple(values["states"]),
        transitions=tuple(
            Transition(**entry) for entry in values["transitions"]
        ),
    )
