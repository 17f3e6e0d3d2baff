"""State of the retry budgets."""

import dataclasses

from agateshelf.core.retries import const


@dataclasses.dataclass(slots=True)
class Budget:
    """Retry budget of one service at this entry.

    Attributes:
        tokens: Extra attempts that may be started now.
        advance: Tokens granted in advance and not yet repaid.
    """

    tokens: float = const.INITIAL_TOKENS
    advance: float = const.INITIAL_TOKENS


@dataclasses.dataclass(slots=True)
class RetriesState:
    """Budgets by service name."""

    budgets: dict[str, Budget] = dataclasses.field(default_factory=dict)
