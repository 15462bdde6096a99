# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""At most once: which side may run a not-repeatable request, and whether.

Each id has one home among a service's endpoints, by rendezvous over the
roster in force. A home runs an id that it has not seen only if it was the
id's only possible home all the time since the id was made: by every roster
in force since then, with its memory of that time whole, and under a valid
grant, without which a newer roster may be in force. What a former home, or
this side before a restart, may have run is answered "unknown".

The time an id was made is in the id. It is trusted up to ``SKEW_MS``: ids
from further ahead are refused, so that no former home can have run an id
that looks younger than the roster.
"""

import collections
import dataclasses
import threading

from portwharf.core import data
from portwharf.core import ids
from portwharf.scheduler import homes
from portwharf.side import admission

# How far the clocks of callers, sides and owners may differ.
SKEW_MS = 2000
# An id's clock may be ahead of ours by so much, half of the skew; the
# other half is for ours against the owner's.
AHEAD_MS = 1000
# Ids are remembered for so long, and older ones not run.
WINDOW_MS = 600_000
MAX_IDS = 20_000
# Answers kept whole for a second asking, in all and each.
MAX_KEPT_BYTES = 2_000_000
MAX_ANSWER_BYTES = 4096

REASON_SEEN = 'not-repeatable-and-seen-before'
REASON_NOT_HOME = 'not-the-home-of-this-id'
REASON_FORMER_HOME = 'may-have-run-at-a-former-home'
REASON_NOT_CONFIRMED = 'home-is-not-confirmed'
REASON_FUTURE = 'id-is-from-the-future'
REASON_FULL = 'too-many-ids-to-remember'


@dataclasses.dataclass(slots=True)
class _Known:
    """An id that was admitted; ``verdict`` is None while it runs."""

    made_ms: int = 0
    verdict: admission.Verdict = None


class Home:
    """The memory of one side for not-repeatable requests."""

    def __init__(self, name, guard, clock):
        """Take our VM's name, the side's guard and a clock."""
        self._name = name
        self._guard = guard
        self._clock = clock
        self._lock = threading.Lock()
        self._known = collections.OrderedDict()
        self._kept = 0
        self._epoch = 0
        self._pending = None
        self._history = []
        # Before this the side has no memory.
        self._since_ms = clock.read_unix_ms()

    @property
    def seq(self):
        """The highest roster that we act by, pending ones included."""
        if self._pending is not None:
            return self._pending.seq
        return self._history[-1].seq if self._history else 0

    def take_update(self, update, epoch):
        """Take the rosters from our owner.

        What a former owner announced and did not put in force never will
        be: a newer owner's word replaces it.

        :param epoch: the owner's
        :returns: whether they were news
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
        """Decide on a not-repeatable request.

        :returns: None if it is ours to run now, else its ``Verdict``
        """
        with self._lock:
            now_ms = self._clock.read_unix_ms()
            known = self._known.get(request)
            if known is not None:
                return known.verdict or _make_unknown(REASON_SEEN)
            made_ms = ids.read_unix_ms(request) or 0
            reason = self._check(request, service, made_ms, now_ms)
            if reason == REASON_FORMER_HOME:
                return _make_unknown(reason)
            if reason:
                return _refuse(reason, sent_before)
            self._forget_old(now_ms)
            if len(self._known) >= MAX_IDS:
                return admission.Verdict(reason=REASON_FULL)
            self._known[request] = _Known(made_ms)
            return None

    def is_ours(self, request, service):
        """Tell, just before the runner gets it, that nothing has changed."""
        with self._lock:
            return self._guard.is_granted() and self._is_home_now(
                request, service
            )

    def record(self, request, verdict):
        """Note what became of an admitted request."""
        with self._lock:
            known = self._known.get(request)
            if known is None:
                return
            if verdict.outcome == data.Outcome.NOT_RUN:
                del self._known[request]
                return
            size = len(verdict.payload)
            if size > MAX_ANSWER_BYTES:
                verdict = _make_unknown(REASON_SEEN)
                size = 0
            known.verdict = verdict
            self._kept += size
            self._drop_answers()

    def _check(self, request, service, made_ms, now_ms):
        """Return why a request that we do not know is not ours, or ''."""
        if made_ms > now_ms + AHEAD_MS:
            return REASON_FUTURE
        if not self._is_home_now(request, service):
            return REASON_NOT_HOME
        if not self._guard.is_granted():
            return REASON_NOT_CONFIRMED
        if made_ms < now_ms - WINDOW_MS or made_ms < self._since_ms + SKEW_MS:
            return REASON_FORMER_HOME
        for roster in self._list_since(made_ms - SKEW_MS):
            if not _is_home(roster, request, service, self._name):
                return REASON_FORMER_HOME
        return ''

    def _is_home_now(self, request, service):
        if not self._history:
            return False
        rosters = [self._history[-1]]
        if self._pending is not None:
            rosters.append(self._pending)
        return all(
            _is_home(roster, request, service, self._name)
            for roster in rosters
        )

    def _list_since(self, since_ms):
        """Return the rosters that were in force at any time since."""
        chosen = []
        for roster in reversed(self._history):
            chosen.append(roster)
            if roster.effective_ms <= since_ms:
                return chosen
        # Older rosters than we know of were in force as well.
        return [*chosen, data.Roster()]

    def _forget_old(self, now_ms):
        while self._known:
            request, known = next(iter(self._known.items()))
            if known.made_ms >= now_ms - WINDOW_MS or known.verdict is None:
                return
            self._kept -= len(known.verdict.payload)
            del self._known[request]

    def _drop_answers(self):
        """Drop the oldest answers, but not their ids, over the budget."""
        for known in self._known.values():
            if self._kept <= MAX_KEPT_BYTES:
                return
            if known.verdict is not None and known.verdict.payload:
                self._kept -= len(known.verdict.payload)
                known.verdict = _make_unknown(REASON_SEEN)


def _is_home(roster, request, service, name):
    return homes.find_home(roster, request, service) == name


def _refuse(reason, sent_before):
    """Refuse a request that we do not know.

    Of this sending "not run" is true. If the id was sent before, another
    home may have run that one.
    """
    if sent_before:
        return _make_unknown(reason)
    return admission.Verdict(reason=reason)


def _make_unknown(reason):
    return admission.Verdict(data.Outcome.UNKNOWN, reason)
