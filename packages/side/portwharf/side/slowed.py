# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tells how long an attempt worked at a share, now and then and at its end.

What fills a VM is paced for the sake of what serves there, many times a
second: one line an attempt says what that came to.
"""

import dataclasses
import logging

from portwharf.core import data
from portwharf.core import logs

LOG = logging.getLogger(__name__)

# Less than this is not worth a line, in seconds.
LEAST_SECONDS = 0.1
# One that still runs has a line each so many seconds that it lost.
STEP_SECONDS = 4.0
_FULL = 100
_MS = 1000


@dataclasses.dataclass(slots=True)
class _Run:
    """One attempt, as far as it was followed.

    :param ran: seconds that it was seen to run
    :param lost: seconds of these that it would have saved at full pace
    :param share: in percent, that it works at now
    :param told: what the last line told of ``lost``
    """

    at: float = 0.0
    ran: float = 0.0
    lost: float = 0.0
    share: int = _FULL
    told: float = 0.0


class SlowedLog:
    """The lines about one worker's attempts, for the agent's thread."""

    def __init__(self):
        self._runs = {}

    def note_listing(self, attempts, paced, now):
        """Take in what runs, and tell of what has ended.

        :param attempts: list of ``workers.Attempt``, all that is listed
        :param paced: list of ``messages.PacedTask``, as told before this
        """
        shares = {(one.task, one.attempt): one.percent for one in paced}
        running = [
            one
            for one in attempts
            if one.state == data.RunState.RUNNING
            and one.kind == data.Kind.BATCH
        ]
        for one in running:
            name = (one.task, one.attempt)
            self._follow(name, shares.get(name, _FULL), now)
        live = {(one.task, one.attempt) for one in running}
        for name in self._runs.keys() - live:
            run = self._runs.pop(name)
            _count(run, now)
            if run.lost - run.told >= LEAST_SECONDS:
                self._tell(name, run)

    def _follow(self, name, share, now):
        run = self._runs.setdefault(name, _Run(now))
        _count(run, now)
        run.share = share
        if run.lost - run.told >= STEP_SECONDS:
            self._tell(name, run)

    def _tell(self, name, run):
        run.told = run.lost
        task, attempt = name
        extra = logs.fields(
            task=task,
            attempt=attempt,
            ran_ms=int(run.ran * _MS),
            paced_ms=int(run.lost * _MS),
        )
        LOG.info('worked at a share', extra=extra)


def _count(run, now):
    """Count the time since a run was looked at last."""
    spent = now - run.at
    run.at = now
    run.ran += spent
    run.lost += spent * (_FULL - run.share) / _FULL
