# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The numbered ends that one life of the runner lists.

Numbers begin at 1 in each life, and ends up to the number that a side
acknowledges are forgotten. Kept beyond its life, a number would have the
next life's ends forgotten before anybody has logged them.
"""


class Ends:
    """Which ends are listed and which may go; the caller's lock guards it.

    :ivar acked: the number up to which all ends may go
    """

    __slots__ = ('acked', '_listed', '_logged', '_latest')

    def __init__(self):
        self.acked = 0
        # Ended attempts that are still listed, by number, and which of
        # them may go.
        self._listed = {}
        self._logged = set()
        self._latest = 0

    @property
    def some_listed(self):
        """Whether there are ends that may not go yet."""
        return bool(self._listed)

    def take_rows(self, rows):
        """Take the rows of a listing: number, task, run, and more."""
        for number, task, run, *_ in rows:
            if number > self.acked:
                self._listed[number] = (task, run)
        # A number may have been passed that was logged before it was seen.
        self._move_ack()

    def note_latest(self, rows):
        """Tell whether rows have an end that was not noted before."""
        latest = max((row[0] for row in rows), default=0)
        if latest <= self._latest:
            return False
        self._latest = latest
        return True

    def forget(self, task, attempt):
        """Let an end go that is in the log."""
        self._logged.add((task, attempt))
        self._move_ack()

    def _move_ack(self):
        """Raise the number up to which all listed ends may go."""
        for number in sorted(self._listed):
            if self._listed[number] not in self._logged:
                return
            self._logged.discard(self._listed.pop(number))
            self.acked = number
