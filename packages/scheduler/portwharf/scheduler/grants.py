# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""When an owner may grant, and when it may run a lost task again.

A side keeps exclusive tasks only while its owner answers its heartbeats with
valid grants. An owner gives valid grants only for ``limits.confirm`` seconds
after it *sent* a question whose answer showed that nobody had replaced it:
the store showed its entry as the last of the log, or enough voters
acknowledged its epoch. Voters are the members that have a vote by the log.

Confirmation by voters keeps batch work going through an outage of the store,
for a bounded time: ``limits.outage`` if all voters acknowledge, and
``limits.degraded_outage`` if only a majority does. So a new owner that only a
minority acknowledges, or nobody, knows when the grants of a former one end.

An exclusive task of an unreachable VM is run again only after every grant and
lease that could keep it alive has expired; DESIGN.md has the proof.
"""

import math
import threading

# What the wait for the grants of former owners began with.
BASIS_MAJORITY = 'majority'
BASIS_VOTER = 'voter'
BASIS_CLAIM = 'claim'


class GrantTable:
    """The acknowledgements that one owner has from the voters."""

    def __init__(self, voters, limits, claimed_at):
        """Create the table of a new owner.

        :param voters: names of the voters by the log at the claim
        :param limits: the ``limits.Limits``
        :param claimed_at: the clock of the owner after the claim was logged
        """
        self._limits = limits
        self._lock = threading.Lock()
        self._voters = frozenset(voters)
        self._claimed_at = claimed_at
        self._ack_times = {}
        self._store_time = None
        self._voter_since = None
        self._majority_since = None
        self._last_grant = {}

    def set_voters(self, voters):
        """Replace the voters.

        While a change is not known to be in the log, both those before and
        those after it must be given.
        """
        with self._lock:
            self._voters = frozenset(voters)
            for name in self._ack_times.keys() - self._voters:
                del self._ack_times[name]

    def record_ack(self, member, sent_at, now):
        """Record that a member acknowledged the epoch of this owner.

        :param sent_at: the clock of the owner when the question was sent
        :param now: the clock of the owner when the answer came
        """
        with self._lock:
            if member not in self._voters:
                return
            self._ack_times[member] = max(
                sent_at, self._ack_times.get(member, sent_at)
            )
            if self._voter_since is None:
                self._voter_since = now
            reached = self._find_majority_ack_time() is not None
            if self._majority_since is None and reached:
                self._majority_since = now

    def record_store(self, sent_at):
        """Record that the store showed our entry as the last of the log.

        :param sent_at: the clock of the owner when the question was sent
        """
        with self._lock:
            self._store_time = max(sent_at, self._store_time or sent_at)

    def measure_store_age(self, now):
        """Return the seconds since the store confirmed, infinite if never."""
        with self._lock:
            return self._measure_age(self._store_time, now)

    def may_grant(self, now):
        """Tell whether a grant given now is valid."""
        with self._lock:
            return self._may_grant(now)

    def grant(self, member, now):
        """Grant to a member if that is safe, and record the grant.

        :returns: whether the grant is valid
        """
        with self._lock:
            if not self._may_grant(now):
                return False
            self._last_grant[member] = now
            return True

    def has_majority(self, now):
        """Tell whether a majority acknowledged within ``limits.confirm``."""
        with self._lock:
            return self._is_recent(self._find_majority_ack_time(), now)

    def may_change_voters(self, now):
        """Tell whether no former owner can grant any more."""
        return bool(self.find_basis(now))

    def find_basis(self, now):
        """Return which wait for the last grant of former owners is over.

        :returns: one of the ``BASIS_`` constants, or '' while all go on
        """
        with self._lock:
            return self._find_basis(now, self._limits.sole_after_majority)

    def may_replace(self, vm, now):
        """Tell whether an exclusive task of a silent VM may run again."""
        return self._has_expired(
            vm,
            now,
            self._limits.replace_after_majority,
            self._limits.replace_after_grant,
        )

    def has_lapsed(self, vm, now):
        """Tell whether a VM's side holds no valid grant of any owner."""
        return self._has_expired(
            vm,
            now,
            self._limits.lapse_after_majority,
            self._limits.lapse_after_grant,
        )

    def _has_expired(self, vm, now, after_majority, after_grant):
        with self._lock:
            if not self._find_basis(now, after_majority):
                return False
            last = self._last_grant.get(vm)
            return last is None or now - last >= after_grant

    def _find_basis(self, now, after_majority):
        """Return by which wait a time since a former owner's grants is over.

        :param after_majority: the wait, in seconds, that begins with the first
            majority
        """
        limits = self._limits
        waits = (
            (BASIS_MAJORITY, self._majority_since, 0.0),
            (BASIS_VOTER, self._voter_since, limits.extra_without_majority),
            (BASIS_CLAIM, self._claimed_at, limits.extra_without_voters),
        )
        for basis, since, extra in waits:
            if since is not None and now - since >= after_majority + extra:
                return basis
        return ''

    def _may_grant(self, now):
        store_age = self._measure_age(self._store_time, now)
        if store_age < self._limits.confirm:
            return True
        if self._is_recent(self._find_majority_ack_time(), now):
            if store_age < self._limits.degraded_outage:
                return True
        return (
            self._is_recent(self._find_unanimous_ack_time(), now)
            and store_age < self._limits.outage
        )

    def _is_recent(self, sent_at, now):
        return self._measure_age(sent_at, now) < self._limits.confirm

    @staticmethod
    def _measure_age(since, now):
        return math.inf if since is None else now - since

    def _find_majority_ack_time(self):
        """Return when the latest question that a majority answered was sent.

        :returns: seconds on the clock of the owner, or None
        """
        return self._find_ack_time(len(self._voters) // 2 + 1)

    def _find_unanimous_ack_time(self):
        """Return the same of the latest question that all answered."""
        return self._find_ack_time(max(1, len(self._voters)))

    def _find_ack_time(self, needed):
        sent_times = sorted(self._ack_times.values(), reverse=True)
        return sent_times[needed - 1] if len(sent_times) >= needed else None
