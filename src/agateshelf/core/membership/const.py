"""Rates and limits of membership."""

from typing import Final

ROUND_SECONDS: Final = 1.0
ROUND_JITTER_SHARE: Final = 0.1
DETOUR_AFTER_SECONDS: Final = 0.4
MISSED_AFTER_SECONDS: Final = 0.9
MISSED_BEFORE_SUSPICION: Final = 3
SUSPICION_BASE_SECONDS: Final = 3.0
SUSPICION_SECONDS_PER_DOUBLING: Final = 0.5
REMEMBER_GONE_SECONDS: Final = 3600.0

NEIGHBOURS: Final = 16
DETOURS: Final = 3
LEAVING_FANOUT: Final = 4
STRAY_EVERY_ROUNDS: Final = 5
# Rounds after the start in which contacts that kept silent are tried each
# time: they may have been starting too.
YOUNG_ROUNDS: Final = 10
STRAYS_AT_START: Final = 8
# Pauses between two comparisons of all records with another entry: short after
# one that brought news, doubled after each that brought none.
ROSTER_FIRST_SECONDS: Final = 0.25
ROSTER_LONGEST_SECONDS: Final = 16.0
ROSTER_JITTER_SHARE: Final = 0.2
# Share of the comparisons with entries of the own failure domain, which cross
# no border.
ROSTER_NEAR_SHARE: Final = 0.7
# Share of all entries that must be near for that: a few near ones would send
# their records to everyone. Below a twelfth, the brief's failure domains.
ROSTER_LEAST_NEAR: Final = 0.05
# Records a page; each page is asked of another entry, so that small ones spread
# the work, and the busiest entry of 1,024 stays below 4 KB a second.
ROSTER_PAGE: Final = 16
UPDATES_PER_MESSAGE: Final = 6
UPDATE_REPEATS_PER_DOUBLING: Final = 2
MAX_MEMBERS: Final = 4096
MAX_CONTACTS: Final = 4096
