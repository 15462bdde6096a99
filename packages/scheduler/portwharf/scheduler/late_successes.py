# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Successes of attempts that were given up before they were reported.

A VM that was given up may come back with a success after the task's next
attempt was placed. That success ends the task, so that the work is not done
twice. First the later attempt has to be stopped: it may not have begun yet,
and nothing may start after the end was logged and acknowledged. Until then the
side is not told to forget the success, and reports it again to a new owner.
"""

from portwharf.core import data


class LateSuccesses:
    """The late successes that one owner has not accepted yet."""

    def __init__(self, state):
        self._state = state
        # (VM name, ``messages.TaskReport``) by (task, attempt).
        self._reports = {}

    def add(self, vm, report):
        """Add the report of a success.

        :param vm: the name of the VM that sent it
        """
        self._reports[(report.task, report.attempt)] = (vm, report)

    def list_tasks(self):
        """Return the ids of the tasks that have succeeded, as a set.

        A success of one member is one of its whole gang.
        """
        return {
            task.id
            for _, report in self._reports.values()
            for task in self._list_ended_by(report)
        }

    def list_placed(self):
        """Return the ``state.TaskRecord`` of each later attempt to be stopped.

        Those that are being stopped already are left out.
        """
        placed = {
            task.id: task
            for _, report in self._reports.values()
            for task in self._list_ended_by(report)
            if task.state == data.TaskState.PLACED
        }
        return list(placed.values())

    def take_due(self):
        """Return and remove the successes without a later attempt on a VM.

        :returns: list of (VM name, ``messages.TaskReport``)
        """
        due = {
            name: (vm, report)
            for name, (vm, report) in self._reports.items()
            if not any(task.vm for task in self._list_ended_by(report))
        }
        for name in due:
            del self._reports[name]
        return list(due.values())

    def _list_ended_by(self, report):
        """Return the tasks that a success ends; none if they were dropped."""
        task = self._state.tasks.get(report.task)
        if task is None:
            return []
        record = self._state.find_workload(task.id)
        return record.tasks if record.workload.gang else [task]
