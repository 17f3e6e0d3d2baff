"""How a failure at the end of a chain of hops multiplies attempts."""

from typing import Final

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core.retries import const as retry_const
from bench import report
from bench import sizes

_HOPS: Final = 7
_CALLS: Final = 1000
_CALL_SPACING_SECONDS: Final = 0.01
_MOST_AMPLIFICATION: Final = 1.05
_MARK: Final = (sizes.REFUSAL_MARK.header, sizes.REFUSAL_MARK.value)


class Chain:
    """Reducers, each of whose targets lead to the next; the last ones fail.

    Attributes:
        marked: Whether hops pass the no-retry mark on.
        budgeted: Whether the budgets of retries hold.
        attempts: Attempts that each hop started.
    """

    def __init__(self, *, marked: bool, budgeted: bool) -> None:
        self.marked = marked
        self.budgeted = budgeted
        self.attempts = [0] * _HOPS
        cfg = sizes.create_configuration(sizes.HARBORLINE)
        self.states = []
        for hop in range(_HOPS):
            identity = core_state.Identity(f"hop{hop}", "boston")
            state = core_state.create_state(identity, hop)
            reducer.reduce(state, 0.0, events.ConfigurationRead(cfg))
            self.states.append(state)
        self.calls = 0

    def call(self, now: float, hop: int = 0, *, no_retry: bool = False) -> None:
        """Send a call to a hop; it fails in the end."""
        self.calls += 1
        state = self.states[hop]
        if not self.budgeted:
            for budget in state.retries.budgets.values():
                budget.tokens = retry_const.MAX_TOKENS
        request = events.RequestArrived(
            self.calls, "caller", "GET", "/lookups/1", no_retry=no_retry
        )
        todo = reducer.reduce(state, now, request)
        while todo:
            effect = todo.pop(0)
            if isinstance(effect, effects.StartAttempt):
                todo.extend(self._attempt(now, hop, effect))

    def _attempt(
        self, now: float, hop: int, effect: effects.StartAttempt
    ) -> list[effects.Effect]:
        self.attempts[hop] += 1
        if hop + 1 < _HOPS:
            marked = self.marked and effect.no_retry
            self.call(now, hop + 1, no_retry=marked)
        answer = events.AttemptAnswered(effect.attempt, 503, (_MARK,))
        return reducer.reduce(self.states[hop], now, answer)


def run() -> list[report.Figure]:
    """Measure attempts at every depth for each call at the top."""
    marked = _amplification(_CALLS, marked=True, budgeted=True)
    unmarked = _amplification(_CALLS, marked=False, budgeted=True)
    free = _amplification(1, marked=False, budgeted=False)
    bound = report.Bound(report.Comparison.AT_MOST, _MOST_AMPLIFICATION)
    figures = [
        report.Figure(
            f"retries/chain/attempts-at-depth-{depth + 1}",
            value,
            "per call",
            bound,
        )
        for depth, value in enumerate(marked)
    ]
    figures.append(
        report.Figure("retries/chain/without-mark", unmarked[-1], "per call")
    )
    figures.append(
        report.Figure("retries/chain/without-budget", free[-1], "per call")
    )
    return figures


def _amplification(calls: int, *, marked: bool, budgeted: bool) -> list[float]:
    """Return the attempts at each depth for each call at the top."""
    chain = Chain(marked=marked, budgeted=budgeted)
    for number in range(calls):
        chain.call(number * _CALL_SPACING_SECONDS)
    return [attempts / calls for attempts in chain.attempts]
