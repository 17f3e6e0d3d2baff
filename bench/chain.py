"""Measures retry amplification along a chain of services.

The last service of the chain fails every request. Retry budgets, and
a no-retry mark that hops propagate, keep each hop from multiplying attempts.
"""

from typing import Final

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core.retries import const as retry_const
from bench import deployments
from bench import report

_HOPS: Final = 7
_CALLS: Final = 1000
_CALL_SPACING_SECONDS: Final = 0.01
_MAX_AMPLIFICATION: Final = 1.05
_MARK: Final = (deployments.REFUSAL_MARK.header, deployments.REFUSAL_MARK.value)


class Chain:
    """A chain of reducers: the targets of each call the next; the last fail.

    Attributes:
        marked: Whether hops propagate the no-retry mark.
        budgeted: Whether retry budgets are enforced.
        attempts: Number of attempts that each hop started.
        states: State of the reducer at each hop.
        calls: Number of calls sent to all hops; each call is numbered by it.
    """

    def __init__(self, *, marked: bool, budgeted: bool) -> None:
        self.marked = marked
        self.budgeted = budgeted
        self.attempts = [0] * _HOPS
        cfg = deployments.create_configuration(deployments.HARBORLINE)
        self.states = []
        for hop in range(_HOPS):
            identity = core_state.Identity(f"hop{hop}", "boston")
            state = core_state.create_state(identity, hop)
            reducer.reduce(state, 0.0, events.ConfigurationRead(cfg))
            self.states.append(state)
        self.calls = 0

    def call(self, now: float, hop: int = 0, *, no_retry: bool = False) -> None:
        """Send a call to a hop and run all attempts that it causes."""
        self.calls += 1
        state = self.states[hop]
        if not self.budgeted:
            for budget in state.retries.budgets.values():
                budget.tokens = retry_const.MAX_TOKENS
        request = events.RequestArrived(
            self.calls, "caller", "GET", "/lookups/1", no_retry=no_retry
        )
        pending = reducer.reduce(state, now, request)
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, effects.StartAttempt):
                pending.extend(self._run_attempt(now, hop, effect))

    def _run_attempt(
        self, now: float, hop: int, effect: effects.StartAttempt
    ) -> list[effects.Effect]:
        self.attempts[hop] += 1
        if hop + 1 < _HOPS:
            marked = self.marked and effect.no_retry
            self.call(now, hop + 1, no_retry=marked)
        answer = events.AttemptAnswered(effect.attempt, 503, (_MARK,))
        return reducer.reduce(self.states[hop], now, answer)


def run() -> list[report.Figure]:
    """Measure attempts per call at each depth, with and without the limits."""
    marked = _amplification(_CALLS, marked=True, budgeted=True)
    unmarked = _amplification(_CALLS, marked=False, budgeted=True)
    unbudgeted = _amplification(1, marked=False, budgeted=False)
    bound = report.Bound(report.Comparison.AT_MOST, _MAX_AMPLIFICATION)
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
        report.Figure(
            "retries/chain/without-budget", unbudgeted[-1], "per call"
        )
    )
    return figures


def _amplification(calls: int, *, marked: bool, budgeted: bool) -> list[float]:
    """Return the attempts at each depth per call to the first hop."""
    chain = Chain(marked=marked, budgeted=budgeted)
    for number in range(calls):
        chain.call(number * _CALL_SPACING_SECONDS)
    return [attempts / calls for attempts in chain.attempts]
