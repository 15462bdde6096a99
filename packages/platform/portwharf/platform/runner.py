# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The runner beside a side as portwharf's own ``workers.Worker``.

A runner lists what runs, and what has ended under rising numbers until it
is told up to which number the ends may go. Both come with every answer to
a ``hold``, which also renews leases. What a runner can hold comes with its
heartbeats.

Which life of the runner is in use is settled by the looks of the agent's
thread alone: they come one after the other, so that an answer to one is not
of an earlier life than the answer before. Heartbeats, and answers that the
other thread waits for, may be overtaken.

On the wire an attempt is called a run; a listed run is a row of task, run,
checkpoint, percent and a figure: of a task with a target the tail of its
answers in ms, of any other the processors that it uses.
"""

import logging
import threading

import result

from portwharf.core import data
from portwharf.core import logs
from portwharf.core import recent
from portwharf.platform import ends
from portwharf.platform import http
from portwharf.platform import line
from portwharf.platform import lists
from portwharf.platform import metrics
from portwharf import workers

LOG = logging.getLogger(__name__)

# How long a runner holds an answer back until something ends.
WAIT_SECONDS = 1.0
# Between two looks while ends are listed that may not go yet.
_PAUSE_SECONDS = 0.05
_RETRY_SECONDS = 0.3
_OK = 200
_CONFLICT = 409
# The call was meant for another life of the runner.
_OTHER_LIFE = 421
# Other answers to a start which say that nothing begins.
_NOT_BEGUN = (400, _OTHER_LIFE, 429, 503)
_MS = 1000
# Starts that are remembered, unless more run.
MAX_SIZES = 1000

_REASONS = {
    'fence': workers.REFUSED_FENCE,
    'late': workers.REFUSED_LATE,
    'old': workers.REFUSED_OLD,
    'room': workers.REFUSED_ROOM,
    'ticket': workers.REFUSED_TICKET,
}
_ENDS = {
    'done': data.RunState.SUCCEEDED,
    'failed': data.RunState.FAILED,
    'stopped': data.RunState.CHECKPOINTED,
}


class RunnerWorker(workers.Worker):
    """A client of the runner; a context manager that closes it."""

    def __init__(self, endpoint, read_token, max_hold_ms):
        """Take the runner's ``settings.Endpoint``.

        :param read_token: gives the fencing token of this side, 0 if it
            has none yet
        :param max_hold_ms: the longest lease that the runner gives
        """
        self._fence = line.Fence(read_token)
        self._orders = line.Line(endpoint, self._fence.read)
        self._waits = line.Line(endpoint, self._fence.read)
        self._max_hold_ms = max_hold_ms
        self._lock = threading.Lock()
        self._lives = workers.Lives()
        # Of the life in use: its ends, and the latest lease that it was
        # given, on its clock.
        self._ends = ends.Ends()
        self._until_ms = 0
        # Of which life the last list was that was read. Renewals go by that
        # one; the life in use may be a later one whose list was lost.
        self._listed = data.LifeId()
        # Starts, for what the listing does not tell.
        self._starts = recent.Recent(MAX_SIZES)
        self._on_change = None
        self._changed = threading.Event()
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._watch, name='runner', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        self._orders.close()

    def take_life(self, life):
        """Take what a heartbeat says of the runner, a ``workers.Life``."""
        with self._lock:
            news = self._lives.offer(life)
        if news:
            self._notify()

    def follow(self, on_change):
        self._on_change = on_change

    def recall(self, start):
        name = (start.task, start.attempt)
        if name not in self._starts:
            self._starts.put(name, start)

    def read_listing(self):
        heard = self._lives.candidate
        answer = self._reach(self._orders).and_then(self._settle)
        if answer.is_err() and answer.err_value.refused:
            # The runner's process is gone, and what it ran with it.
            self._listed = data.LifeId()
            return result.Ok(workers.Listing(absent=True))
        if answer.is_ok():
            answer = self._hold(self._orders, self._lives.current.id)
        if answer.is_err():
            return answer.map_err(_get_text)
        self._refute(heard)
        return answer.map(self._read_listing)

    def renew(self, until_ms):
        answer = self._hold(self._orders, self._listed, until_ms=until_ms)
        if answer.is_ok():
            self._until_ms = max(self._until_ms, until_ms)
        return answer.map(lambda _: None).map_err(_get_text)

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
        answer = self._orders.order('/portwharf/run-start', body)
        if answer.is_err():
            return answer.map_err(_get_text)
        reply = answer.ok_value
        if reply.status == _OK:
            self._until_ms = max(self._until_ms, start.lease_until_ms)
            return result.Ok('')
        if reply.status == _CONFLICT:
            reason = reply.value.get('reason', '')
            return result.Ok(_REASONS.get(reason, f'runner: {reason}'))
        if reply.status in _NOT_BEGUN:
            return result.Ok(f'runner: HTTP status {reply.status}')
        # Whatever this is, it does not say that nothing has begun.
        return result.Err(f'runner: HTTP status {reply.status}')

    def stop(self, task, attempt, checkpoint):
        body = {'task': task, 'run': attempt}
        return self._demand('/portwharf/run-stop', body)

    def throttle(self, task, attempt, percent):
        body = {'task': task, 'run': attempt, 'percent': percent}
        return self._demand('/portwharf/pace', body)

    def forget(self, task, attempt):
        with self._lock:
            self._ends.forget(task, attempt)
        self._changed.set()
        return result.Ok(None)

    def _reach(self, way):
        """Have a line be to a known life; Ok(data.LifeId), or Err(NoReply).

        :param way: the ``line.Line``
        """
        return way.reach(self._lives.list_instances())

    def _settle(self, life):
        """Take a life that has answered for the one in use.

        What attempts were started with stays: the owner has told it once,
        maybe before the runner was first heard.

        :returns: Ok(None)
        """
        with self._lock:
            if not self._lives.settle(life):
                return result.Ok(None)
            acked, self._ends = self._ends.acked, ends.Ends()
            self._until_ms = 0
        self._fence.rise()
        extra = logs.fields(
            life=life.instance, born_ms=life.born_ms, acked=acked
        )
        LOG.info('the runner is another life', extra=extra)
        return result.Ok(None)

    def _refute(self, heard):
        """Drop a life that was heard before the one in use has answered."""
        if heard is None or heard.id == self._lives.current.id:
            return
        with self._lock:
            self._lives.refute(heard)
        extra = logs.fields(life=heard.id.instance, born_ms=heard.id.born_ms)
        LOG.warning('late heartbeat of a former life', extra=extra)

    def _check_start(self, life):
        """Return why nothing may be started, or ''.

        The time and the room that a start goes by are those of one life,
        which need not be the one in use: the agent may still go by the list
        before the last.
        """
        refused = self._lives.check_start()
        if refused:
            return refused
        reached = self._reach(self._orders)
        if reached.is_err():
            return workers.REFUSED_UNREACHED
        if reached.ok_value != life:
            return workers.REFUSED_UNHEARD
        return ''

    def _demand(self, path, body):
        """Send an order that is either carried out or fails."""
        answer = self._order(self._orders, self._listed, path, body)
        if answer.is_ok() and answer.ok_value.status != _OK:
            status = answer.ok_value.status
            return result.Err(f'runner: HTTP status {status}')
        return answer.map(lambda _: None).map_err(_get_text)

    def _order(self, way, life, path, body, seconds=line.CALL_SECONDS):
        """Send an order to one life, and to no other.

        :param life: the ``data.LifeId`` that it means something to
        :returns: Ok(http.Reply), or Err(http.NoReply)
        """
        reached = self._reach(way)
        if reached.is_err():
            return reached
        if reached.ok_value != life:
            self._notify()
            return result.Err(http.NoReply('another life is there'))
        return way.order(path, body, seconds)

    def _hold(self, way, life, until_ms=0, wait_ms=0):
        """Look at a life of the runner, renewing leases if a time is given.

        :returns: Ok(value of the answer), or Err(http.NoReply)
        """
        with self._lock:
            known = self._ends
            if life != self._lives.current.id:
                return result.Err(http.NoReply('another life is there'))
        body = {'ackedUpto': known.acked}
        if until_ms:
            body['untilMs'] = until_ms
        if wait_ms:
            body['waitMs'] = wait_ms
        seconds = line.CALL_SECONDS + wait_ms / _MS
        answer = self._order(way, life, line.HOLD, body, seconds)
        if answer.is_err():
            return answer
        if answer.ok_value.status != _OK:
            status = answer.ok_value.status
            return result.Err(http.NoReply(f'HTTP status {status}'))
        value = answer.ok_value.value
        try:
            lists.check_lists(value)
        except (ValueError, AttributeError) as exc:
            metrics.UNREADABLE.labels('list').inc()
            return result.Err(http.NoReply(f'no list of runs: {exc}'))
        if life.instance:
            # Before a life is known nobody can tell whose the numbers are.
            with self._lock:
                known.take_rows(value['ended'])
        return result.Ok(value)

    def _read_listing(self, value):
        """Return an answer to ``hold`` as a ``workers.Listing``."""
        life = self._lives.current
        self._listed = life.id
        now_ms = value['clockMs']
        self._starts.use((row[0], row[1]) for row in value['running'])
        running = [self._read_running(row, now_ms) for row in value['running']]
        ended = [
            _read_ended(row)
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
        )

    def _read_running(self, row, now_ms):
        task, run, saved, percent, *figures = row
        figure = figures[0] if figures else 0
        start = self._starts.get((task, run)) or workers.Start()
        # A lease that a former life of this side gave is not known here.
        until = self._until_ms or now_ms + self._max_hold_ms
        return workers.Attempt(
            task,
            run,
            data.RunState.RUNNING,
            saved,
            kind=start.kind,
            workload=start.workload,
            lease_until_ms=until,
            resources=start.resources,
            used_cpu_milli=figure,
            percent=percent,
            tail_ms=figure,
        )

    def _notify(self):
        if self._on_change is not None:
            self._on_change()

    def _watch(self):
        """Have the runner tell when something ends."""
        while not self._stop.is_set():
            self._changed.clear()
            known = self._ends
            answer = self._hold(
                self._waits,
                self._lives.current.id,
                wait_ms=int(WAIT_SECONDS * _MS),
            )
            if answer.is_err():
                self._stop.wait(_RETRY_SECONDS)
                continue
            if known.note_latest(answer.ok_value['ended']):
                self._notify()
            if known.some_listed:
                self._changed.wait(_PAUSE_SECONDS)
        self._waits.close()


def _get_text(lost):
    return lost.text


def _read_ended(row):
    number, task, run, how, saved = row
    state = _ENDS.get(how, data.RunState.GONE)
    if state == data.RunState.CHECKPOINTED and not saved:
        state = data.RunState.GONE
    return workers.Attempt(task, run, state, saved, reason=how)
