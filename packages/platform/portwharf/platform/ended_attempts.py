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

    __slots__ = ('acked', '_listed', '_returned', '_logged', '_latest')

    def __init__(self):
        self.acked = 0
        # (task, attempt) by number, of listed ended attempts that are not
        # acknowledged, and the ones that are in the log.
        self._listed = {}
        # Those among them that the side has been told of.
        self._returned = set()
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

    def record_returned(self, rows):
        """Record that the side has been told of the rows of a listing."""
        for number, task, run, *_ in rows:
            if number > self.acked:
                self._returned.add((task, run))

    def record_latest(self, rows):
        """Record the highest number; tells whether it is a new one."""
        latest = max((row[0] for row in rows), default=0)
        if latest <= self._latest:
            return False
        self._latest = latest
        return True

    def forget(self, task, attempt):
        """Mark an ended attempt as logged, so that it can be dropped.

        Without effect for one that the side has not been told of: the owner
        has logged that it was refused or gone, and not how it ended.
        """
        if (task, attempt) in self._returned:
            self._logged.add((task, attempt))
            self._advance_ack()

    def _advance_ack(self):
        """Raise ``acked`` over all listed ended attempts that are logged."""
        for number in sorted(self._listed):
            name = self._listed[number]
            if name not in self._logged:
                return
            del self._listed[number]
            self._logged.discard(name)
            self._returned.discard(name)
            self.acked = number
