"""State charts: transition tables in TOML files.

A chart file names the initial state, the final states and, for each state, the
events it accepts with the state that follows::

    initial = "active"
    final = ["stopped"]

    [states.active]
    drain = "draining"

    [states.draining]
    idle = "stopped"
"""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
from importlib import resources


class TransitionError(ValueError):
    """Reports an event that the current state does not accept."""


@dataclass(frozen=True)
class StateChart:
    """A validated transition table."""

    name: str
    initial: str
    final: frozenset[str]
    states: Mapping[str, Mapping[str, str]]

    def accepts(self, state: str, event: str) -> bool:
        """Return whether ``state`` has a transition for ``event``."""
        return event in self.states[state]

    def next_state(self, state: str, event: str) -> str:
        """Return the state that follows.

        Raises
        ------
        TransitionError
            If the state does not accept the event.
        """
        try:
            return self.states[state][event]
        except KeyError:
            raise TransitionError(
                f'{self.name}: state {state} does not accept {event}',
            ) from None


def parse_chart(name: str, text: str) -> StateChart:
    """Parse and validate a chart.

    Raises
    ------
    ValueError
        If a transition leads to a state that the chart does not list.
    """
    content = tomllib.loads(text)
    states = {
        state: dict(transitions)
        for state, transitions in content['states'].items()
    }
    targets = {
        target
        for transitions in states.values()
        for target in transitions.values()
    }
    named = targets | {content['initial']} | set(content.get('final', ()))
    unknown = named - set(states)
    if unknown:
        raise ValueError(f'{name}: states without a table: {sorted(unknown)}')
    return StateChart(
        name=name,
        initial=content['initial'],
        final=frozenset(content.get('final', ())),
        states=states,
    )


@cache
def load_chart(name: str) -> StateChart:
    """Load ``charts/<name>.toml`` of the package."""
    path = resources.files('kumquatrun') / 'charts' / f'{name}.toml'
    return parse_chart(name, path.read_text(encoding='utf-8'))
