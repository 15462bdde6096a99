# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Clients of the soak test, with persistent connections.

Each client submits jobs of several shapes, retries under the same id while
the outcome is unknown, cancels some jobs, and queries job states. It records
the answers for the checks.
"""

import dataclasses
import http.client
import json
import random
import threading
import time

from portwharf.testing import soak_world

_REQUEST_TIMEOUT_SECONDS = 3.0
_MAX_ATTEMPTS = 6
_READY_TIMEOUT_SECONDS = 40.0
_MAX_RETRY_DELAY_SECONDS = 1.0
# One accepted job in so many is cancelled. A job's shape is a random number
# below this: 1 is a gang, 2 runs until it is stopped, 3 fails for good.
_SHAPES = 12
# From this number on shapes are ordinary; of those jobs one in so many
# crashes its runners.
_FIRST_ORDINARY_SHAPE = 4
_JOBS_PER_CRASHER = 10
NO_ROOM_STATUS = 429
REFUSAL_STATUSES = (NO_ROOM_STATUS, 503)


@dataclasses.dataclass(slots=True)
class Reply:
    """The reply to one submission of a job.

    :param status: its HTTP status; 0 without a complete answer
    :param sent: when the submission was sent
    :param received: when the reply was complete, or given up
    :param retry_after: the value of its ``Retry-After``, or None
    """

    status: int = 0
    sent: float = 0.0
    received: float = 0.0
    retry_after: str = None


@dataclasses.dataclass(slots=True)
class ClientJob:
    """A job as one client sees it: what was submitted, and the answers.

    :param hopeless: the job fails on every attempt
    :param crashes: one of its tasks crashes the runners that start it
    :param statuses: HTTP status of each attempt to submit it; 0 without a
        complete answer
    :param replies: the :class:`Reply` to each of these attempts
    :param accepted: when its acceptance was received, or None
    :param cancelled: when its cancellation was confirmed, or None
    :param cancel_sent: a cancellation was sent
    :param states: the states returned by queries, in order
    """

    id: str = ''
    spec: str = ''
    steps: list = dataclasses.field(default_factory=list)
    hopeless: bool = False
    crashes: bool = False
    statuses: list = dataclasses.field(default_factory=list)
    replies: list = dataclasses.field(default_factory=list)
    accepted: float = None
    cancelled: float = None
    cancel_sent: bool = False
    states: list = dataclasses.field(default_factory=list)


class Client(threading.Thread):
    """One client, with a persistent connection to each entry."""

    def __init__(self, world, seed, crashers=False):
        """Take a ``soak_world.World`` and a seed.

        :param crashers: some of its jobs crash the runners that start them
        """
        super().__init__(name=f'client-{seed}', daemon=True)
        self._world = world
        self._random = random.Random(seed)
        # A separate generator, so that known seeds keep their jobs.
        self._crasher_random = random.Random(-1 - seed) if crashers else None
        self._connections = {}
        self._stop_event = threading.Event()
        self.jobs = []
        self.problems = []

    def stop(self):
        """Submit no further jobs."""
        self._stop_event.set()

    def run(self):
        while not self._stop_event.wait(self._random.uniform(0.2, 0.8)):
            job = self._make_job()
            self.jobs.append(job)
            self.submit(job)
            if job.accepted and self._random.randrange(_SHAPES) == 0:
                self.cancel(job)
            if self.jobs and self._random.random() < 0.5:
                self.query_state(self._random.choice(self.jobs))

    def query_state(self, job):
        """Query a job's state; returns the HTTP status and the state."""
        status, value = self._request('GET', soak_world.PREFIX + job.id)
        if status == 200:
            job.states.append(value.get('state', ''))
        if status == 410 and job.accepted:
            self.problems.append(f'{job.id}: unknown after it was accepted')
        return status, value.get('state', '')

    def cancel(self, job):
        """Cancel a job; retries until this is confirmed or attempts end."""
        job.cancel_sent = True
        for _ in range(_MAX_ATTEMPTS):
            status, _ = self._request('DELETE', soak_world.PREFIX + job.id)
            if status in (200, 410):
                job.cancelled = time.monotonic()
                return
            time.sleep(0.3)

    def query_queue(self, prefix):
        """Query a queue on every entry; returns the list of HTTP statuses."""
        return [
            self._request('GET', prefix, entry)[0]
            for entry in self._world.entries
        ]

    def submit(self, job):
        """Submit a job; retries until it is accepted or attempts end."""
        for _ in range(_MAX_ATTEMPTS):
            if self.send(job).status == 200:
                return
            time.sleep(self._random.uniform(0.1, _MAX_RETRY_DELAY_SECONDS))

    def send(self, job, entry=None):
        """Submit a job once and record the reply.

        :param entry: the entry to send it to, or None for a random one
        :returns: the :class:`Reply`
        """
        body = {'spec': job.spec, 'steps': job.steps}
        path = soak_world.PREFIX + job.id
        reply = Reply(sent=time.monotonic())
        reply.status, value, reply.retry_after = self._exchange(
            'POST', path, entry, body
        )
        reply.received = time.monotonic()
        job.statuses.append(reply.status)
        job.replies.append(reply)
        if reply.status == 200:
            job.accepted = job.accepted or reply.received
        if reply.status in REFUSAL_STATUSES and 'error' not in value:
            self.problems.append(f'{job.id}: refusal without an error text')
        return reply

    def wait_until_served(self):
        """Wait until every entry serves requests.

        This takes until all processes have started and an owner is elected.

        :returns: whether all entries served requests in time
        """

        def is_served():
            statuses = self.query_queue(soak_world.PREFIX)
            return all(status == 200 for status in statuses)

        return soak_world.wait_until(is_served, _READY_TIMEOUT_SECONDS)

    def _request(self, method, path, entry=None):
        """Send one request without a body.

        :returns: the HTTP status and the decoded answer
        """
        status, value, _ = self._exchange(method, path, entry)
        return status, value

    def _exchange(self, method, path, entry=None, body=None):
        """Send one request on a persistent connection.

        :returns: the HTTP status, the decoded answer, and the value of
            ``Retry-After`` or None; 0 and an empty map without a complete
            answer
        """
        entry = entry or self._random.choice(self._world.entries)
        conn = self._connections.get(entry.name)
        # An answer that asks for it has closed the connection.
        is_new = conn is None or conn.sock is None
        was_stopping = entry.stopping
        sent_at = time.monotonic()
        if conn is None:
            endpoint = self._world.find_client_place(entry)
            conn = http.client.HTTPConnection(
                *endpoint, timeout=_REQUEST_TIMEOUT_SECONDS
            )
            self._connections[entry.name] = conn
        headers = {
            'Host': soak_world.HOST,
            'Content-Type': 'application/json',
            'Portwharf-Deadline-Ms': str(int(_REQUEST_TIMEOUT_SECONDS * 1000)),
        }
        encoded = json.dumps(body) if body is not None else None
        try:
            conn.request(method, path, encoded, headers)
            response = conn.getresponse()
            value = json.loads(response.read() or b'{}')
            return response.status, value, response.getheader('Retry-After')
        except (OSError, http.client.HTTPException) as exc:
            # The entry is down, or closed the connection.
            conn.close()
            del self._connections[entry.name]
            was_accepted = is_new and not isinstance(
                exc, ConnectionRefusedError
            )
            # A request that waited while its entry was paused is not counted.
            was_paused = sent_at <= entry.resumed_at
            is_cut = was_accepted and not was_paused
            if is_cut and (was_stopping or entry.stopping):
                self.problems.append(
                    f'{method} {path}: cut by {entry.name}, which stops: '
                    f'{exc!r}'
                )
            return 0, {}, None
        except ValueError as exc:
            self.problems.append(f'{method} {path}: answer is not JSON: {exc}')
            return 0, {}, None

    def _make_job(self):
        """Return a job of a random shape with a new id."""
        rnd = self._random
        shape = rnd.randrange(_SHAPES)
        steps, step_specs = [], []
        for number in range(rnd.randint(1, 3)):
            step_spec = {
                'ms': rnd.randint(50, 1500),
                'cpu': rnd.choice((200, 500, 1000)),
                'memory': rnd.choice((100, 500)),
                'saves': rnd.random() < 0.5,
                'fails': rnd.choice((0, 0, 0, 0, 1)),
            }
            step = {
                'count': rnd.randint(1, 4),
                'cpu': step_spec['cpu'],
                'memMb': step_spec['memory'],
                'estimateMs': step_spec['ms'],
                'checkpoints': step_spec['saves'],
                'gang': shape == 1,
                'longRunning': shape == 2,
            }
            if number and shape != 2:
                step['watchRev'] = [number - 1]
            if shape == 3:
                step_spec['fails'] = 99
            step_spec['lasts'] = step['longRunning']
            steps.append(step)
            step_specs.append(step_spec)
        crashes = self._is_crasher(shape)
        step_specs[0]['crashes'] = crashes
        job_id = f'{rnd.getrandbits(64):016x}'
        spec = json.dumps({'id': job_id, 'steps': step_specs})
        return ClientJob(job_id, spec, steps, shape == 3, crashes)

    def _is_crasher(self, shape):
        """Return whether a job crashes its runners; only ordinary ones do."""
        if self._crasher_random is None or shape < _FIRST_ORDINARY_SHAPE:
            return False
        return self._crasher_random.randrange(_JOBS_PER_CRASHER) == 0
