# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a side's log tells of pacing, a few lines an episode.

Three things have to be told apart when a serving task stays over its
target: nothing here knew that it serves, the pace was not low enough, or
the worker did not take the pace. Each has a line of its own.
"""

import logging

from portwharf.core import logs
from portwharf.side import metrics

LOG = logging.getLogger(__name__)

# A swing of the load shorter than this, in seconds, is not worth a line.
OVER_SECONDS = 1.0
# Paces that were not taken are told of once in this time, in seconds.
_QUIET_SECONDS = 1.0
_MS = 1000


class PaceLog:
    """The lines about pacing on one VM."""

    def __init__(self):
        self._strangers = 0
        self._since = None
        self._told = False
        self._lost = 0
        self._next_lost = 0.0

    def note_strangers(self, attempts):
        """Tell when there are more attempts that nothing is known of."""
        count = len(attempts)
        metrics.STRANGERS.set(count)
        if count > self._strangers:
            LOG.warning(
                'runs tasks that this side was not told of',
                extra=logs.fields(task=attempts[0].task, count=count),
            )
        elif self._strangers and not count:
            LOG.info('knows all that runs here')
        self._strangers = count

    def note_worst(self, attempt, target_ms, brake, filling, now):
        """Tell when a task has been over its target, and when no more.

        :param attempt: the serving ``workers.Attempt`` nearest to its
            target or farthest over it, or None if nothing serves
        :param brake: the share, 0 to 1, that all filling tasks are held to
        :param filling: how many tasks fill
        """
        if attempt is None or attempt.tail_ms <= target_ms:
            self._end_episode(now)
            return
        metrics.OVER_TARGET.inc()
        if self._since is None:
            self._since = now
        if self._told or now - self._since < OVER_SECONDS:
            return
        self._told = True
        LOG.warning(
            'over its target',
            extra=logs.fields(
                task=attempt.task,
                attempt=attempt.attempt,
                tail_ms=attempt.tail_ms,
                target_ms=target_ms,
                percent=int(100 * brake),
                count=filling,
                strangers=self._strangers,
            ),
        )

    def note_pace(self, pace, paced, now):
        """Count an order to work at a share, and tell of a lost one.

        :param paced: the worker's answer, Ok or Err(text)
        """
        if paced.is_ok():
            metrics.PACES.labels('taken').inc()
            return
        metrics.PACES.labels('lost').inc()
        self._lost += 1
        if now < self._next_lost:
            return
        self._next_lost = now + _QUIET_SECONDS
        LOG.warning(
            'pace not taken: %s',
            paced.err_value,
            extra=logs.fields(
                task=pace.task,
                attempt=pace.attempt,
                percent=pace.percent,
                count=self._lost,
            ),
        )
        self._lost = 0

    def _end_episode(self, now):
        if self._told:
            took = int((now - self._since) * _MS)
            LOG.info('under its target again', extra=logs.fields(took_ms=took))
        self._since = None
        self._told = False
