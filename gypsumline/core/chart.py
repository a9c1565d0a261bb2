"""State charts that are kept as TOML files and interpreted here."""

from __future__ import annotations

import dataclasses
import functools
import importlib.resources
import tomllib

import transitions

from gypsumline.core.errors import GypsumlineError


class ForbiddenTransitionError(GypsumlineError):
    """A trigger that the chart does not allow in the present state."""

    def __init__(self, chart: str, state: str, trigger: str) -> None:
        super().__init__(f"chart {chart!r}: {trigger!r} in state {state!r}")


@dataclasses.dataclass(frozen=True, slots=True)
class Chart:
    """A state chart.

    Attributes:
      name: Name of the chart and its file.
      initial: State in which each instance starts.
      states: All states.
      final: States that no transition leaves.
      transitions: (trigger, source, target) of each transition.
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
        """Returns the state after a trigger.

        Raises:
          ForbiddenTransitionError: The state does not allow it.
        """
        for name, source, target in self.transitions:
            if (name, source) == (trigger, state):
                return target
        raise ForbiddenTransitionError(self.name, state, trigger)


class _Model:
    """Holds the state that the library sets."""

    state: str


class ChartInstance:
    """One thing that moves through a chart.

    Args:
      chart: The chart.
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
        """The present state."""
        return self._model.state

    @property
    def is_final(self) -> bool:
        """Whether no transition leaves the present state."""
        return self.state in self._chart.final

    def can_fire(self, trigger: str) -> bool:
        """Returns whether the present state allows a trigger."""
        return trigger in self._machine.get_triggers(self.state)

    def fire(self, trigger: str) -> None:
        """Takes a transition.

        Raises:
          ForbiddenTransitionError: The present state does not allow it.
        """
        if not self.can_fire(trigger):
            raise ForbiddenTransitionError(
                self._chart.name, self.state, trigger
            )
        self._machine.events[trigger].trigger(self._model)


@functools.cache
def load_chart(name: str) -> Chart:
    """Returns a chart from `charts/<name>.toml`."""
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
