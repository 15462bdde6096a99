# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The ended attempts that one incarnation of the runner lists.

The runner numbers them from 1 in each incarnation, and drops them up to the
number that the side acknowledges. An acknowledged number is valid in one
incarnation only: sent to the next incarnation, it would drop ended attempts
that are not in the log.
"""


class EndedAttempts:
    """Tracks listed and logged ended attempts; guarded by the caller's lock.

    :ivar acked: the runner may drop all ended attempts up to this number
    """

    __slots__ = ('acked', '_listed', '_logged', '_latest')

    def __init__(self):
        self.acked = 0
        # (task, attempt) by number, of listed ended attempts that are not
        # acknowledged, and the ones that are in the log.
        self._listed = {}
        self._logged = set()
        self._latest = 0

    @property
    def has_listed(self):
        """Whether ended attempts are listed that are not acknowledged."""
        return bool(self._listed)

    def add_rows(self, rows):
        """Add the rows of a listing: number, task, run, and more."""
        for number, task, run, *_ in rows:
            if number > self.acked:
                self._listed[number] = (task, run)
        # An attempt may have been logged before it was listed here.
        self._advance_ack()

    def record_latest(self, rows):
        """Record the highest number; tells whether it is a new one."""
        latest = max((row[0] for row in rows), default=0)
        if latest <= self._latest:
            return False
        self._latest = latest
        return True

    def forget(self, task, attempt):
        """Mark an ended attempt as logged, so that it can be dropped."""
        self._logged.add((task, attempt))
        self._advance_ack()

    def _advance_ack(self):
        """Raise ``acked`` over all listed ended attempts that are logged."""
        for number in sorted(self._listed):
            if self._listed[number] not in self._logged:
                return
            self._logged.discard(self._listed.pop(number))
            self.acked = number
