"""What each service may still spend on extra attempts."""

import dataclasses

from agateshelf.core.retries import const


@dataclasses.dataclass(slots=True)
class Budget:
    """Extra attempts of one service at this entry.

    Attributes:
        tokens: Extra attempts it may start now.
        advance: Tokens given before they were earned and not yet repaid.
    """

    tokens: float = const.FIRST_TOKENS
    advance: float = const.FIRST_TOKENS


@dataclasses.dataclass(slots=True)
class RetriesState:
    """Budgets by service name."""

    budgets: dict[str, Budget] = dataclasses.field(default_factory=dict)
