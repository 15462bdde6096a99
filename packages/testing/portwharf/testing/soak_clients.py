# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Clients of the soak: they keep connections open and note what they hear.

Each client submits jobs of several shapes, asks again under the same id
while it does not know the outcome, cancels some, and asks for states. What
it was told is written down for the checks.
"""

import dataclasses
import http.client
import json
import random
import threading
import time

from portwharf.testing import soak_world

_CALL_SECONDS = 3.0
_TRIES = 6
_READY_SECONDS = 40.0
_MAX_RETRY_SECONDS = 1.0
# One job in so many is cancelled, fails for good, lasts, or is a gang.
_SPECIAL = 12
# Below this it is one of these; of the others one in so many crashes runners.
_OTHERWISE_SPECIAL = 4
_CRASHERS = 10
_REFUSED = (429, 503)


@dataclasses.dataclass(slots=True)
class Told:
    """What a client was told of one job.

    :param statuses: of each attempt to hand it in; 0 for no whole answer
    :param accepted: when its acceptance was heard, or None
    :param cancelled: when its cancelling was heard, or None
    :param cancel_sent: its cancelling was asked for
    :param crashes: one of its tasks crashes the runners that start it
    :param states: the states that were shown, in order
    """

    id: str = ''
    spec: str = ''
    steps: list = dataclasses.field(default_factory=list)
    hopeless: bool = False
    crashes: bool = False
    statuses: list = dataclasses.field(default_factory=list)
    accepted: float = None
    cancelled: float = None
    cancel_sent: bool = False
    states: list = dataclasses.field(default_factory=list)


class Client(threading.Thread):
    """One client, with a connection to each entry."""

    def __init__(self, world, seed, crashers=False):
        """Take a ``soak_world.World`` and a seed.

        :param crashers: some of its jobs crash the runners that start them
        """
        super().__init__(name=f'client-{seed}', daemon=True)
        self._world = world
        self._random = random.Random(seed)
        # Drawn apart, so that known seeds keep their jobs.
        self._crashers = random.Random(-1 - seed) if crashers else None
        self._conns = {}
        self._stop_asked = threading.Event()
        self.told = []
        self.problems = []

    def stop(self):
        """Hand in nothing more."""
        self._stop_asked.set()

    def run(self):
        while not self._stop_asked.wait(self._random.uniform(0.2, 0.8)):
            told = self._make_job()
            self.told.append(told)
            self.submit(told)
            if told.accepted and self._random.randrange(_SPECIAL) == 0:
                self.cancel(told)
            if self.told and self._random.random() < 0.5:
                self.show(self._random.choice(self.told))

    def show(self, told):
        """Ask for a job's state; returns the status and state."""
        status, value = self._ask('GET', soak_world.PREFIX + told.id)
        if status == 200:
            told.states.append(value.get('state', ''))
        if status == 410 and told.accepted:
            self.problems.append(f'{told.id}: accepted, and then unknown')
        return status, value.get('state', '')

    def cancel(self, told):
        """Cancel a job, until that is acknowledged or given up."""
        told.cancel_sent = True
        for _ in range(_TRIES):
            status, _ = self._ask('DELETE', soak_world.PREFIX + told.id)
            if status in (200, 410):
                told.cancelled = time.monotonic()
                return
            time.sleep(0.3)

    def ask_route(self, prefix):
        """Ask every entry for the count of a queue; returns statuses."""
        return [
            self._ask('GET', prefix, entry)[0] for entry in self._world.entries
        ]

    def submit(self, told):
        """Hand a job in, again while its outcome is not known."""
        body = {'spec': told.spec, 'steps': told.steps}
        path = soak_world.PREFIX + told.id
        for _ in range(_TRIES):
            status, value = self._ask('POST', path, body=body)
            told.statuses.append(status)
            if status == 200:
                told.accepted = time.monotonic()
                return
            if status in _REFUSED and 'error' not in value:
                self.problems.append(f'{told.id}: a refusal says nothing')
            time.sleep(self._random.uniform(0.1, _MAX_RETRY_SECONDS))

    def wait_until_served(self):
        """Wait until every entry answers; returns whether it came to that.

        All processes have to start and an owner to be found first.
        """

        def is_served():
            statuses = self.ask_route(soak_world.PREFIX)
            return all(status == 200 for status in statuses)

        return soak_world.wait_until(is_served, _READY_SECONDS)

    def _ask(self, method, path, entry=None, body=None):
        """Make one call on a connection that stays open.

        :returns: the status and the answer's value; 0 for no whole answer
        """
        entry = entry or self._random.choice(self._world.entries)
        conn = self._conns.get(entry.name)
        if conn is None:
            place = self._world.find_client_place(entry)
            conn = http.client.HTTPConnection(*place, timeout=_CALL_SECONDS)
            self._conns[entry.name] = conn
        headers = {
            'Host': soak_world.HOST,
            'Content-Type': 'application/json',
            'Portwharf-Deadline-Ms': str(int(_CALL_SECONDS * 1000)),
        }
        raw = json.dumps(body) if body is not None else None
        try:
            conn.request(method, path, raw, headers)
            answer = conn.getresponse()
            return answer.status, json.loads(answer.read() or b'{}')
        except (OSError, http.client.HTTPException):
            # The entry is down, or has cut the connection.
            conn.close()
            del self._conns[entry.name]
            return 0, {}
        except ValueError as exc:
            self.problems.append(f'{method} {path}: garbled answer: {exc}')
            return 0, {}

    def _make_job(self):
        """Return a job of some shape, under an id of its own."""
        rnd = self._random
        special = rnd.randrange(_SPECIAL)
        rows, works = [], []
        for number in range(rnd.randint(1, 3)):
            work = {
                'ms': rnd.randint(50, 1500),
                'cpu': rnd.choice((200, 500, 1000)),
                'memory': rnd.choice((100, 500)),
                'saves': rnd.random() < 0.5,
                'fails': rnd.choice((0, 0, 0, 0, 1)),
            }
            row = {
                'count': rnd.randint(1, 4),
                'cpu': work['cpu'],
                'memMb': work['memory'],
                'estimateMs': work['ms'],
                'checkpoints': work['saves'],
                'gang': special == 1,
                'longRunning': special == 2,
            }
            if number and special != 2:
                row['watchRev'] = [number - 1]
            if special == 3:
                work['fails'] = 99
            work['lasts'] = row['longRunning']
            rows.append(row)
            works.append(work)
        crashes = self._draw_crasher(special)
        works[0]['crashes'] = crashes
        job_id = f'{rnd.getrandbits(64):016x}'
        spec = json.dumps({'id': job_id, 'steps': works})
        return Told(job_id, spec, rows, special == 3, crashes)

    def _draw_crasher(self, special):
        """Tell whether a job, if nothing else is special, is a crasher."""
        if self._crashers is None or special < _OTHERWISE_SPECIAL:
            return False
        return self._crashers.randrange(_CRASHERS) == 0
