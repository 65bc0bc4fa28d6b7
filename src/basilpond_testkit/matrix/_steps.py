"""Steps of a request, a publish or a stop, at which a fault is injected."""

from __future__ import annotations

from collections.abc import Callable

REQUEST_STEPS = (
    'accept',
    'admit',
    'hold',
    'claim',
    'queue',
    'connect',
    'send',
    'first_token',
    'mid_stream',
    'terminal',
    'bill',
    'release',
    'settle',
)
PUBLISH_STEPS = ('publish', 'accepted', 'spread', 'apply')
STOP_STEPS = ('leave', 'drain', 'hand_back')


class Steps:
    """One action that runs when a step is reached for the first time.

    Attributes
    ----------
    fired : bool
        Whether the step was reached.
    """

    def __init__(self) -> None:
        self._step = ''
        self._action: Callable[[], None] | None = None
        self.fired = False

    def arm(self, step: str, action: Callable[[], None]) -> None:
        """Run `action` when a step is reached next."""
        self._step = step
        self._action = action
        self.fired = False

    def disarm(self) -> None:
        """Leave later requests alone."""
        self._step = ''

    def note(self, step: str) -> None:
        """Note that a step is reached."""
        if step == self._step and not self.fired:
            self.fired = True
            self._action()

    async def reach(self, step: str) -> None:
        """Note that a request has reached a step."""
        self.note(step)
