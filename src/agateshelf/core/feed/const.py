"""Intervals, timeouts and limits of the feed."""

from typing import Final

# Sources of routes and registrations, for the log.
SOURCE_STORE: Final = "store"
SOURCE_PEER: Final = "peer"
SOURCE_DEFERRED: Final = "lapse"

# Interval of a reader's heartbeats to its failure domain. Several fit into the
# 2 s within which a change must be in force.
HEARTBEAT_SECONDS: Final = 0.4
# Time without heartbeats after which another entry becomes the reader. Each
# entry waits one step longer per neighbour that sorts before it, so that they
# do not all take over at once. Some of these may be lost as well: all steps
# together leave time within the 2 s in which a change must be in force. One
# step is enough to read the store and announce it.
READER_TIMEOUT_SECONDS: Final = 1.1
READER_TIMEOUT_STEP_SECONDS: Final = 0.1
MAX_READER_TIMEOUT_STEPS: Final = 4
# Time in which a starting entry waits for a reader's heartbeat before it
# becomes the reader itself.
STARTUP_GRACE_SECONDS: Final = 1.2
# Time after which a starting entry that the store has not answered asks another
# entry, and about the interval at which it does so again: many times the usual
# duration of a read, so that a calm start causes no message.
STARTUP_ASK_SECONDS: Final = 0.1
# A reader whose data is older than this asks another failure domain for it.
MAX_AGE_SECONDS: Final = 1.0
# Time for which an entry asks no further reader for registrations. An entry
# that starts hears of all readers at once, and each would send it everything.
# It is less than the interval of heartbeats, so that the next one makes up for
# a lost answer.
ASKED_SECONDS: Final = 0.3
# Time for which a reader's registrations may differ from those of an entry
# before it gets all of them anew. Deferred removals differ for 2 s at most.
MAX_DIFFERENCE_SECONDS: Final = 2.5
# Pause before a failed read is retried; it doubles up to MAX_RETRY_SECONDS.
INITIAL_RETRY_SECONDS: Final = 0.15
MAX_RETRY_SECONDS: Final = 1.0
RETRY_JITTER: Final = 0.3
READ_TIMEOUT_SECONDS: Final = 1.5
WATCH_SECONDS: Final = 10.0
# Pause after a watch that returned changes. Changes that follow within it come
# with the next answer, so that a burst of changes costs one request to the
# store. It is an eighth of the 2 s within which all entries must know that a
# target drains.
WATCH_PAUSE_SECONDS: Final = 0.25
# The same for targets while changes follow each other without end, as in a
# large fleet, where each target changes its registration now and then.
BUSY_WATCH_PAUSE_SECONDS: Final = 0.6
# A watch that returns changes so soon after the last one that did is busy.
BUSY_WATCH_SECONDS: Final = 1.0
# Time after which a request whose end was never reported counts as lost: more
# than all pages of a read, or a whole watch, may take.
LOST_READ_SECONDS: Final = 6.0
LOST_WATCH_SECONDS: Final = 14.0
# Time within which a change reaches a reader whose watch is pending.
WATCH_DELAY_SECONDS: Final = 0.5
# Interval of a reader's checks that the store still answers, and their
# timeout. Together with the time in which a neighbour takes over they stay
# within the 2 s within which a change must be in force. A check is a stale
# read, which costs a tenth of a usual request to the store.
CHECK_SECONDS: Final = 0.8
CHECK_TIMEOUT_SECONDS: Final = 0.4
# Time for which the store waits for a change before it answers a check that
# asks for changes: the shortest there is.
CHECK_WAIT_SECONDS: Final = 0.001
# A store that has answered within this time isn't silent, though the answer to
# a check may take long on a busy link.
HEARD_SECONDS: Final = 1.0
# Registrations that expire during an outage of the store are back about 2 s
# after its end (the platform's description of target registration). They expire
# after so many intervals without a heartbeat.
OUTAGE_GRACE_SECONDS: Final = 2.0
EXPIRY_HEARTBEATS: Final = 3
# Time from the end of an outage until the platform counts the store as stable
# again, so that targets that leave must be known.
STABLE_SECONDS: Final = 3.0
# Removals are in force this much before they have to be: entries are told, and
# requests that are on their way arrive.
IN_FORCE_MARGIN_SECONDS: Final = 0.4
# Age that the store's latest answer to the sender of a heartbeat can have.
HEARTBEAT_ANSWER_SECONDS: Final = CHECK_SECONDS + CHECK_TIMEOUT_SECONDS
# Removals that arrive together and are this share of all targets, and at least
# this many, are taken for expired registrations and are deferred. The delay is
# below the 2 s within which a drain must be in force.
MASS_REMOVAL_SHARE: Final = 0.34
MIN_MASS_REMOVALS: Final = 3
MASS_REMOVAL_DELAY_SECONDS: Final = 1.4
# Keys are served for this much less than the time within which a withdrawn key
# must be refused: a request takes a moment from the last check to its target.
PROOF_MARGIN_SECONDS: Final = 0.2
# Interval of a reader's reads that prove its routes, in place of its checks.
# They cost the store more than stale reads.
PROOF_READ_SECONDS: Final = 1.0
# Interval at which every other entry asks for proof: the proof of the reader,
# that of the entry and a failover in between fit into the 5 s within which a
# withdrawn key must be refused.
PROOF_REQUEST_SECONDS: Final = 1.2
# Time without an answer after which the next one is asked for proof.
PROOF_ANSWER_SECONDS: Final = 0.4
# A reader whose own proof is older than this asks other entries, and any entry
# asks again at once. Two reads of a reader may have failed by then.
MAX_READER_PROOF_SECONDS: Final = 2.2
# An answer whose proof is older than this is taken for none, so that another
# entry is asked while there is time.
MAX_ANSWERED_PROOF_SECONDS: Final = 3.0
# Time for which the token of a request is kept if keys need no proof.
TOKEN_SECONDS: Final = 5.0
# Interval of an entry's own reads of the store.
OWN_READ_SECONDS: Final = 1.0
# Changes of routes up to this size are sent to neighbours at once, and up to
# the other one to an entry that asks. Of larger ones an entry is told that they
# are there; it reads the store, whose link is that much wider.
MAX_RELAYED_BYTES: Final = 8 * 1024
MAX_ANSWERED_BYTES: Final = 32 * 1024
# Time for which an entry waits for newer routes as a whole, from the store and
# from another entry, before it asks the other of these.
STORE_ROUTES_SECONDS: Final = 0.8
ENTRY_ROUTES_SECONDS: Final = 0.4
# Share of the questions that go to the entry which told of newer routes; the
# rest goes to others, which may have them by now.
ASK_TELLER_SHARE: Final = 0.5
# An entry sends its routes as a whole so many times at most within this time.
MAX_WHOLE_SENT: Final = 3
WHOLE_SENT_SECONDS: Final = 1.0
# After the store came back from an older copy, the operator repeats within this
# time what it has lost.
RESTORED_PROOF_SECONDS: Final = 2.0
# Timers are due at multiples of the heartbeat; sums of these are not exact.
TIMER_TOLERANCE_SECONDS: Final = 0.01
# Of more registrations at once, as in the first read, the log has one line: at
# the start of 300 entries a line for each of 600 targets took longer than
# adopting them.
MAX_LOGGED_REGISTRATIONS: Final = 32
