# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""When an owner may grant, and when it may run a lost task again.

A side keeps exclusive tasks only while its owner answers its heartbeats with
valid grants. An owner gives valid grants only for ``limits.confirm`` seconds
after it *sent* a question whose answer showed that nobody had replaced it:
either a majority of the members acknowledged its epoch, or the store showed
its entry as the last of the log. Confirmation by a majority keeps batch work
going through a long outage of the store.

An exclusive task of an unreachable VM is run again only after every grant and
lease that could keep it alive has expired; DESIGN.md has the proof.
"""

import threading


class GrantTable:
    """The acknowledgements that one owner has from its members."""

    def __init__(self, members, limits):
        """Take the names of the members and the ``limits.Limits``."""
        self._limits = limits
        self._lock = threading.Lock()
        self._members = set(members)
        self._ack_times = {}
        self._store_time = None
        self._majority_since = None
        self._last_grant = {}

    def set_members(self, members):
        """Replace the member list after a change that is in the log."""
        with self._lock:
            self._members = set(members)

    def record_ack(self, member, sent_at, now):
        """Record that a member acknowledged the epoch of this owner.

        :param sent_at: the clock of the owner when the question was sent
        :param now: the clock of the owner when the answer came
        """
        with self._lock:
            self._ack_times[member] = max(
                sent_at, self._ack_times.get(member, sent_at)
            )
            reached = self._find_majority_ack_time() is not None
            if self._majority_since is None and reached:
                self._majority_since = now

    def record_store(self, sent_at):
        """Record that the store showed our entry as the last of the log.

        :param sent_at: the clock of the owner when the question was sent
        """
        with self._lock:
            self._store_time = max(sent_at, self._store_time or sent_at)

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
            sent_at = self._find_majority_ack_time()
            return sent_at is not None and now - sent_at < self._limits.confirm

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
            since = self._majority_since
            if since is None or now - since < after_majority:
                return False
            last = self._last_grant.get(vm)
            return last is None or now - last >= after_grant

    def _may_grant(self, now):
        sent_at = self._find_majority_ack_time()
        confirmed_times = [
            t for t in (sent_at, self._store_time) if t is not None
        ]
        return (
            bool(confirmed_times)
            and now - max(confirmed_times) < self._limits.confirm
        )

    def _find_majority_ack_time(self):
        """Return when the latest question that a majority answered was sent.

        :returns: seconds on the clock of the owner, or None
        """
        confirmed_times = sorted(
            (
                self._ack_times[name]
                for name in self._members & set(self._ack_times)
            ),
            reverse=True,
        )
        needed = len(self._members) // 2 + 1
        return (
            confirmed_times[needed - 1]
            if len(confirmed_times) >= needed
            else None
        )
