# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Logs how much time attempts lose to throttling, by what limits them.

The shares of filling tasks change several times a second. One line for each
attempt sums up the effect when it ends, and a long one has lines in between.
"""

import collections
import dataclasses
import logging

from portwharf.core import data
from portwharf.core import logs
from portwharf.side import share_limits

LOG = logging.getLogger(__name__)

# Smaller losses are not logged.
MIN_LOSS_SECONDS = 0.1
# A running attempt is logged each time it has lost this much more.
LOG_STEP_SECONDS = 4.0
_FULL = 100
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class _Run:
    """One attempt, since it was first listed.

    :param at: when it was last updated, on the monotonic clock
    :param ran: seconds that it has run
    :param lost: seconds that it would have saved at its full share
    :param share: its current CPU share, in percent
    :param limit: what limits it (``share_limits``)
    :param told: ``lost`` at the last log line
    :param lost_by: ``lost`` by limit
    """

    at: float = 0.0
    ran: float = 0.0
    lost: float = 0.0
    share: int = _FULL
    limit: str = share_limits.NONE
    told: float = 0.0
    lost_by: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class SlowdownLog:
    """Logs the slowdown of one worker's attempts."""

    def __init__(self):
        self._runs = {}

    def update(self, attempts, paced, get_limit, now):
        """Update the running attempts, and log those that have ended.

        :param attempts: all listed attempts, as a list of ``workers.Attempt``
        :param paced: the shares set before this, as a list of
            ``messages.PacedTask``
        :param get_limit: function from (task, attempt) to what limits its
            share
        :param now: monotonic time, in seconds
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
            self._update(name, shares.get(name, _FULL), get_limit(name), now)
        live = {(one.task, one.attempt) for one in running}
        for name in self._runs.keys() - live:
            run = self._runs.pop(name)
            _add_elapsed(run, now)
            if run.lost - run.told >= MIN_LOSS_SECONDS:
                self._log_loss(name, run)

    def _update(self, name, share, limit, now):
        run = self._runs.setdefault(name, _Run(now))
        _add_elapsed(run, now)
        run.share = share
        run.limit = limit
        if run.lost - run.told >= LOG_STEP_SECONDS:
            self._log_loss(name, run)

    def _log_loss(self, name, run):
        run.told = run.lost
        task, attempt = name
        extra = logs.fields(
            task=task,
            attempt=attempt,
            ran_ms=int(run.ran * _MS_PER_SECOND),
            paced_ms=int(run.lost * _MS_PER_SECOND),
            paced_by={
                limit: int(seconds * _MS_PER_SECOND)
                for limit, seconds in run.lost_by.items()
            },
        )
        LOG.info('worked at a share', extra=extra)


def _add_elapsed(run, now):
    """Count the time since the last update."""
    spent = now - run.at
    run.at = now
    run.ran += spent
    lost = spent * (_FULL - run.share) / _FULL
    run.lost += lost
    if lost:
        run.lost_by[run.limit] += lost
