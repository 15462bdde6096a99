# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""At-most-once execution of non-repeatable requests.

Rendezvous hashing over the roster in force gives each request id one home
among a service's endpoints. A side runs an id that it has not seen only if it
has been the id's only possible home ever since the id was made: according to
every roster in force since then, with its memory of that period complete, and
under a valid grant, without which a newer roster may be in force. If an
earlier home, or this side before a restart, may have run the request, it is
answered "unknown".

An id contains the time at which it was made. That time is trusted within
``MAX_SKEW_MS``: ids from further ahead are refused, so that no earlier home
can have run an id that appears newer than the roster.
"""

import collections
import dataclasses
import threading

from portwharf.core import data
from portwharf.core import ids
from portwharf.scheduler import request_homes
from portwharf.side import admission

# Maximum difference between the clocks of callers, sides and owners.
MAX_SKEW_MS = 2000
# An id may be ahead of the side's clock by half of the skew. The other half
# covers the difference between the side's and the owner's clocks.
MAX_AHEAD_MS = 1000
# Ids are remembered for this long; older ones are not run.
WINDOW_MS = 600_000
MAX_IDS = 20_000
# Limits for stored answers: the total, and the largest single one.
MAX_ANSWERS_BYTES = 2_000_000
MAX_ANSWER_BYTES = 4096

REASON_SEEN = 'not-repeatable-and-seen-before'
REASON_NOT_HOME = 'not-the-home-of-this-id'
REASON_FORMER_HOME = 'may-have-run-at-a-former-home'
REASON_NOT_CONFIRMED = 'home-is-not-confirmed'
REASON_FUTURE = 'id-is-from-the-future'
REASON_FULL = 'too-many-ids-to-remember'


@dataclasses.dataclass(slots=True)
class _Known:
    """An admitted request id; ``verdict`` is None while it runs."""

    made_ms: int = 0
    verdict: admission.Verdict = None


class AtMostOncePolicy:
    """Admits non-repeatable requests, each at most once."""

    def __init__(self, name, guard, clock):
        """Take the VM's name, the side's ``GrantGuard`` and a clock."""
        self._name = name
        self._guard = guard
        self._clock = clock
        self._lock = threading.Lock()
        self._known = collections.OrderedDict()
        self._answers_bytes = 0
        self._epoch = 0
        self._pending = None
        self._history = []
        # Requests made earlier than this may have run before a restart.
        self._memory_since_ms = clock.read_unix_ms()

    @property
    def seq(self):
        """The highest known roster number, including a pending roster."""
        if self._pending is not None:
            return self._pending.seq
        return self._history[-1].seq if self._history else 0

    def take_update(self, update, epoch):
        """Take the rosters from the owner.

        A pending roster of an earlier owner will never be in force, so a newer
        owner's update replaces it.

        :param epoch: the owner's
        :returns: whether the history of rosters has changed
        """
        with self._lock:
            seq = max(
                [roster.seq for roster in update.history]
                + [update.pending.seq]
            )
            late = epoch == self._epoch and seq < self.seq
            if epoch < self._epoch or late:
                return False
            news = update.history != self._history
            self._epoch = epoch
            self._history = update.history
            self._pending = update.pending if update.pending.seq else None
            return news

    def admit(self, request, service, sent_before):
        """Decide on a non-repeatable request.

        :returns: None if it is to run here now, else its ``Verdict``
        """
        with self._lock:
            now_ms = self._clock.read_unix_ms()
            known = self._known.get(request)
            if known is not None:
                return known.verdict or _make_unknown_verdict(REASON_SEEN)
            made_ms = ids.read_unix_ms(request) or 0
            reason = self._check(request, service, made_ms, now_ms)
            if reason == REASON_FORMER_HOME:
                return _make_unknown_verdict(reason)
            if reason:
                return _refuse(reason, sent_before)
            self._drop_expired(now_ms)
            if len(self._known) >= MAX_IDS:
                return admission.Verdict(reason=REASON_FULL)
            self._known[request] = _Known(made_ms)
            return None

    def may_run_now(self, request, service):
        """Tell whether the request may still run here, under a valid grant."""
        with self._lock:
            return self._guard.is_granted() and self._is_current_home(
                request, service
            )

    def record(self, request, verdict):
        """Record the outcome of an admitted request."""
        with self._lock:
            known = self._known.get(request)
            if known is None:
                return
            if verdict.outcome == data.Outcome.NOT_RUN:
                del self._known[request]
                return
            size = len(verdict.payload)
            if size > MAX_ANSWER_BYTES:
                verdict = _make_unknown_verdict(REASON_SEEN)
                size = 0
            known.verdict = verdict
            self._answers_bytes += size
            self._drop_answers()

    def _check(self, request, service, made_ms, now_ms):
        """Return why an unseen request must not run here, or ''."""
        if made_ms > now_ms + MAX_AHEAD_MS:
            return REASON_FUTURE
        if not self._is_current_home(request, service):
            return REASON_NOT_HOME
        if not self._guard.is_granted():
            return REASON_NOT_CONFIRMED
        if (
            made_ms < now_ms - WINDOW_MS
            or made_ms < self._memory_since_ms + MAX_SKEW_MS
        ):
            return REASON_FORMER_HOME
        for roster in self._list_rosters_since(made_ms - MAX_SKEW_MS):
            if not _is_home(roster, request, service, self._name):
                return REASON_FORMER_HOME
        return ''

    def _is_current_home(self, request, service):
        if not self._history:
            return False
        rosters = [self._history[-1]]
        if self._pending is not None:
            rosters.append(self._pending)
        return all(
            _is_home(roster, request, service, self._name)
            for roster in rosters
        )

    def _list_rosters_since(self, since_ms):
        """Return the rosters that were in force at any time since then."""
        chosen = []
        for roster in reversed(self._history):
            chosen.append(roster)
            if roster.effective_ms <= since_ms:
                return chosen
        # Rosters older than the known history were in force as well.
        return [*chosen, data.Roster()]

    def _drop_expired(self, now_ms):
        while self._known:
            request, known = next(iter(self._known.items()))
            if known.made_ms >= now_ms - WINDOW_MS or known.verdict is None:
                return
            self._answers_bytes -= len(known.verdict.payload)
            del self._known[request]

    def _drop_answers(self):
        """Drop the oldest answers, but not their ids, over the limit."""
        for known in self._known.values():
            if self._answers_bytes <= MAX_ANSWERS_BYTES:
                return
            if known.verdict is not None and known.verdict.payload:
                self._answers_bytes -= len(known.verdict.payload)
                known.verdict = _make_unknown_verdict(REASON_SEEN)


def _is_home(roster, request, service, name):
    return request_homes.find_home(roster, request, service) == name


def _refuse(reason, sent_before):
    """Refuse a request that this side has not seen.

    "Not run" is correct for this transmission only: if the request was sent
    before, another home may have run it.
    """
    if sent_before:
        return _make_unknown_verdict(reason)
    return admission.Verdict(reason=reason)


def _make_unknown_verdict(reason):
    return admission.Verdict(data.Outcome.UNKNOWN, reason)
