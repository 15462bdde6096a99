# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""When an owner may grant, and when it may run a lost task again.

A side keeps exclusive tasks only while its owner answers its heartbeats
with valid grants. The owner in turn gives valid grants only while it knows
that nobody had replaced it when it last asked: within ``confirm`` seconds
of *sending* a question that a majority of the members answered under its
epoch, or that the store answered by its entry being the log's last. The
first keeps batch work going through a long outage of the store.

An unreachable VM's exclusive task is run again only after everything that
could still keep it alive has run out; DESIGN.md has the proof.
"""

import threading


class GrantTable:
    """What one owner knows of its members' acknowledgements."""

    def __init__(self, members, limits):
        """Take the names of the members and the time limits."""
        self._limits = limits
        self._lock = threading.Lock()
        self._members = set(members)
        self._acks = {}
        self._store_time = None
        self._majority_since = None
        self._last_grant = {}

    def set_members(self, members):
        """Follow a change of the member list that is in the log."""
        with self._lock:
            self._members = set(members)

    def record_ack(self, member, sent, now):
        """Note that a member acknowledged our epoch.

        :param sent: our clock when the question was sent
        :param now: our clock when the answer came
        """
        with self._lock:
            self._acks[member] = max(sent, self._acks.get(member, sent))
            reached = self._find_majority_time() is not None
            if self._majority_since is None and reached:
                self._majority_since = now

    def record_store(self, sent):
        """Note that the store showed our entry as the log's last.

        :param sent: our clock when the question was sent
        """
        with self._lock:
            self._store_time = max(sent, self._store_time or sent)

    def may_grant(self, now):
        """Tell whether a grant given now is valid."""
        with self._lock:
            return self._may_grant(now)

    def grant(self, member, now):
        """Grant to a member if we may, and remember that we did.

        :returns: whether the grant is valid
        """
        with self._lock:
            if not self._may_grant(now):
                return False
            self._last_grant[member] = now
            return True

    def has_majority(self, now):
        """Tell whether a majority acknowledged us within ``confirm``."""
        with self._lock:
            sent = self._find_majority_time()
            return sent is not None and now - sent < self._limits.confirm

    def may_replace(self, vm, now):
        """Tell whether an exclusive task of a silent VM can run again."""
        return self._has_run_out(
            vm,
            now,
            self._limits.replace_after_majority,
            self._limits.replace_after_grant,
        )

    def has_lapsed(self, vm, now):
        """Tell that a VM's side holds no valid grant of anybody."""
        return self._has_run_out(
            vm,
            now,
            self._limits.lapse_after_majority,
            self._limits.lapse_after_grant,
        )

    def _has_run_out(self, vm, now, after_majority, after_grant):
        with self._lock:
            since = self._majority_since
            if since is None or now - since < after_majority:
                return False
            last = self._last_grant.get(vm)
            return last is None or now - last >= after_grant

    def _may_grant(self, now):
        sent = self._find_majority_time()
        times = [t for t in (sent, self._store_time) if t is not None]
        return bool(times) and now - max(times) < self._limits.confirm

    def _find_majority_time(self):
        """Return the latest time that a majority has answered, or None."""
        times = sorted(
            (self._acks[name] for name in self._members & set(self._acks)),
            reverse=True,
        )
        needed = len(self._members) // 2 + 1
        return times[needed - 1] if len(times) >= needed else None
