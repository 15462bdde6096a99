# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A client of the runner beside a side, as a ``workers.Worker``.

A runner lists running and ended attempts. It numbers the ended ones and keeps
them until it is told up to which number it may drop them. Every response to a
``hold`` request has both lists, and the request renews leases as well. The
runner's capacity comes with its heartbeats.

An incarnation is one run of the runner's process, from its start to its exit
or crash; the next incarnation may have the same instance id. Only the
responses to the agent's thread settle which life is the current one. That
thread sends one request at a time, so a response never comes from an earlier
incarnation than the response before it. Heartbeats and the responses to the
watching thread may arrive late.

On the wire an attempt's number is called ``run``, and its checkpoint
``saved``. A running attempt is a row of task, run, checkpoint, percent and a
measurement: the tail latency in ms for a task with a latency target, the
processors in use, in thousandths, for any other.
"""

import logging
import threading

import result

from portwharf.core import bounded_cache
from portwharf.core import data
from portwharf.core import logs
from portwharf.platform import ended_attempts
from portwharf.platform import http_client
from portwharf.platform import runner_connection
from portwharf.platform import runner_lists
from portwharf.platform import unreadable
from portwharf import workers

LOG = logging.getLogger(__name__)

# Maximum time that a runner delays its response until an attempt ends.
WAIT_SECONDS = 1.0
# Wait between two requests while listed ended attempts are not acknowledged.
_UNACKED_POLL_SECONDS = 0.05
_RETRY_SECONDS = 0.3
_OK = 200
_CONFLICT = 409
# 421 Misdirected Request: the order named another instance id.
_MISDIRECTED = 421
# Other statuses of a start that was certainly not carried out.
_NOT_STARTED = (400, _MISDIRECTED, 429, 503)
_MS_PER_SECOND = 1000
_NO_TOKEN_LEFT = 'no higher fencing token is left'
# Number of remembered starts besides those of running attempts, which are all
# kept.
MAX_REMEMBERED_STARTS = 1000
# Reasons of refusals that the runner gives go into reports.
MAX_REASON_CHARS = 60
_UNREADABLE = unreadable.UnreadableInput('list')

_REFUSALS = {
    'fence': workers.REFUSED_FENCE,
    'late': workers.REFUSED_LEASE_EXPIRED,
    'old': workers.REFUSED_ATTEMPT_OVER,
    'room': workers.REFUSED_CAPACITY,
    'ticket': workers.REFUSED_TICKET,
}
_END_STATES = {
    'done': data.RunState.SUCCEEDED,
    'failed': data.RunState.FAILED,
    'stopped': data.RunState.CHECKPOINTED,
}


class RunnerWorker(workers.Worker):
    """A client of the runner; a context manager that runs its thread."""

    def __init__(self, endpoint, read_token, max_hold_ms):
        """Set up the client.

        :param endpoint: the runner's ``settings.Endpoint``
        :param read_token: returns the fencing token of this side, 0 if it
            has none yet
        :param max_hold_ms: the longest lease that the runner accepts
        """
        self._fence = runner_connection.FencingTokens(read_token)
        self._order_conn = runner_connection.RunnerConnection(
            endpoint, self._fence.read
        )
        self._wait_conn = runner_connection.RunnerConnection(
            endpoint, self._fence.read
        )
        self._max_hold_ms = max_hold_ms
        self._lock = threading.Lock()
        self._incarnations = workers.IncarnationTracker()
        # Ended attempts of the current incarnation, and the end of its latest
        # lease, in ms on its clock.
        self._ends = ended_attempts.EndedAttempts()
        self._lease_until_ms = 0
        # The highest fencing token of a start.
        self._start_token = 0
        # The incarnation that sent the latest list. Orders are based on that
        # list and go to this incarnation only. The current incarnation may be
        # a later one whose list was lost.
        self._listed_life = data.IncarnationId()
        # The ``workers.Start`` of each attempt by (task, attempt), as listings
        # do not include it.
        self._starts = bounded_cache.BoundedCache(MAX_REMEMBERED_STARTS)
        self._on_change = None
        self._end_logged = threading.Event()
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._watch_for_ends, name='runner', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        self._order_conn.close()

    def record_heartbeat(self, life):
        """Take a ``workers.Incarnation`` from a heartbeat."""
        with self._lock:
            is_urgent = self._incarnations.record_heartbeat(life)
        if is_urgent:
            self._notify()

    def on_attempt_end(self, on_change):
        self._on_change = on_change

    def restore_start(self, start):
        key = (start.task, start.attempt)
        if key not in self._starts:
            self._starts.put(key, start)

    def read_listing(self):
        candidate = self._incarnations.candidate
        answer = self._reach(self._order_conn).and_then(
            self._adopt_incarnation
        )
        if answer.is_err() and answer.err_value.refused:
            # The runner's process is gone, and its attempts with it.
            self._listed_life = data.IncarnationId()
            return result.Ok(workers.Listing(absent=True))
        if answer.is_ok():
            answer = self._hold(
                self._order_conn, self._incarnations.current.id
            )
        if answer.is_err():
            return answer.map_err(_get_error_text)
        self._discard_candidate(candidate)
        return answer.map(self._parse_listing)

    def renew(self, until_ms):
        answer = self._hold(
            self._order_conn, self._listed_life, until_ms=until_ms
        )
        if answer.is_ok():
            self._lease_until_ms = max(self._lease_until_ms, until_ms)
        return answer.map(lambda _: None).map_err(_get_error_text)

    def start(self, start):
        refused = self._check_start(start.life)
        if refused:
            return result.Ok(refused)
        body = {
            'task': start.task,
            'run': start.attempt,
            'spec': start.argument.decode(),
            'untilMs': start.lease_until_ms,
        }
        if start.checkpoint:
            body['saved'] = start.checkpoint
        if start.ticket:
            body['ticket'] = start.ticket
        self._starts.put((start.task, start.attempt), start)
        answer = self._order_conn.order('/portwharf/run-start', body)
        self._start_token = max(self._start_token, self._fence.read())
        if answer.is_err():
            return answer.map_err(_get_error_text)
        reply = answer.ok_value
        if reply.status == _OK:
            self._lease_until_ms = max(
                self._lease_until_ms, start.lease_until_ms
            )
            return result.Ok('')
        if reply.status == _CONFLICT:
            return result.Ok(_read_refusal(reply.value.get('reason', '')))
        if reply.status in _NOT_STARTED:
            return result.Ok(f'runner: HTTP status {reply.status}')
        # Any other status leaves open whether the attempt has started.
        return result.Err(f'runner: HTTP status {reply.status}')

    def revoke_expired_starts(self):
        if not self._fence.advance_beyond(self._start_token):
            return result.Err(_NO_TOKEN_LEFT)
        return self.read_listing()

    def abandon_starts(self):
        # The next request on either connection carries the higher token.
        if not self._fence.advance_beyond(self._start_token):
            return result.Err(_NO_TOKEN_LEFT)
        return result.Ok(None)

    def stop(self, task, attempt, checkpoint):
        body = {'task': task, 'run': attempt}
        return self._send_command('/portwharf/run-stop', body)

    def throttle(self, task, attempt, percent):
        body = {'task': task, 'run': attempt, 'percent': percent}
        return self._send_command('/portwharf/pace', body)

    def forget(self, task, attempt):
        with self._lock:
            self._ends.forget(task, attempt)
        self._end_logged.set()
        return result.Ok(None)

    def _reach(self, conn):
        """Connect to a known incarnation.

        :param conn: the ``runner_connection.RunnerConnection`` to use
        :returns: Ok(data.IncarnationId), or Err(http_client.NoReply)
        """
        return conn.reach(self._incarnations.list_instances())

    def _adopt_incarnation(self, life):
        """Make the incarnation that has responded the current one.

        Remembered starts are kept: the owner sends them once, possibly
        before the first heartbeat of the runner.

        :returns: Ok(None)
        """
        with self._lock:
            if not self._incarnations.confirm(life):
                return result.Ok(None)
            acked, self._ends = (
                self._ends.acked,
                ended_attempts.EndedAttempts(),
            )
            self._lease_until_ms = 0
        self._fence.advance()
        extra = logs.fields(
            life=life.instance, born_ms=life.born_ms, acked=acked
        )
        LOG.info('runner has a new incarnation', extra=extra)
        return result.Ok(None)

    def _discard_candidate(self, candidate):
        """Drop a candidate that another incarnation's response has ruled out.

        :param candidate: the candidate before the request was sent, or None
        """
        if candidate is None or candidate.id == self._incarnations.current.id:
            return
        with self._lock:
            self._incarnations.discard_candidate(candidate)
        extra = logs.fields(
            life=candidate.id.instance, born_ms=candidate.id.born_ms
        )
        LOG.warning('late heartbeat of an earlier incarnation', extra=extra)

    def _check_start(self, life):
        """Return the reason why nothing may be started, or ''.

        A start's lease and resources are based on one incarnation's listing.
        That incarnation need not be the current one, as the agent may still
        act on the listing before the latest.
        """
        refused = self._incarnations.check_start()
        if refused:
            return refused
        reached = self._reach(self._order_conn)
        if reached.is_err():
            return workers.REFUSED_UNREACHABLE
        if reached.ok_value != life:
            return workers.REFUSED_NO_HEARTBEAT
        return ''

    def _send_command(self, path, body):
        """Send an order that has no outcome but success or failure."""
        answer = self._order(self._order_conn, self._listed_life, path, body)
        if answer.is_ok() and answer.ok_value.status != _OK:
            status = answer.ok_value.status
            return result.Err(f'runner: HTTP status {status}')
        return answer.map(lambda _: None).map_err(_get_error_text)

    def _order(
        self, conn, life, path, body, seconds=runner_connection.CALL_SECONDS
    ):
        """Send an order to one incarnation only.

        :param life: the ``data.IncarnationId`` that the order is valid for
        :returns: Ok(http_client.Reply), or Err(http_client.NoReply)
        """
        reached = self._reach(conn)
        if reached.is_err():
            return reached
        if reached.ok_value != life:
            self._notify()
            return result.Err(
                http_client.NoReply('the runner has another incarnation')
            )
        return conn.order(path, body, seconds)

    def _hold(self, conn, life, until_ms=0, wait_ms=0):
        """Request the lists of an incarnation, and renew its leases.

        :param until_ms: the new end of all leases, 0 to renew none
        :param wait_ms: how long the runner may delay its response until an
            attempt ends
        :returns: Ok(body of the response), or Err(http_client.NoReply)
        """
        with self._lock:
            ended_attempts = self._ends
            if life != self._incarnations.current.id:
                return result.Err(
                    http_client.NoReply('the runner has another incarnation')
                )
        body = {'ackedUpto': ended_attempts.acked}
        if until_ms:
            body['untilMs'] = until_ms
        if wait_ms:
            body['waitMs'] = wait_ms
        seconds = runner_connection.CALL_SECONDS + wait_ms / _MS_PER_SECOND
        answer = self._order(
            conn, life, runner_connection.HOLD_PATH, body, seconds
        )
        if answer.is_err():
            return answer
        if answer.ok_value.status != _OK:
            status = answer.ok_value.status
            return result.Err(http_client.NoReply(f'HTTP status {status}'))
        try:
            value = runner_lists.read_lists(
                answer.ok_value.value, self._has_started
            )
        except ValueError as exc:
            _UNREADABLE.record(exc, life=life.instance)
            return result.Err(http_client.NoReply(f'malformed lists: {exc}'))
        if life.instance:
            # The numbers of an unidentified incarnation must not be
            # acknowledged.
            with self._lock:
                ended_attempts.add_rows(value['ended'])
        return result.Ok(value)

    def _has_started(self, task):
        """Return whether an attempt of a task was started here."""
        return any(one == task for one, _ in self._starts.list_keys())

    def _parse_listing(self, value):
        """Return the body of a ``hold`` response as a ``workers.Listing``."""
        life = self._incarnations.current
        self._listed_life = life.id
        now_ms = value['clockMs']
        with self._lock:
            self._ends.record_returned(value['ended'])
        self._starts.set_in_use((row[0], row[1]) for row in value['running'])
        running = [
            self._parse_running(row, now_ms) for row in value['running']
        ]
        ended = [
            _parse_ended(row)
            for row in value['ended']
            if row[0] > self._ends.acked
        ]
        return workers.Listing(
            now_ms,
            life.capacity,
            running + ended,
            life.pool,
            life.labels,
            life.draining,
            life.leaves_in_ms,
            life=life.id,
            rack=life.rack,
            is_truncated=len(value['ended']) >= runner_lists.MAX_ENDED_ROWS,
        )

    def _parse_running(self, row, now_ms):
        task, run, saved, percent, measurement = row
        start = self._starts.get((task, run)) or workers.Start()
        # The end of the lease is unknown if a former process of this side gave
        # it.
        until = self._lease_until_ms or now_ms + self._max_hold_ms
        return workers.Attempt(
            task,
            run,
            data.RunState.RUNNING,
            saved,
            kind=start.kind,
            workload=start.workload,
            lease_until_ms=until,
            resources=start.resources,
            used_cpu_milli=measurement,
            percent=percent,
            tail_ms=measurement,
        )

    def _notify(self):
        if self._on_change is not None:
            self._on_change()

    def _watch_for_ends(self):
        """Wait for ended attempts and notify the follower of new ones."""
        while not self._stop.is_set():
            self._end_logged.clear()
            ended_attempts = self._ends
            answer = self._hold(
                self._wait_conn,
                self._incarnations.current.id,
                wait_ms=int(WAIT_SECONDS * _MS_PER_SECOND),
            )
            if answer.is_err():
                self._stop.wait(_RETRY_SECONDS)
                continue
            if ended_attempts.record_latest(answer.ok_value['ended']):
                self._notify()
            if ended_attempts.has_listed:
                self._end_logged.wait(_UNACKED_POLL_SECONDS)
        self._wait_conn.close()


def _get_error_text(no_reply):
    return no_reply.text


def _read_refusal(reason):
    """Return the reason of a refused start, as the runner gives it."""
    if not isinstance(reason, str):
        return 'runner: no reason given'
    shown = ascii(reason)[:MAX_REASON_CHARS]
    return _REFUSALS.get(reason, f'runner: {shown}')


def _parse_ended(row):
    number, task, run, how, saved = row
    state = _END_STATES.get(how, data.RunState.GONE)
    if state == data.RunState.CHECKPOINTED and not saved:
        state = data.RunState.GONE
    return workers.Attempt(task, run, state, saved, reason=how)
