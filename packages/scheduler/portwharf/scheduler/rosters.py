# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Rosters: the VMs that serve each service, as all processes agree on.

The home of a not-repeatable request is chosen by the roster in force. A new
roster is first announced as pending: from then on, a side acts as home only
for ids that have the same home in both rosters. Once every member has
acknowledged the pending roster, or can hold no valid grant any more, no side
acts by the old roster alone; the new one is then logged with its effective
time and is in force.
"""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import events

SEQS_PER_EPOCH = 1_000_000
_UNUSABLE_REASONS = frozenset(('unreachable', 'leaving'))


class RosterKeeper:
    """The rosters of one shard in the epoch of one owner."""

    def __init__(self, state):
        self._state = state
        self._pending = None
        self._last_seq = 0
        self._acks = {}

    def record_ack(self, member, seq):
        """Record the highest roster number that a member acts by."""
        self._acks[member] = seq

    def make_update(self):
        """Return the rosters as a message for sides and entries."""
        pending = self._pending or data.Roster()
        return messages.RosterUpdate(pending, list(self._state.rosters))

    def update(self, views, now_ms, has_lapsed):
        """Update the rosters after a change of where services run.

        :param views: list of ``vmview.VmView``
        :param has_lapsed: function of a VM name that tells whether its side
            holds no valid grant
        :returns: (event or None, whether there is news to announce)
        """
        if self._pending is not None:
            return self._commit_pending(now_ms, has_lapsed)
        services = list_services(self._state, views)
        last = self._state.rosters[-1] if self._state.rosters else None
        if services == (last.services if last else []):
            return None, False
        seq = max(last.seq if last else 0, self._last_seq) + 1
        # Sides acknowledge a roster by its number. A former owner may have
        # announced rosters that were never in force, so ours need higher
        # numbers.
        seq = max(seq, self._state.epoch * SEQS_PER_EPOCH)
        self._last_seq = seq
        self._pending = data.Roster(seq, 0, services)
        return None, True

    def _commit_pending(self, now_ms, has_lapsed):
        """Put the pending roster in force once no side acts by the old one."""
        seq = self._pending.seq
        for name in self._state.members:
            if self._acks.get(name, 0) < seq and not has_lapsed(name):
                return None, False
        roster = data.Roster(seq, now_ms, self._pending.services)
        self._pending = None
        return events.RosterChanged(roster), True


def list_services(state, views):
    """Return the services and the VMs that serve each, in a fixed order."""
    usable = {
        view.vm.name for view in views if view.closed not in _UNUSABLE_REASONS
    }
    found = []
    for record in state.services.values():
        if record.cancelled:
            continue
        serving = sorted(
            task.vm
            for task in record.tasks
            if task.vm in usable and task.state == data.TaskState.PLACED
        )
        if serving:
            found.append(data.ServiceRoster(record.workload.key, serving))
    return sorted(found, key=lambda one: one.service)
