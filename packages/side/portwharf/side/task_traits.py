# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The properties of the tasks on a VM that pacing depends on.

A worker lists which attempts run, but not their properties. These come from
the owner: with the command that starts an attempt and, for all tasks that the
VM holds, with each new connection. A restarted side therefore knows its tasks
before it is told to start another, and keeps a task's traits for as long as it
runs.
"""

import dataclasses

from portwharf.core import bounded_cache
from portwharf.core import ids
from portwharf.scheduler.decisions import precedence

# Tasks that are remembered, unless more of them run. A start without an answer
# may show in the listing up to 12 s later, and a VM starts fewer than 20 tasks
# a second.
MAX_TRAITS = 1000


@dataclasses.dataclass(slots=True)
class TaskTraits:
    """The properties of a task.

    :param fill_milli: the CPU that a filling task asks for, in thousandths, or
        0
    :param target_ms: the tail latency target of a serving task, or 0
    :param attempt: the latest attempt that the owner has described
    """

    image: str = ''
    fill_milli: int = 0
    target_ms: int = 0
    attempt: int = 0


_UNKNOWN_TASK = TaskTraits()
_NO_CLAIM = precedence.Claim()


class TraitsCache:
    """The traits of the tasks that run here or may run."""

    def __init__(self):
        self._known = bounded_cache.BoundedCache(MAX_TRAITS)
        # ``precedence.Claim`` by step, which all of its tasks share.
        self._claims = bounded_cache.BoundedCache(MAX_TRAITS)
        self._all_described = False
        self.unknown = []

    def record(self, message):
        """Take a task from a ``messages.StartTask`` or ``HeldTask``.

        :returns: whether it was not known before
        """
        new = message.task not in self._known
        trait = TaskTraits(
            message.program,
            message.fill_milli,
            message.target_ms,
            message.attempt,
        )
        self._known.put(message.task, trait)
        self._put_claim(ids.split_task_id(message.task), message)
        return new

    def update_claim(self, message):
        """Take a ``messages.StepClaim``, as the work of a job gets less."""
        self._put_claim(message.workload, message)

    def find_claim(self, attempt):
        """Return the ``precedence.Claim`` of an attempt's step."""
        return self._claims.get(ids.split_task_id(attempt.task), _NO_CLAIM)

    def _put_claim(self, step, message):
        claim = precedence.Claim(message.left, message.due_ms, message.late_ms)
        self._claims.put(step, claim)

    def record_all_described(self):
        """Record that the owner has described all tasks that the VM holds."""
        self._all_described = True

    def set_running(self, running):
        """Take the running attempts, a list of ``workers.Attempt``.

        An attempt is unknown if the owner has not described its task, or has
        described a later attempt. The log has given it up, and it will be
        stopped.
        """
        self._known.set_in_use(one.task for one in running)
        self._claims.set_in_use(ids.split_task_id(one.task) for one in running)
        self.unknown = []
        if self._all_described:
            self.unknown = [a for a in running if self._is_unknown(a)]

    def _is_unknown(self, attempt):
        known = self._known.get(attempt.task)
        return known is None or attempt.attempt < known.attempt

    def find(self, attempt):
        """Return the :class:`TaskTraits` of an attempt; empty if not known."""
        return self._known.get(attempt.task, _UNKNOWN_TASK)
