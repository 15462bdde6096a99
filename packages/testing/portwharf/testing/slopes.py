# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""``make slopes``: what one more of each thing costs.

Runs the Kinh Sang deployment on loopback and reads processor time and
memory of its processes from the kernel; sizes of messages and of state are
measured in this process. ``docs/CAPACITY.md`` works from these numbers.
Exit code 1 if a bound that the users set is exceeded.
"""

import base64
import concurrent.futures
import dataclasses
import json
import os
import pathlib
import statistics
import sys
import tempfile
import time
import tracemalloc

import msgpack

from portwharf.core import codec
from portwharf.core import data
from portwharf.core import ids
from portwharf import operators
from portwharf.peers import messages
from portwharf.scheduler import events
from portwharf.scheduler import state
from portwharf.testing import fixtures
from portwharf.testing import launcher
from portwharf.v1 import callers_pb
from portwharf.v1 import operators_pb as pb

IDLE_SECONDS = 15
STARTS = 600
REQUESTS = 3000
TASKS = 10_000
# About what a worker runs at the letter's size.
RUNNING_A_VM = 20
MAX_SIDE_MB = 45
MAX_ENTRY_MB = 60
MAX_START_MS = 3.0
_CALLERS = 8
_TICKS = os.sysconf('SC_CLK_TCK')
_OPERATORS = 'portwharf.v1.OperatorService'


@dataclasses.dataclass(slots=True)
class Slope:
    """One measured number, and the bound on it if there is one."""

    name: str = ''
    value: float = 0.0
    unit: str = ''
    most: float = 0.0

    @property
    def over(self):
        """Whether it exceeds its bound."""
        return bool(self.most) and self.value > self.most


class Meter:
    """Measures a running deployment."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._client = operators.Client(
            [_split(place) for place in deployment.entries]
        )
        self._sides = [
            name for name in deployment.processes if name.startswith('vm-')
        ]
        self._entries = [
            name for name in deployment.processes if name.startswith('entry')
        ]

    def measure(self):
        """Return all slopes that need running processes."""
        self._submit('fit-check', 'KIND_SERVICE', len(self._sides))
        self._wait(lambda: self._count('running') == len(self._sides))
        owner = self._read_owner()
        others = [name for name in self._sides if name != owner]
        slopes = self._measure_idle(owner, others)
        slopes += self._measure_starts(owner, others)
        slopes += self._measure_requests(others)
        slopes += self._measure_configuration()
        slopes += self._measure_running(owner, others, slopes)
        slopes += self._measure_urgent()
        return slopes

    def _measure_idle(self, owner, others):
        spent = self._measure_time(lambda: time.sleep(IDLE_SECONDS))
        share = {name: 100 * s / IDLE_SECONDS for name, s in spent.items()}
        side = statistics.median(share[name] for name in others)
        entry = statistics.median(share[name] for name in self._entries)
        extra = (share[owner] - side) / len(self._sides)
        rss = {name: self._read_rss(name) for name in spent}
        return [
            Slope('side, idle', side, '% of a core', 1.1),
            Slope('owner, idle, per member', extra, '% of a core'),
            Slope('entry, idle', entry, '% of a core', 1.1),
            Slope(
                'side, resident',
                max(rss[name] for name in others),
                'MB',
                MAX_SIDE_MB,
            ),
            Slope('owner, resident', rss[owner], 'MB'),
            Slope(
                'entry, resident',
                max(rss[name] for name in self._entries),
                'MB',
                MAX_ENTRY_MB,
            ),
        ]

    def _measure_starts(self, owner, others):
        def run():
            self._submit('tiny', 'KIND_BATCH', STARTS)
            self._wait(lambda: self._count('succeeded') == STARTS)

        began = time.monotonic()
        spent = self._measure_time(run)
        took = time.monotonic() - began
        side = sum(spent[name] for name in others) / STARTS
        return [
            Slope('starts in a row', STARTS / took, 'a second'),
            Slope(
                'owner, a start and its end',
                1000 * spent[owner] / STARTS,
                'ms',
                MAX_START_MS,
            ),
            Slope('sides, a start and its end', 1000 * side, 'ms'),
        ]

    def _measure_requests(self, others):
        def run():
            with concurrent.futures.ThreadPoolExecutor(_CALLERS) as pool:
                list(pool.map(self._send, range(REQUESTS)))

        spent = self._measure_time(run)
        entries = sum(spent[name] for name in self._entries)
        sides = sum(spent[name] for name in self._sides)
        return [
            Slope('entry, a request', 1000 * entries / REQUESTS, 'ms'),
            Slope('side, a request', 1000 * sides / REQUESTS, 'ms'),
            Slope(
                'both hops, a request',
                1000 * (entries + sides) / REQUESTS,
                'ms',
            ),
        ]

    def _measure_configuration(self):
        """Return how long a change takes to be in force everywhere."""
        text = '[weights]\nevictions = 1.5\n'
        began = time.monotonic()
        req = pb.ProposeConfigRequest(text=text)
        self._call('ProposeConfig', req, pb.ProposeConfigResponse)

        def in_force():
            got = self._call(
                'ConfigStatus',
                pb.ConfigStatusRequest(),
                pb.ConfigStatusResponse,
            )
            return all(one.revision == got.revision for one in got.processes)

        self._wait(in_force, 0.05)
        took = time.monotonic() - began
        return [Slope('configuration in force everywhere', took, 's', 10)]

    def _measure_running(self, owner, others, slopes):
        """Return what a running task costs side and owner."""
        idle = {slope.name: slope.value for slope in slopes}
        count = RUNNING_A_VM * len(self._sides)
        self._submit('long', 'KIND_BATCH', count, b'100000 0.2', 100)
        replicas = len(self._sides)
        self._wait(lambda: self._count('running') == count + replicas)
        spent = self._measure_time(lambda: time.sleep(IDLE_SECONDS))
        share = {name: 100 * s / IDLE_SECONDS for name, s in spent.items()}
        side = statistics.median(share[name] for name in others)
        more = (side - idle['side, idle']) / RUNNING_A_VM
        extra = (share[owner] - side) / len(self._sides)
        extra -= idle['owner, idle, per member']
        return [
            Slope('side, a running task', more, '% of a core'),
            Slope(
                'owner, a running task',
                extra * len(self._sides) / count,
                '% of a core',
            ),
            Slope('owner, resident, then', self._read_rss(owner), 'MB'),
        ]

    def _measure_urgent(self):
        """Return how long urgent work takes to start when all is full."""
        spec = self._deployment.spec['vm']
        size = spec['cpu_milli'] - 1000 - 100 * RUNNING_A_VM
        self._submit('filler', 'KIND_BATCH', 64, b'100000 0.2', size // 2)
        self._wait(lambda: self._count('waiting') > 0)
        began = time.monotonic()
        self._submit('urgent', 'KIND_BATCH', 1, b'1 0.01', size, urgent=True)
        self._wait(lambda: self._find_start(size) > 0, 0.05)
        took = self._find_start(size) - began
        return [Slope('urgent start, all full', took, 's', 5.7)]

    def _find_start(self, size):
        """Return when a task of a size began on any worker, or 0."""
        for number in range(len(self._sides)):
            url = self._deployment.get_url('worker', number) + '/record'
            for row in self._deployment.fetch(url)['spans']:
                if row.get('cpu_milli') == size:
                    return row['start']
        return 0.0

    def _measure_time(self, work):
        """Return the processor seconds of each process during work."""
        names = self._sides + self._entries
        before = {name: self._read_time(name) for name in names}
        work()
        return {name: self._read_time(name) - before[name] for name in names}

    def _read_time(self, name):
        path = f'/proc/{self._deployment.read_pid(name)}/stat'
        fields = pathlib.Path(path).read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS

    def _read_rss(self, name):
        path = f'/proc/{self._deployment.read_pid(name)}/status'
        for line in pathlib.Path(path).read_text().splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        raise RuntimeError(f'{name} has no resident size')

    def _read_owner(self):
        got = self._call(
            'ClusterStatus',
            pb.ClusterStatusRequest(),
            pb.ClusterStatusResponse,
        )
        return got.shards[0].owner

    def _count(self, field):
        listed = self._call(
            'ListWorkloads',
            pb.ListWorkloadsRequest(),
            pb.ListWorkloadsResponse,
        )
        return sum(getattr(one, field) for one in listed.workloads)

    def _submit(
        self,
        name,
        kind,
        count,
        argument=b'1 0.001',
        cpu_milli=1000,
        urgent=False,
    ):
        workload = {
            'name': name,
            'team': 'lens',
            'kind': kind,
            'count': count,
            'program': 'plan',
            'resources': {'cpuMilli': cpu_milli, 'memoryMb': 100},
            'argument': base64.b64encode(argument).decode(),
            'urgent': urgent,
            'checkpointable': True,
        }
        req = pb.CreateWorkloadRequest.from_json(
            json.dumps({'workload': workload})
        )
        self._call('CreateWorkload', req, pb.CreateWorkloadResponse)

    def _send(self, number):
        payload = json.dumps({'bridge_mm': 1, 'nose_mm': number}).encode()
        payload = payload[:-1] + b', "frame_mm": 1, "face_mm": 2}'
        req = callers_pb.CallRequest(
            id=ids.make_id(),
            service='lens/fit-check',
            repeatable=True,
            deadline_ms=20_000,
            payload=payload,
        )
        self._client.call(
            'portwharf.v1.CallerService', 'Call', req, callers_pb.CallResponse
        )

    def _call(self, method, req, answer_class):
        return self._client.call(
            _OPERATORS, method, req, answer_class
        ).unwrap()

    def _wait(self, holds, pause=0.5):
        deadline = time.monotonic() + 120
        while not holds():
            if time.monotonic() > deadline:
                raise RuntimeError('the deployment does not get on')
            time.sleep(pause)


def measure_sizes():
    """Return the sizes of messages and of state."""
    task = f'0-{ids.make_id()}.17'
    size = data.Resources(3000, 4000, 1)
    beat = messages.Heartbeat(10**9, 10**9, 7, size)
    start = messages.StartTask(
        7, task, 1, 2, 'lens/overnight', True, size, 'plan', b'60 0.05'
    )
    report = messages.TaskReport(task, 1, 'succeeded', result=b'1' * 20)
    rows = [
        ('heartbeat', beat),
        ('grant', messages.Grant(10**9, 10**9, 7, True)),
        ('start command', start),
        ('report of one attempt', messages.Reports(reports=[report])),
        ('side state to an entry', messages.SideState(['lens/fit'], slots=8)),
    ]
    slopes = [
        Slope(name, len(_frame(message)), 'bytes') for name, message in rows
    ]
    placed = [
        events.TaskPlaced(task, 1, 'vm-00'),
        events.DecisionMade(_make_decision(task)),
        events.TaskEnded(task, 1, 'succeeded', b'1' * 20),
    ]
    raw = msgpack.packb(events.write_events(placed))
    slopes.append(Slope('log, a start and its end', len(raw), 'bytes'))
    return slopes + _measure_state()


def _measure_state():
    """Return memory and snapshot bytes of waiting and running tasks."""
    tracemalloc.start()
    made = state.ShardState()
    first = tracemalloc.get_traced_memory()[0]
    for number in range(TASKS):
        workload = fixtures.make_workload(name=f'job-{number}')
        made.apply(
            events.WorkloadAccepted(f'0-{number}', workload.key, 5, workload)
        )
    second = tracemalloc.get_traced_memory()[0]
    for number in range(TASKS):
        made.apply(events.TaskPlaced(f'0-{number}.0', 1, 'vm-00'))
    third = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    raw = made.pack()
    began = time.process_time()
    state.ShardState.unpack(raw)
    spent = time.process_time() - began
    return [
        Slope(
            'state, a waiting job of one task',
            (second - first) / TASKS,
            'bytes',
        ),
        Slope('state, a placed task more', (third - second) / TASKS, 'bytes'),
        Slope('snapshot, a placed task', len(raw) / TASKS, 'bytes'),
        Slope('snapshot, reading a task', 1e6 * spent / TASKS, 'us'),
    ]


def _make_decision(task):
    return events.Decision(
        10**12,
        'placed',
        task,
        'vm-00',
        [events.Count('processors', 5)],
        [events.Part('fill', 0.5), events.Part('stranding', 1.0)],
    )


def _frame(message):
    kind = messages.NAMES[type(message)]
    return msgpack.packb([kind, codec.to_map(message)])


def _split(place):
    address, _, port = place.rpartition(':')
    return address, int(port)


def main():
    """Measure, print a table, and tell whether a bound is exceeded."""
    example = pathlib.Path(__file__).parents[4] / 'examples/kinh-sang.toml'
    slopes = measure_sizes()
    with tempfile.TemporaryDirectory(prefix='portwharf-') as folder:
        with launcher.Deployment(example, folder) as deployment:
            slopes = Meter(deployment).measure() + slopes
    for slope in slopes:
        bound = f'  (at most {slope.most:g})' if slope.most else ''
        over = '  EXCEEDED' if slope.over else ''
        print(f'{slope.name:34} {slope.value:10.3f} {slope.unit}{bound}{over}')
    return 1 if any(slope.over for slope in slopes) else 0


if __name__ == '__main__':
    sys.exit(main())
