# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Logs missed latency targets, failed throttle commands and throttled work.

A serving task can stay over its target for three reasons: the side does not
know that it is a serving task, the filling tasks are not throttled enough, or
the worker does not carry out throttle commands. Each has its own log line, and
an episode has only a few lines. The CPU that filling tasks use tells their own
share of an episode, and the gap between two polls a side that was slow. While
filling tasks are throttled, a line every few seconds tells how much of what
they ask for they get, what limits their shares, and how much headroom is left:
means of the polls since the last line.
"""

import collections
import dataclasses
import logging

from portwharf.core import logs
from portwharf.side import metrics

LOG = logging.getLogger(__name__)

# Shorter target misses are not logged.
MIN_MISS_SECONDS = 1.0
# Failed throttle commands are logged at most this often.
_FAILURE_LOG_SECONDS = 1.0
# Throttled filling tasks are logged at most this often.
FILLING_LOG_SECONDS = 5.0
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class FillingState:
    """The filling tasks on one VM at one poll.

    :param count: number of running filling attempts
    :param throttled: number of them that are below their full share
    :param least: number of them at the least share or suspended
    :param asked_milli: processors that they ask for, in thousandths
    :param used_milli: processors that they use, in thousandths
    :param tail_ratio: highest tail latency of the serving tasks there, as a
        share of its target; 0 if none is measured
    :param throttle: the factor, 0 to 1, on the shares of all of them
    :param limits: processors that they lack, in thousandths, by what limits
        their shares (``share_limits``)
    :param headroom: least headroom that is left to a serving task, as growth
        of the logarithm of its tail latency
    """

    count: int = 0
    throttled: int = 0
    least: int = 0
    asked_milli: int = 0
    used_milli: int = 0
    tail_ratio: float = 0.0
    throttle: float = 1.0
    limits: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    headroom: float = 0.0


class PacingLog:
    """Logs about pacing on one VM."""

    def __init__(self):
        self._unknown = 0
        self._over_since = None
        self._logged = False
        # The longest gap between two polls since then, and the latest poll.
        self._gap = 0.0
        self._polled_at = 0.0
        self._used_milli = 0
        self._failures = 0
        self._next_failure_log = 0.0
        self._next_filling_log = 0.0
        # The states with throttled tasks since the last line about them.
        self._throttled_states = []

    def report_unknown(self, attempts):
        """Log when the number of unknown attempts rises, or falls to zero.

        :param attempts: list of ``workers.Attempt`` that the owner has not
            described
        """
        count = len(attempts)
        metrics.UNKNOWN_ATTEMPTS.set(count)
        if count > self._unknown:
            LOG.warning(
                'unknown attempts running',
                extra=logs.fields(task=attempts[0].task, count=count),
            )
        elif self._unknown and not count:
            LOG.info('no unknown attempts left')
        self._unknown = count

    def record_tail(
        self, attempt, target_ms, throttle, filling, now, used_milli=0
    ):
        """Log when a task has missed its target for long, and its recovery.

        :param attempt: the serving ``workers.Attempt`` whose tail latency is
            highest in relation to its target, or None if there is none
        :param target_ms: its latency target
        :param throttle: the factor, 0 to 1, on the shares of all filling tasks
        :param filling: the number of filling tasks
        :param used_milli: CPU that they use, in thousandths
        """
        if self._over_since is not None:
            self._gap = max(self._gap, now - self._polled_at)
        self._polled_at = now
        if attempt is None or attempt.tail_ms < target_ms:
            self._end_episode(now)
            return
        metrics.POLLS_OVER_TARGET.inc()
        if self._over_since is None:
            self._over_since = now
            self._gap = 0.0
        self._used_milli = used_milli
        if self._logged or now - self._over_since < MIN_MISS_SECONDS:
            return
        self._logged = True
        LOG.warning(
            'latency target missed',
            extra=logs.fields(
                task=attempt.task,
                attempt=attempt.attempt,
                tail_ms=attempt.tail_ms,
                target_ms=target_ms,
                percent=int(100 * throttle),
                count=filling,
                strangers=self._unknown,
                used_milli=used_milli,
                gap_ms=int(self._gap * _MS_PER_SECOND),
            ),
        )

    def record_filling(self, state, now):
        """Set the metrics of filling tasks, and log while any is throttled.

        :param state: a :class:`FillingState`
        """
        metrics.FILLING_MILLI.labels('asked').set(state.asked_milli)
        metrics.FILLING_MILLI.labels('used').set(state.used_milli)
        metrics.LEAST_SHARE_ATTEMPTS.set(state.least)
        if not state.throttled:
            return
        self._throttled_states.append(state)
        if now < self._next_filling_log:
            return
        self._next_filling_log = now + FILLING_LOG_SECONDS
        polls = len(self._throttled_states)
        unmet = sum(
            (one.limits for one in self._throttled_states),
            collections.Counter(),
        )
        headroom = sum(one.headroom for one in self._throttled_states) / polls
        self._throttled_states.clear()
        LOG.info(
            'filling tasks throttled',
            extra=logs.fields(
                count=state.count,
                throttled=state.throttled,
                least=state.least,
                asked_milli=state.asked_milli,
                used_milli=state.used_milli,
                tail_percent=int(100 * state.tail_ratio),
                percent=int(100 * state.throttle),
                polls=polls,
                unmet_milli={n: total // polls for n, total in unmet.items()},
                headroom_percent=int(100 * headroom),
            ),
        )

    def record_throttle(self, pace, paced, now):
        """Count a throttle command, and log a failed one.

        :param pace: the :class:`pacing.Pace`
        :param paced: the worker's answer, Ok or Err(text)
        """
        if paced.is_ok():
            metrics.THROTTLE_COMMANDS.labels('taken').inc()
            return
        metrics.THROTTLE_COMMANDS.labels('lost').inc()
        self._failures += 1
        if now < self._next_failure_log:
            return
        self._next_failure_log = now + _FAILURE_LOG_SECONDS
        LOG.warning(
            'throttle command failed: %s',
            paced.err_value,
            extra=logs.fields(
                task=pace.task,
                attempt=pace.attempt,
                percent=pace.percent,
                count=self._failures,
            ),
        )
        self._failures = 0

    def _end_episode(self, now):
        if self._logged:
            extra = logs.fields(
                took_ms=int((now - self._over_since) * _MS_PER_SECOND),
                gap_ms=int(self._gap * _MS_PER_SECOND),
                used_milli=self._used_milli,
            )
            LOG.info('latency target met again', extra=extra)
        self._over_since = None
        self._logged = False
