"""Loads state charts from TOML files and runs instances of them."""

from __future__ import annotations

import dataclasses
import functools
import importlib.resources
import tomllib

import transitions

from gypsumline.core.errors import GypsumlineError


class ForbiddenTransitionError(GypsumlineError):
    """The chart does not allow a trigger in the current state."""

    def __init__(self, chart: str, state: str, trigger: str) -> None:
        super().__init__(f"chart {chart!r}: {trigger!r} in state {state!r}")


@dataclasses.dataclass(frozen=True, slots=True)
class Chart:
    """A state chart.

    Attributes:
      name: Name of the chart and stem of its file name.
      initial: Initial state of each instance.
      states: All states.
      final: States without outgoing transitions.
      transitions: Each transition as (trigger, source, target).
    """

    name: str
    initial: str
    states: tuple[str, ...]
    final: tuple[str, ...]
    transitions: tuple[tuple[str, str, str], ...]

    @property
    def triggers(self) -> tuple[str, ...]:
        """All trigger names, sorted."""
        return tuple(sorted({trigger for trigger, _, _ in self.transitions}))

    def next_state(self, state: str, trigger: str) -> str:
        """Returns the state that a trigger leads to.

        Raises:
          ForbiddenTransitionError: The state does not allow the trigger.
        """
        for name, source, target in self.transitions:
            if (name, source) == (trigger, state):
                return target
        raise ForbiddenTransitionError(self.name, state, trigger)


class _Model:
    """Holds the current state, which `transitions.Machine` sets."""

    state: str


class ChartInstance:
    """A running instance of a state chart.

    Args:
      chart: Chart that defines the states and transitions.
    """

    def __init__(self, chart: Chart) -> None:
        self._chart = chart
        self._model = _Model()
        self._machine = transitions.Machine(
            model=self._model,
            states=list(chart.states),
            initial=chart.initial,
            auto_transitions=False,
            transitions=[list(transition) for transition in chart.transitions],
        )

    @property
    def state(self) -> str:
        """The current state."""
        return self._model.state

    @property
    def is_final(self) -> bool:
        """Whether the current state has no outgoing transitions."""
        return self.state in self._chart.final

    def can_fire(self, trigger: str) -> bool:
        """Returns whether the current state allows a trigger."""
        return trigger in self._machine.get_triggers(self.state)

    def fire(self, trigger: str) -> None:
        """Fires a trigger and takes its transition.

        Raises:
          ForbiddenTransitionError: The current state does not allow it.
        """
        if not self.can_fire(trigger):
            raise ForbiddenTransitionError(
                self._chart.name, self.state, trigger
            )
        self._machine.events[trigger].trigger(self._model)


@functools.cache
def load_chart(name: str) -> Chart:
    """Loads a chart from `charts/<name>.toml`."""
    charts = importlib.resources.files("gypsumline.core") / "charts"
    content = tomllib.loads((charts / f"{name}.toml").read_text("utf-8"))
    chart_transitions = tuple(
        (transition["trigger"], source, transition["target"])
        for transition in content["transitions"]
        for source in transition["source"]
    )
    return Chart(
        name=content["name"],
        initial=content["initial"],
        states=tuple(content["states"]),
        final=tuple(content["final"]),
        transitions=chart_transitions,
    )
