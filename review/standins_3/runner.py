"""A stand-in for a runner of the users' platform, by PROTOCOL.md.

It guards its capacity, keeps the highest fencing token, kills everything
when the lease is over, and lists ended runs until they are acknowledged. A
task works for the time that its spec names, ``work=SECONDS``; a lasting one
(``work=0``) until it is stopped. ``fail=1`` lets it end ``failed``.
"""

import http.client
import json
import random
import threading
import time

from standins_3 import http_server

BEAT_SECONDS = 1.1
STOP_SECONDS = 0.1
LISTED_ENDS = 500


class Run:
    """One run of a task."""

    def __init__(self, task, number, spec, size, saved):
        self.task = task
        self.number = number
        self.size = size
        self.saved = saved
        self.began = time.monotonic()
        fields = dict(
            part.split('=', 1) for part in spec.split() if '=' in part
        )
        self.work = float(fields.get('work', '1'))
        self.fails = fields.get('fail') == '1'
        # The tail of a task that serves, and the cpu that one that fills
        # uses, by the spec.
        self.serves_ms = float(fields.get('tail', '0'))
        self.uses = int(fields.get('uses', '0'))
        self.stop_at = None


class Runner:
    """One runner on a machine; its incarnations follow one another."""

    def __init__(self, name, place, control, service, labels, sizes, record):
        """Set up the runner.

        :param place: (address, port) at which it accepts orders
        :param control: (address, port) that takes its heartbeats
        :param sizes: function of a task's name that returns its
            (cpu, memMb), as the client sent them
        :param record: function of a text that is written to the record
        """
        self.name = name
        self.capacity = {'cpu': 8000, 'memMb': 16000, 'gpu': 0}
        self.labels = labels
        self.max_hold_ms = 6000
        self.grey = False
        self._place = place
        self._control = control
        self._service = service
        self._sizes = sizes
        self._record = record
        self._lock = threading.Condition()
        self._lives = 0
        self._server = None
        self._stop = threading.Event()
        self.up = False
        # Runs that ended ``failed``, in all incarnations.
        self.failed_ends = []
        self._begin_life()
        self._server = http_server.Server(*place, self._handle)
        self.up = True
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._work, daemon=True).start()

    def _begin_life(self):
        self._lives += 1
        self.id = f'i-{self.name}-{self._lives}'
        self.seq = 0
        self.fence = 0
        self.running = {}
        self.ended = []
        self.over = {}
        self.numbers = 0
        self.until_ms = 0
        self.clock_zero = time.monotonic() - 100.0 * self._lives

    def crash(self):
        """The process is gone, with all that it ran."""
        with self._lock:
            lost = sorted(self.running)
            self.up = False
            self.running = {}
            self._lock.notify_all()
        self._server.close()
        self._record(f'{self.id} crashed; it ran {lost}')

    def restart(self):
        """A new incarnation at the same address."""
        with self._lock:
            self._begin_life()
        self._server.listen()
        self.up = True
        self._record(f'{self.id} begins')

    def close(self):
        self._stop.set()
        self._server.close()

    def read_ms(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    def list_running(self):
        """Return {task: (run, seconds since its start)}."""
        now = time.monotonic()
        with self._lock:
            return {
                t: (r.number, now - r.began) for t, r in self.running.items()
            }

    def _handle(self, request):
        if not self.up:
            return None
        if request.method == 'GET':
            return 200, {}
        target = request.headers.get('portwharf-target-instance', self.id)
        body = json.loads(request.body or b'{}')
        order = request.path.removeprefix('/portwharf/')
        with self._lock:
            if target != self.id:
                return 421, {}
            if body.get('fence', 0) < self.fence:
                return 409, {'clockMs': self.read_ms(), 'reason': 'fence'}
            self.fence = body.get('fence', 0)
            until = min(
                body.get('untilMs', 0), self.read_ms() + self.max_hold_ms
            )
            self.until_ms = max(self.until_ms, until)
            method = {
                'run-start': self._start,
                'run-stop': self._stop_run,
                'hold': self._hold,
                'pace': lambda body: (200, {}),
            }.get(order)
            if method is None:
                return 404, {}
            status, value = method(body)
            if not self.up:
                return None
            value['clockMs'] = self.read_ms()
            return status, value

    def _start(self, body):
        task, number = body['task'], body['run']
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, {}
        if number <= self.over.get(task, 0) or known is not None:
            return 409, {'reason': 'old'}
        if body['untilMs'] <= self.read_ms():
            return 409, {'reason': 'late'}
        cpu, memory = self._sizes(task)
        used = [run.size for run in self.running.values()]
        if (
            sum(c for c, _ in used) + cpu > self.capacity['cpu']
            or sum(m for _, m in used) + memory > self.capacity['memMb']
        ):
            self._record(f'{self.id} has no room for {task} run {number}')
            return 409, {'reason': 'room'}
        run = Run(task, number, body['spec'], (cpu, memory), body.get('saved'))
        self.running[task] = run
        self._record(f'{self.id} starts {task} run {number}')
        if self.grey:
            self._end(run, 'failed')
        return 200, {}

    def _stop_run(self, body):
        task, number = body['task'], body['run']
        self.over[task] = max(number, self.over.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number == number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_SECONDS
            self._lock.notify_all()
        return 200, {}

    def _hold(self, body):
        acked = body.get('ackedUpto', 0)
        for row in self.ended:
            if row[0] <= acked:
                self._record(f'{self.id} end {row[0]} of {row[1]} is noted')
        self.ended = [row for row in self.ended if row[0] > acked]
        life, end = self.id, time.monotonic() + body.get('waitMs', 0) / 1000
        known = self.numbers
        while (
            time.monotonic() < end
            and self.numbers == known
            and not self.ended
            and self.id == life
            and self.up
        ):
            self._lock.wait(end - time.monotonic())
        if self.id != life:
            return 421, {}
        now = time.monotonic()
        rows = []
        for run in self.running.values():
            share = (now - run.began) / run.work if run.work else 1.0
            percent = min(99 if run.work else 100, int(100 * share))
            rows.append(
                [run.task, run.number, '', percent, self._measure(run)]
            )
        return 200, {'running': rows, 'ended': self.ended[:LISTED_ENDS]}

    def _measure(self, run):
        """Return the rough figure that a list shows of a run.

        For a task that serves, its tail in ms; else the cpu that it uses.
        """
        if run.serves_ms:
            return max(1, int(run.serves_ms * random.uniform(0.9, 1.1)))
        return run.uses or run.size[0]

    def _end(self, run, how):
        self.running.pop(run.task, None)
        self.over[run.task] = max(run.number, self.over.get(run.task, 0))
        self.numbers += 1
        self.ended.append([self.numbers, run.task, run.number, how, ''])
        if how == 'failed':
            self.failed_ends.append([run.task, run.number])
        self._record(f'{self.id} ends {run.task} run {run.number}: {how}')
        self._lock.notify_all()

    def _work(self):
        while not self._stop.wait(0.01):
            with self._lock:
                if not self.up:
                    continue
                now = time.monotonic()
                lapsed = self.read_ms() > self.until_ms
                for run in list(self.running.values()):
                    if lapsed:
                        self._end(run, 'lapsed')
                    elif run.stop_at is not None and now >= run.stop_at:
                        self._end(run, 'stopped')
                    elif self.grey:
                        self._end(run, 'failed')
                    elif run.work and now - run.began >= run.work:
                        self._end(run, 'failed' if run.fails else 'done')

    def _beat(self):
        wait = 0.05
        while not self._stop.wait(wait):
            if not self.up:
                wait = 0.05
                continue
            with self._lock:
                self.seq += 1
                body = {
                    'service': self._service,
                    'address': '%s:%d' % self._place,
                    'zone': 'zone-0',
                    'version': 'v1',
                    'slots': 8,
                    'state': 'ready',
                    'coldLeftMs': 0,
                    'capacity': self.capacity,
                    'labels': self.labels,
                    'clockMs': self.read_ms(),
                    'seq': self.seq,
                }
                life = self.id
            path = f'/portwharf/instances/{life}/heartbeat'
            sent = post(self._control, path, body)
            wait = BEAT_SECONDS if sent == 200 else 0.2
            if self.id != life:
                wait = 0.0


def post(place, path, body, seconds=1.0):
    """Send one POST; returns the status, or 0 without an answer."""
    conn = http.client.HTTPConnection(*place, timeout=seconds)
    try:
        conn.request(
            'POST',
            path,
            json.dumps(body),
            {'Content-Type': 'application/json'},
        )
        answer = conn.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()
