# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How many requests of a service an entry lets out, and whose.

The limit follows what the endpoints say of their load, on average: it
shrinks while they queue and grows while they have room, so that waiting is
done by the callers, who are told at once, and not in queues. Under the
limit everybody gets through. Over it the limit is shared out so that who
wants less than an equal share gets all of it and the rest is divided among
the others (max-min fairness): one noisy caller has its own requests refused
and not those of others.
"""

import collections
import dataclasses
import enum
import threading

LEAST = 4.0
MOST = 4096.0
# Average load of the endpoints, in requests a slot, that is aimed at: high
# enough that no slot is idle, low enough that queues stay short.
BUSY = 1.6
_NEWEST = 0.05
_SHRINK = 0.98
# The limit shrinks at most once in so many seconds.
_SHRINK_SECONDS = 0.05
# How far over the limit the modest callers may go together.
OVERDRAFT = 2.0
RETRY_MS = 200


@dataclasses.dataclass(slots=True)
class _Service:
    """Requests of one service under way from this entry."""

    limit: float = 64.0
    total: int = 0
    callers: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    shrunk: float = 0.0
    load: float = 0.0


class Admitted(enum.Enum):
    """Whether a request may go, and as what."""

    NO = 0
    YES = 1
    # It may go, behind those of callers that keep to their share.
    EXCESS = 2


class Gate:
    """The limits of one entry."""

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._services = {}

    def enter(self, service, caller):
        """Let a request out.

        :returns: an :class:`Admitted`; unless it is NO, :meth:`leave` has
            to follow
        """
        with self._lock:
            one = self._services.setdefault(service, _Service())
            if not self._admits(one, caller):
                return Admitted.NO
            one.total += 1
            one.callers[caller] += 1
            share = one.limit / len(one.callers)
            if one.callers[caller] > share:
                return Admitted.EXCESS
            return Admitted.YES

    def leave(self, service, caller):
        """Count the end of a request."""
        with self._lock:
            one = self._services[service]
            one.total -= 1
            one.callers[caller] -= 1
            if one.callers[caller] <= 0:
                del one.callers[caller]

    def note_load(self, service, in_flight, slots):
        """Learn an endpoint's load from its answer."""
        now = self._clock.read_monotonic()
        with self._lock:
            one = self._services.setdefault(service, _Service())
            one.load += _NEWEST * (in_flight / max(1, slots) - one.load)
            if one.load <= BUSY:
                if one.total >= one.limit / 2:
                    one.limit = min(MOST, one.limit + 1 / one.limit)
            elif now - one.shrunk >= _SHRINK_SECONDS:
                one.shrunk = now
                one.limit = max(LEAST, one.limit * _SHRINK)

    def _admits(self, one, caller):
        if one.total < one.limit:
            return True
        if one.total >= one.limit * OVERDRAFT:
            return False
        mine = one.callers.get(caller, 0) + 1
        others = [
            count for name, count in one.callers.items() if name != caller
        ]
        return mine <= compute_share([mine, *others], one.limit)


def compute_share(wants, limit):
    """Return the largest part of a limit that anyone may take.

    Whoever wants less gets all that it wants, and the parts of all come to
    the limit.

    :param wants: what each wants, a non-empty list
    """
    left = limit
    rest = len(wants)
    for want in sorted(wants):
        if want * rest >= left:
            break
        left -= want
        rest -= 1
    return left / max(1, rest)
