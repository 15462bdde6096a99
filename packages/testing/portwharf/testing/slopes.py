# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Measures marginal costs for capacity planning (``make slopes``).

Runs the Kinh Sang deployment on loopback and reads processor time and memory
of its processes from the kernel. Sizes of messages and of state are measured
in this process. ``docs/CAPACITY.md`` is based on these numbers. The exit
code is 1 if a bound from the users' requirements is exceeded.
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
START_COUNT = 600
REQUEST_COUNT = 3000
TASK_COUNT = 10_000
# Tasks that run on one worker at the size the requirements name.
RUNNING_TASKS_PER_VM = 20
MAX_SIDE_MB = 45
MAX_ENTRY_MB = 60
MAX_START_MS = 3.0
_CALLER_THREADS = 8
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_OPERATOR_SERVICE = 'portwharf.v1.OperatorService'


@dataclasses.dataclass(slots=True)
class Slope:
    """One measured value and its upper bound; 0 means no bound."""

    name: str = ''
    value: float = 0.0
    unit: str = ''
    most: float = 0.0

    @property
    def over(self):
        """Whether the value exceeds its bound."""
        return bool(self.most) and self.value > self.most


class Meter:
    """Measures the processes of a running deployment."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._client = operators.Client(
            [_split_address(endpoint) for endpoint in deployment.entries]
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
        self._wait(lambda: self._count_tasks('running') == len(self._sides))
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
        cpu_seconds = self._measure_cpu_seconds(
            lambda: time.sleep(IDLE_SECONDS)
        )
        percent = {
            name: 100 * s / IDLE_SECONDS for name, s in cpu_seconds.items()
        }
        side_percent = statistics.median(percent[name] for name in others)
        entry_percent = statistics.median(
            percent[name] for name in self._entries
        )
        percent_per_member = (percent[owner] - side_percent) / len(self._sides)
        resident_mb = {
            name: self._read_resident_mb(name) for name in cpu_seconds
        }
        return [
            Slope('side, idle', side_percent, '% of a core', 1.1),
            Slope(
                'owner, idle, per member', percent_per_member, '% of a core'
            ),
            Slope('entry, idle', entry_percent, '% of a core', 1.1),
            Slope(
                'side, resident',
                max(resident_mb[name] for name in others),
                'MB',
                MAX_SIDE_MB,
            ),
            Slope('owner, resident', resident_mb[owner], 'MB'),
            Slope(
                'entry, resident',
                max(resident_mb[name] for name in self._entries),
                'MB',
                MAX_ENTRY_MB,
            ),
        ]

    def _measure_starts(self, owner, others):
        def run():
            self._submit('tiny', 'KIND_BATCH', START_COUNT)
            self._wait(lambda: self._count_tasks('succeeded') == START_COUNT)

        began = time.monotonic()
        cpu_seconds = self._measure_cpu_seconds(run)
        elapsed_seconds = time.monotonic() - began
        side_seconds = sum(cpu_seconds[name] for name in others) / START_COUNT
        return [
            Slope(
                'starts in a row', START_COUNT / elapsed_seconds, 'a second'
            ),
            Slope(
                'owner, a start and its end',
                1000 * cpu_seconds[owner] / START_COUNT,
                'ms',
                MAX_START_MS,
            ),
            Slope('sides, a start and its end', 1000 * side_seconds, 'ms'),
        ]

    def _measure_requests(self, others):
        def run():
            with concurrent.futures.ThreadPoolExecutor(
                _CALLER_THREADS
            ) as pool:
                list(pool.map(self._send, range(REQUEST_COUNT)))

        cpu_seconds = self._measure_cpu_seconds(run)
        entry_seconds = sum(cpu_seconds[name] for name in self._entries)
        side_seconds = sum(cpu_seconds[name] for name in self._sides)
        return [
            Slope(
                'entry, a request', 1000 * entry_seconds / REQUEST_COUNT, 'ms'
            ),
            Slope(
                'side, a request', 1000 * side_seconds / REQUEST_COUNT, 'ms'
            ),
            Slope(
                'both hops, a request',
                1000 * (entry_seconds + side_seconds) / REQUEST_COUNT,
                'ms',
            ),
        ]

    def _measure_configuration(self):
        """Measure how long a new configuration takes to be in force."""
        text = '[weights]\nevictions = 1.5\n'
        began = time.monotonic()
        req = pb.ProposeConfigRequest(text=text)
        self._call('ProposeConfig', req, pb.ProposeConfigResponse)

        def in_force():
            config_status = self._call(
                'ConfigStatus',
                pb.ConfigStatusRequest(),
                pb.ConfigStatusResponse,
            )
            return all(
                process.revision == config_status.revision
                for process in config_status.processes
            )

        self._wait(in_force, 0.05)
        elapsed_seconds = time.monotonic() - began
        return [
            Slope(
                'configuration in force everywhere', elapsed_seconds, 's', 10
            )
        ]

    def _measure_running(self, owner, others, slopes):
        """Measure the processor time a running task costs side and owner."""
        idle_values = {slope.name: slope.value for slope in slopes}
        count = RUNNING_TASKS_PER_VM * len(self._sides)
        self._submit('long', 'KIND_BATCH', count, b'100000 0.2', 100)
        replicas = len(self._sides)
        self._wait(lambda: self._count_tasks('running') == count + replicas)
        cpu_seconds = self._measure_cpu_seconds(
            lambda: time.sleep(IDLE_SECONDS)
        )
        percent = {
            name: 100 * s / IDLE_SECONDS for name, s in cpu_seconds.items()
        }
        side_percent = statistics.median(percent[name] for name in others)
        percent_per_task = (
            side_percent - idle_values['side, idle']
        ) / RUNNING_TASKS_PER_VM
        percent_per_member = (percent[owner] - side_percent) / len(self._sides)
        percent_per_member -= idle_values['owner, idle, per member']
        return [
            Slope('side, a running task', percent_per_task, '% of a core'),
            Slope(
                'owner, a running task',
                percent_per_member * len(self._sides) / count,
                '% of a core',
            ),
            Slope(
                'owner, resident, then', self._read_resident_mb(owner), 'MB'
            ),
        ]

    def _measure_urgent(self):
        """Measure how long an urgent task takes to start on full VMs."""
        spec = self._deployment.spec['vm']
        size = spec['cpu_milli'] - 1000 - 100 * RUNNING_TASKS_PER_VM
        self._submit('filler', 'KIND_BATCH', 64, b'100000 0.2', size // 2)
        self._wait(lambda: self._count_tasks('waiting') > 0)
        began = time.monotonic()
        self._submit('urgent', 'KIND_BATCH', 1, b'1 0.01', size, urgent=True)
        self._wait(lambda: self._find_start_time(size) > 0, 0.05)
        elapsed_seconds = self._find_start_time(size) - began
        return [Slope('urgent start, all full', elapsed_seconds, 's', 5.7)]

    def _find_start_time(self, size):
        """Return when a task of a size started on any worker, or 0.0.

        :param size: the task's processors, in thousandths
        """
        for number in range(len(self._sides)):
            url = self._deployment.get_url('worker', number) + '/record'
            for row in self._deployment.fetch(url)['spans']:
                if row.get('cpu_milli') == size:
                    return row['start']
        return 0.0

    def _measure_cpu_seconds(self, call):
        """Return a map of process to processor seconds used in a call."""
        names = self._sides + self._entries
        before = {name: self._read_cpu_seconds(name) for name in names}
        call()
        return {
            name: self._read_cpu_seconds(name) - before[name] for name in names
        }

    def _read_cpu_seconds(self, name):
        path = f'/proc/{self._deployment.read_pid(name)}/stat'
        fields = pathlib.Path(path).read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND

    def _read_resident_mb(self, name):
        path = f'/proc/{self._deployment.read_pid(name)}/status'
        for line in pathlib.Path(path).read_text().splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        raise RuntimeError(f'/proc status of {name} has no line VmRSS')

    def _read_owner(self):
        cluster_status = self._call(
            'ClusterStatus',
            pb.ClusterStatusRequest(),
            pb.ClusterStatusResponse,
        )
        return cluster_status.shards[0].owner

    def _count_tasks(self, field):
        listed = self._call(
            'ListWorkloads',
            pb.ListWorkloadsRequest(),
            pb.ListWorkloadsResponse,
        )
        return sum(getattr(workload, field) for workload in listed.workloads)

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
            _OPERATOR_SERVICE, method, req, answer_class
        ).unwrap()

    def _wait(self, is_reached, interval_seconds=0.5):
        deadline = time.monotonic() + 120
        while not is_reached():
            if time.monotonic() > deadline:
                raise RuntimeError(
                    'the deployment did not reach the expected state in 120 s'
                )
            time.sleep(interval_seconds)


def measure_sizes():
    """Measure the sizes of messages, log entries and state."""
    task = f'0-{ids.make_id()}.17'
    size = data.Resources(3000, 4000, 1)
    heartbeat = messages.Heartbeat(10**9, 10**9, 7, size)
    start = messages.StartTask(
        7, task, 1, 2, 'lens/overnight', True, size, 'plan', b'60 0.05'
    )
    report = messages.TaskReport(task, 1, 'succeeded', result=b'1' * 20)
    rows = [
        ('heartbeat', heartbeat),
        ('grant', messages.Grant(10**9, 10**9, 7, True)),
        ('start command', start),
        ('report of one attempt', messages.Reports(reports=[report])),
        ('side state to an entry', messages.SideState(['lens/fit'], slots=8)),
    ]
    slopes = [
        Slope(name, len(_pack_message(message)), 'bytes')
        for name, message in rows
    ]
    start_and_end = [
        events.TaskPlaced(task, 1, 'vm-00'),
        events.DecisionMade(_make_decision(task)),
        events.TaskEnded(task, 1, 'succeeded', b'1' * 20),
    ]
    packed = msgpack.packb(events.write_events(start_and_end))
    slopes.append(Slope('log, a start and its end', len(packed), 'bytes'))
    return slopes + _measure_state()


def _measure_state():
    """Measure memory and snapshot bytes of waiting and running tasks."""
    tracemalloc.start()
    shard_state = state.ShardState()
    empty_bytes = tracemalloc.get_traced_memory()[0]
    for number in range(TASK_COUNT):
        workload = fixtures.make_workload(name=f'job-{number}')
        shard_state.apply(
            events.WorkloadAccepted(f'0-{number}', workload.key, 5, workload)
        )
    waiting_bytes = tracemalloc.get_traced_memory()[0]
    for number in range(TASK_COUNT):
        shard_state.apply(events.TaskPlaced(f'0-{number}.0', 1, 'vm-00'))
    placed_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    packed = shard_state.pack()
    began = time.process_time()
    state.ShardState.unpack(packed)
    cpu_seconds = time.process_time() - began
    return [
        Slope(
            'state, a waiting job of one task',
            (waiting_bytes - empty_bytes) / TASK_COUNT,
            'bytes',
        ),
        Slope(
            'state, a placed task more',
            (placed_bytes - waiting_bytes) / TASK_COUNT,
            'bytes',
        ),
        Slope('snapshot, a placed task', len(packed) / TASK_COUNT, 'bytes'),
        Slope(
            'snapshot, reading a task', 1e6 * cpu_seconds / TASK_COUNT, 'us'
        ),
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


def _pack_message(message):
    kind = messages.KIND_BY_CLASS[type(message)]
    return msgpack.packb([kind, codec.to_map(message)])


def _split_address(endpoint):
    address, _, port = endpoint.rpartition(':')
    return address, int(port)


def main():
    """Run all measurements, print a table, and check the bounds."""
    example = pathlib.Path(__file__).parents[4] / 'examples/kinh-sang.toml'
    slopes = measure_sizes()
    with tempfile.TemporaryDirectory(prefix='portwharf-') as folder:
        with launcher.Deployment(example, folder) as deployment:
            slopes = Meter(deployment).measure() + slopes
    for slope in slopes:
        bound = f'  (at most {slope.most:g})' if slope.most else ''
        mark = '  EXCEEDED' if slope.over else ''
        print(f'{slope.name:34} {slope.value:10.3f} {slope.unit}{bound}{mark}')
    return 1 if any(slope.over for slope in slopes) else 0


if __name__ == '__main__':
    sys.exit(main())
