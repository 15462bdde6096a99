# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Keeps sides informed of the claims of the filling tasks on their VMs.

A claim changes while a task runs: its job's other tasks end, and learnt run
times shift its due time. By the claims of the starts, a task of a job that is
nearly done would rank by work that has ended long ago.
"""

from portwharf.peers import messages

# Interval between two updates to all sides.
UPDATE_INTERVAL_SECONDS = 1.0
# Smaller changes of the work left, as a share of it, are not sent.
_MIN_LEFT_CHANGE = 0.1
# Smaller changes of a due time, in ms, are not sent.
_MIN_DUE_CHANGE_MS = 500


class ClaimNotifier:
    """Finds the claims that each side has to be told again."""

    def __init__(self, state):
        """Take the shard's ``state.ShardState``."""
        self._state = state
        self._next_update = 0.0
        # What each connection was told: ``precedence.Claim`` by step, by
        # (VM name, number of the connection).
        self._sent = {}

    def make_due_updates(self, links, weigher, now):
        """Return the updates that are due, once each interval.

        :param links: list of ``members.MemberLink``
        :param weigher: the ``precedence.Weigher`` of the pass
        :returns: list of (link, ``messages.ClaimUpdate``)
        """
        if now < self._next_update:
            return []
        self._next_update = now + UPDATE_INTERVAL_SECONDS
        last, self._sent = self._sent, {}
        updates = []
        for link in links:
            if not link.view.reported:
                # Nothing can be sent now. The greeting of the next connection
                # may have been made already, from older claims.
                continue
            name = (link.name, link.view.connection)
            rows = self._list_changed(link.name, name, last, weigher)
            if rows:
                updates.append((link, messages.ClaimUpdate(rows)))
        return updates

    def _list_changed(self, vm, name, last, weigher):
        """Return the ``messages.StepClaim`` of a VM's changed claims."""
        sent = last.get(name, {})
        kept = self._sent[name] = {}
        rows = []
        for task in self._state.held[vm].values():
            record = self._state.find_workload(task.id)
            if not record.workload.fills or record.id in kept:
                continue
            claim = weigher.make_claim(record)
            kept[record.id] = sent.get(record.id)
            if _has_changed(kept[record.id], claim):
                kept[record.id] = claim
                rows.append(
                    messages.StepClaim(
                        record.id, claim.left, claim.due_ms, claim.late_ms
                    )
                )
        return rows


def _has_changed(sent, claim):
    """Return whether a claim differs noticeably from the one sent, or None."""
    if sent is None:
        return True
    return (
        abs(claim.left - sent.left) > _MIN_LEFT_CHANGE * sent.left
        or abs(claim.due_ms - sent.due_ms) > _MIN_DUE_CHANGE_MS
    )
