# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The runner beside a side as portwharf's own ``workers.Worker``.

A runner lists what runs, and what has ended under rising numbers until it
is told up to which number the ends may go. Both come with every answer to
a ``hold``, which also renews leases. What a runner can hold and which life
of it this is come with its heartbeats.

On the wire an attempt is called a run; a listed run is a row of task, run,
checkpoint, percent and a figure: of a task with a target the tail of its
answers in ms, of any other the processors that it uses.
"""

import dataclasses
import logging
import threading

import result

from portwharf.core import data
from portwharf.core import logs
from portwharf.core import recent
from portwharf.platform import http
from portwharf import workers

LOG = logging.getLogger(__name__)

# A runner answers within a millisecond; one that leaves an order
# unanswered must not hold up the others for long.
CALL_SECONDS = 0.4
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


@dataclasses.dataclass(slots=True)
class _Held:
    """An answer to ``hold``.

    :param life: the ``workers.Life`` that answered
    """

    life: workers.Life = None
    value: dict = dataclasses.field(default_factory=dict)


class RunnerWorker(workers.Worker):
    """A client of the runner; a context manager that closes it."""

    def __init__(self, endpoint, read_token, max_hold_ms):
        """Take the runner's ``settings.Endpoint``.

        :param read_token: gives the fencing token of this side, 0 if it
            has none yet
        :param max_hold_ms: the longest lease that the runner gives
        """
        self._client = http.Client(endpoint)
        self._read_token = read_token
        self._max_hold_ms = max_hold_ms
        self._lock = threading.Lock()
        self._lives = workers.Lives()
        # Ended attempts that are still listed, by number, and which of
        # them may go.
        self._ended = {}
        self._logged = set()
        self._acked = 0
        self._seen = 0
        self._born_ms = None
        self._until_ms = 0
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
        self._client.__exit__(*exc_info)

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
        answer = self._settle_life()
        if answer.is_ok():
            answer = self._hold()
        if answer.is_ok():
            return answer.map(self._read_listing)
        if answer.err_value.refused:
            # The runner's process is gone, and what it ran with it.
            return result.Ok(workers.Listing(absent=True))
        return result.Err(answer.err_value.text)

    def renew(self, until_ms):
        answer = self._hold(until_ms=until_ms)
        if answer.is_ok():
            self._until_ms = max(self._until_ms, until_ms)
        return answer.map(lambda _: None).map_err(_get_text)

    def start(self, start):
        refused = self._lives.check_start()
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
        answer = self._order('/portwharf/run-start', body)
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
            self._logged.add((task, attempt))
            self._move_ack()
        self._changed.set()
        return result.Ok(None)

    def _move_ack(self):
        """Raise the number up to which all listed ends may go."""
        for number in sorted(self._ended):
            if self._ended[number] not in self._logged:
                return
            self._logged.discard(self._ended.pop(number))
            self._acked = number

    def _forget_life(self):
        """Forget numbers and leases, which belong to one life.

        What attempts were started with stays: the owner has told it once,
        maybe before the runner was first heard.
        """
        self._ended.clear()
        self._logged.clear()
        self._acked = 0
        self._seen = 0
        self._until_ms = 0

    def _settle_life(self):
        """Ask the runner whether it is a life that a heartbeat told of.

        Without a clear answer the life in use stays for now, and the next
        look asks again: a runner that does not answer to the new id does
        not answer to the former one either, and counts as silent.

        :returns: Ok(None), or Err(http.NoReply)
        """
        candidate = self._lives.candidate
        if candidate is None:
            return result.Ok(None)
        answer = self._order(
            '/portwharf/hold', {'ackedUpto': 0}, life=candidate
        )
        if answer.is_err():
            return answer
        with self._lock:
            if answer.ok_value.status == _OK:
                LOG.info('the runner is %s', candidate.instance)
                self._lives.confirm(candidate.instance)
                self._forget_life()
            elif answer.ok_value.status == _OTHER_LIFE:
                LOG.warning('late heartbeat of %s', candidate.instance)
                self._lives.refute(candidate.instance)
        return result.Ok(None)

    def _order(self, path, body, seconds=CALL_SECONDS, life=None):
        """Send an order to a life of the runner.

        :param life: which one it is meant for; None for the one in use
        :returns: Ok(http.Reply), or Err(http.NoReply)
        """
        meant = life or self._lives.current
        token = self._read_token()
        if not token:
            return result.Err(http.NoReply('no fencing token yet'))
        headers = {}
        if meant.instance:
            headers['Portwharf-Target-Instance'] = meant.instance
        body['fence'] = token
        return self._client.call('POST', path, seconds, body, headers)

    def _demand(self, path, body):
        """Send an order that is either carried out or fails."""
        answer = self._order(path, body)
        if answer.is_ok() and answer.ok_value.status != _OK:
            status = answer.ok_value.status
            return result.Err(f'runner: HTTP status {status}')
        return answer.map(lambda _: None).map_err(_get_text)

    def _hold(self, until_ms=0, wait_ms=0):
        """Look at the runner, renewing leases if a time is given.

        :returns: Ok(_Held), or Err(http.NoReply)
        """
        with self._lock:
            life, acked = self._lives.current, self._acked
        body = {'ackedUpto': acked}
        if until_ms:
            body['untilMs'] = until_ms
        if wait_ms:
            body['waitMs'] = wait_ms
        seconds = CALL_SECONDS + wait_ms / _MS
        answer = self._order('/portwharf/hold', body, seconds, life)
        if answer.is_err():
            return answer
        if answer.ok_value.status != _OK:
            status = answer.ok_value.status
            return result.Err(http.NoReply(f'HTTP status {status}'))
        held = _Held(life, answer.ok_value.value)
        self._note_birth(held)
        self._note_ended(held)
        return result.Ok(held)

    def _note_birth(self, held):
        """Tell when the runner began that answers, if that is news."""
        born_ms = held.value.get('born')
        if born_ms == self._born_ms:
            return
        extra = logs.fields(
            life=held.life.instance, born_ms=born_ms, acked=self._acked
        )
        LOG.info('an answer of another birth', extra=extra)
        self._born_ms = born_ms

    def _note_ended(self, held):
        """Take what an answer lists as ended."""
        with self._lock:
            if not self._is_current(held):
                return
            for number, task, run, *_ in held.value['ended']:
                if number > self._acked:
                    self._ended[number] = (task, run)
            # A number may have been passed that was logged before it was
            # seen.
            self._move_ack()

    def _note_latest(self, held):
        """Tell whether an answer lists an end that was not seen before."""
        rows = held.value['ended']
        latest = max((row[0] for row in rows), default=0)
        with self._lock:
            if not self._is_current(held) or latest <= self._seen:
                return False
            self._seen = latest
            return True

    def _is_current(self, held):
        """Tell whether an answer's numbers of ends count.

        They do in one life alone, and an answer may be overtaken by the
        next one's beginning. Before a life is known nobody can tell whose
        they are.
        """
        current = self._lives.current.instance
        return bool(current) and current == held.life.instance

    def _read_listing(self, held):
        """Return an answer to ``hold`` as a ``workers.Listing``."""
        value = held.value
        life = self._lives.current
        now_ms = value['clockMs']
        self._starts.use((row[0], row[1]) for row in value['running'])
        running = [self._read_running(row, now_ms) for row in value['running']]
        ended = [
            _read_ended(row) for row in value['ended'] if row[0] > self._acked
        ]
        return workers.Listing(
            now_ms,
            life.capacity,
            running + ended,
            life.pool,
            life.labels,
            life.draining,
            life.leaves_in_ms,
            life=life.instance,
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
            answer = self._hold(wait_ms=int(WAIT_SECONDS * _MS))
            if answer.is_err():
                self._stop.wait(_RETRY_SECONDS)
                continue
            if self._note_latest(answer.ok_value):
                self._notify()
            if self._ended:
                self._changed.wait(_PAUSE_SECONDS)


def _get_text(lost):
    return lost.text


def _read_ended(row):
    number, task, run, how, saved = row
    state = _ENDS.get(how, data.RunState.GONE)
    if state == data.RunState.CHECKPOINTED and not saved:
        state = data.RunState.GONE
    return workers.Attempt(task, run, state, saved, reason=how)
