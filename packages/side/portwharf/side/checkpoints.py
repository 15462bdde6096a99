# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Reports the checkpoints of running tasks to the owner.

The worker lists the last checkpoint of each running attempt. If the VM is
lost, only a checkpoint in the owner's log lets the task resume. Each one costs
about 60 bytes of log, so they are reported soon for a short task and less
often the longer a task runs.
"""

from portwharf.core import data
from portwharf.peers import messages

# Minimum time between two reported checkpoints of a task. On the platforms
# known, filling tasks run for 3 to 5 s and save a checkpoint each 0.5 to 2 s.
MIN_INTERVAL_SECONDS = 1.0
# Time between two reports as a share of the attempt's run time. The loss of a
# VM then costs at most about a fifth more of the work that was done.
RUN_TIME_SHARE = 0.2


class CheckpointReporter:
    """Selects the checkpoints of one worker's attempts that are reported."""

    def __init__(self):
        # Time at which each attempt was first listed, and its last reported
        # checkpoint with the time of that report.
        self._first_seen = {}
        self._reported = {}

    def forget_reported(self):
        """Report everything again, to a new owner connection."""
        self._reported = {}

    def list_due(self, attempts, now):
        """Return the ``messages.SavedTask`` that are due.

        :param attempts: all listed attempts, as a list of ``workers.Attempt``
        :param now: monotonic time, in seconds
        """
        running = {
            (one.task, one.attempt): one.checkpoint
            for one in attempts
            if one.state == data.RunState.RUNNING
        }
        self._first_seen = {
            name: self._first_seen.get(name, now) for name in running
        }
        self._reported = {
            n: t for n, t in self._reported.items() if n in running
        }
        due = []
        for name, checkpoint in running.items():
            if checkpoint and self._is_due(name, checkpoint, now):
                self._reported[name] = (checkpoint, now)
                due.append(messages.SavedTask(*name, checkpoint))
        return due

    def _is_due(self, name, checkpoint, now):
        """Tell whether a checkpoint is new and its report is due."""
        reported, reported_at = self._reported.get(
            name, ('', self._first_seen[name])
        )
        wait = max(
            MIN_INTERVAL_SECONDS,
            RUN_TIME_SHARE * (now - self._first_seen[name]),
        )
        return checkpoint != reported and now - reported_at >= wait
