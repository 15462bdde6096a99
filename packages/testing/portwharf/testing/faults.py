# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""``make faults``: injects faults into a deployment of real processes.

A seeded schedule kills, pauses, stops and replaces processes, cuts network
connections, and makes the store unavailable, slow or lossy. Meanwhile work is
submitted and cancelled, and requests are sent. At the end all faults are
healed, all accepted work has to end, and the records of the workers and
runners are checked against the invariants.
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import random
import signal
import statistics
import sys
import tempfile
import threading
import time

from portwharf.core import ids
from portwharf import operators
from portwharf.testing import launcher
from portwharf.testing import programs
from portwharf.testing import relay
from portwharf.v1 import callers_pb
from portwharf.v1 import operators_pb as pb

FAULT_COUNT = 24
FAULT_INTERVAL_SECONDS = 8
OUTAGE_SECONDS = 60
PAUSE_SECONDS = 16
CALLER_THREADS = 8
_SETTLE_SECONDS = 150
_OPERATOR_SERVICE = 'portwharf.v1.OperatorService'
_CALLER_SERVICE = 'portwharf.v1.CallerService'
_SERVICE = 'lens/fit-check'
_RELAY_PORT_OFFSET = 500
# A task's thread checks its lease once a step.
_STEP_SECONDS = 0.05


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request and the outcome of each time that it was sent.

    :param outcomes: ``callers_pb.Outcome`` of each sending
    :param payloads: payload of each sending
    :param wrong: whether an answer differed from the expected one
    :param seconds: latency of the first sending
    """

    id: str = ''
    repeatable: bool = False
    outcomes: list = dataclasses.field(default_factory=list)
    payloads: list = dataclasses.field(default_factory=list)
    wrong: bool = False
    seconds: float = 0.0

    def may_get(self, answer):
        """Return whether an answer is the one to a payload that was sent.

        A retry has another payload under the same id, and may get the answer
        to the first sending.
        """
        return answer in [
            programs.answer_request(_SERVICE, payload)
            for payload in self.payloads
        ]


class RelayedDeployment(launcher.Deployment):
    """A deployment whose sides are reached through relays.

    :ivar relays: ``relay.Relay`` of each side, by VM name
    """

    def __init__(self, path, folder):
        super().__init__(path, folder)
        self.relays = {}

    def list_vms(self):
        """Return the VMs, with the relays' ports in place of the sides'."""
        vms = super().list_vms()
        for vm in vms:
            if vm.name.startswith('vm-'):
                vm.port += _RELAY_PORT_OFFSET
        return vms

    def start_all(self):
        """Start the relays, then everything else."""
        for vm in super().list_vms():
            if vm.name.startswith('vm-'):
                port = vm.port + _RELAY_PORT_OFFSET
                side_relay = relay.Relay(vm.address, port, vm.port)
                self.relays[vm.name] = side_relay.__enter__()
        super().start_all()

    def _start_side(self, number, vm):
        vm.port -= _RELAY_PORT_OFFSET
        super()._start_side(number, vm)


class FaultRun:
    """A run of the fault schedule: faults, load, checks and report.

    :ivar problems: descriptions of the invariants that did not hold
    """

    def __init__(self, deployment, seed, only=''):
        """Prepare a run.

        :param only: comma-separated names of faults, '' for all
        """
        self._deployment = deployment
        self._faults = _FAULT_METHODS
        if only:
            names = [f'_{name}' for name in only.split(',')]
            self._faults = [getattr(FaultRun, name) for name in names]
        self._random = random.Random(seed)
        self._clients = [
            operators.Client([_parse_endpoint(endpoint)])
            for endpoint in deployment.entries
        ]
        self._client = operators.Client(
            [_parse_endpoint(endpoint) for endpoint in deployment.entries]
        )
        self._sides = [
            name for name in deployment.processes if name.startswith('vm-')
        ]
        self._entries = [
            name for name in deployment.processes if name.startswith('entry')
        ]
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._sent = []
        # Steps of a task, by the id of each accepted batch job.
        self._accepted = {}
        self._cancelled = set()
        self._submission_count = 0
        self._owner_losses = []
        self._store_down = False
        # Due time and function of each heal to come.
        self._pending_heals = []
        self._began = time.monotonic()
        self.problems = []

    def run(self, faults):
        """Run a number of faults, heal, check and print the report."""
        self._submit('fit-check', 'KIND_SERVICE', len(self._sides))
        self._wait_for('replicas run', self._all_replicas_run)
        self._wait_for('requests are answered', self._are_requests_answered)
        threads = [threading.Thread(target=self._submit_jobs)]
        threads += [
            threading.Thread(target=self._send_requests, args=(number,))
            for number in range(CALLER_THREADS)
        ]
        for thread in threads:
            thread.start()
        try:
            for number in range(faults):
                self._inject_fault(number)
                self._heal_due()
                time.sleep(
                    self._random.uniform(0.5, 1.0) * FAULT_INTERVAL_SECONDS
                )
                self._heal_due()
        finally:
            self._stop.set()
            for thread in threads:
                thread.join()
        self._heal_all()
        self._settle()
        self._check()
        self._report()

    # Faults.

    def _inject_fault(self, number):
        fault = self._random.choice(self._faults)
        if number % 8 == 4 and self._faults is _FAULT_METHODS:
            fault = FaultRun._stop_store
        name = fault.__name__.strip('_')
        print(f'{self._format_elapsed()} fault {number}: {name}', flush=True)
        fault(self)

    def _kill_side(self):
        name = self._random.choice(self._sides)
        self._kill(name)

    def _kill_owner(self):
        owner = self._find_owner()
        if owner:
            self._record_owner_loss()
            self._kill(owner)

    def _record_owner_loss(self):
        """Record the time, unless the store is down and none can follow."""
        if not self._store_down:
            self._owner_losses.append(time.monotonic())

    def _kill(self, name):
        self._deployment.kill(name)
        self._heal_later(
            self._random.uniform(1, 20),
            lambda: self._deployment.restart(name),
        )

    def _pause_side(self):
        self._pause(self._random.choice(self._sides))

    def _pause_owner(self):
        owner = self._find_owner()
        if owner:
            self._record_owner_loss()
            self._pause(owner)

    def _pause(self, name):
        self._deployment.send_signal(name, signal.SIGSTOP)
        self._heal_later(PAUSE_SECONDS, lambda: self._resume(name))

    def _resume(self, name):
        self._deployment.send_signal(name, signal.SIGCONT)

    def _replace_side(self):
        """Stop a side cleanly and start it again."""
        name = self._random.choice(self._sides)
        self._deployment.stop(name)
        self._deployment.restart(name)

    def _replace_owner(self):
        owner = self._find_owner()
        if owner:
            self._deployment.stop(owner)
            self._deployment.restart(owner)

    def _replace_entry(self):
        name = self._random.choice(self._entries)
        self._deployment.stop(name)
        self._deployment.restart(name)

    def _kill_entry(self):
        name = self._random.choice(self._entries)
        self._deployment.kill(name)
        self._heal_later(2, lambda: self._deployment.restart(name))

    def _fail_vm(self):
        """Fail a VM with all its tasks; it comes back later without them."""
        name = self._random.choice(self._sides)
        url = self._deployment.get_url('worker', int(name[3:]))
        self._deployment.kill(name)
        self._deployment.fetch(f'{url}/control', {'fail': True})
        self._heal_later(
            self._random.uniform(5, 30),
            lambda: self._deployment.restart(name),
        )

    def _cut_side(self):
        side_relay = self._deployment.relays[self._random.choice(self._sides)]
        side_relay.refusing = True
        side_relay.cut()
        self._heal_later(
            self._random.uniform(2, 25),
            lambda: setattr(side_relay, 'refusing', False),
        )

    def _silence_side(self):
        side_relay = self._deployment.relays[self._random.choice(self._sides)]
        side_relay.silence(True)
        self._heal_later(
            self._random.uniform(2, 25), lambda: side_relay.silence(False)
        )

    def _stop_store(self):
        self._store_down = True
        self._set_store_faults(down=True)
        # Drops owner losses that the outage may keep from recovering.
        recent = time.monotonic() - FAULT_INTERVAL_SECONDS
        self._owner_losses = [t for t in self._owner_losses if t < recent]
        self._heal_later(OUTAGE_SECONDS, self._start_store)

    def _start_store(self):
        self._store_down = False
        self._set_store_faults(down=False)

    def _slow_store(self):
        self._set_store_faults(slow_seconds=0.7)
        self._heal_later(15, lambda: self._set_store_faults(slow_seconds=0.0))

    def _lose_answers(self):
        self._set_store_faults(lose_answers=3)

    def _lose_requests(self):
        self._set_store_faults(lose_requests=3)

    def _set_store_faults(self, **faults):
        """Change some faults of the store; returns its call counts."""
        url = self._deployment.get_url('store') + '/control'
        return self._deployment.fetch(url, faults)

    def _heal_later(self, seconds, heal):
        self._pending_heals.append((time.monotonic() + seconds, heal))

    def _heal_due(self):
        now = time.monotonic()
        due = [heal for when, heal in self._pending_heals if when <= now]
        self._pending_heals = [
            row for row in self._pending_heals if row[0] > now
        ]
        for heal in due:
            heal()

    def _heal_all(self):
        for _, heal in self._pending_heals:
            heal()
        self._pending_heals = []
        self._set_store_faults(lose_answers=0, lose_requests=0)

    # Load.

    def _submit_jobs(self):
        """Submit jobs until stopped, and cancel some."""
        rng = random.Random(1)
        while not self._stop.wait(rng.uniform(0.5, 1.5)):
            self._submission_count += 1
            name = f'job-{self._submission_count}'
            steps = rng.randint(20, 160)
            job = self._submit(name, 'KIND_BATCH', rng.randint(1, 6), steps)
            if job and rng.random() < 0.08:
                self._cancel(job)

    def _submit(self, name, kind, count, steps=1):
        """Submit a workload; returns its id, None if it was not accepted."""
        argument = f'{steps} {_STEP_SECONDS}'
        workload = pb.Workload(
            name=name,
            team='lens',
            kind=pb.Kind[kind.removeprefix('KIND_')],
            count=count,
            program='plan',
            argument=argument.encode(),
            checkpointable=True,
            resources=pb.Resources(cpu_milli=4000, memory_mb=4000),
        )
        req = pb.CreateWorkloadRequest(workload=workload)
        answer = self._client.call(
            _OPERATOR_SERVICE, 'CreateWorkload', req, pb.CreateWorkloadResponse
        )
        if answer.is_err():
            return None
        if kind == 'KIND_BATCH':
            self._accepted[answer.ok_value.id] = steps
        return answer.ok_value.id

    def _cancel(self, job):
        self._cancelled.add(job)
        self._client.call(
            _OPERATOR_SERVICE,
            'CancelWorkload',
            pb.CancelWorkloadRequest(id=job),
            pb.CancelWorkloadResponse,
        )

    def _send_requests(self, number):
        rng = random.Random(number)
        while not self._stop.wait(rng.uniform(0.0, 0.05)):
            sent = SentRequest(ids.make_id(), rng.random() < 0.5)
            with self._lock:
                self._sent.append(sent)
            began = time.monotonic()
            self._send(sent, rng)
            sent.seconds = time.monotonic() - began
            unknown = sent.outcomes[-1] == callers_pb.Outcome.UNKNOWN
            if unknown and not sent.repeatable:
                # Retries with the same id, perhaps at another entry.
                self._send(sent, rng, is_retry=True)

    def _send(self, sent, rng, is_retry=False):
        payload = json.dumps(
            {
                'bridge_mm': rng.randint(1, 9),
                'nose_mm': 3,
                'frame_mm': 5,
                'face_mm': 5,
                'id': sent.id,
            }
        ).encode()
        sent.payloads.append(payload)
        req = callers_pb.CallRequest(
            id=sent.id,
            service=_SERVICE,
            repeatable=sent.repeatable,
            deadline_ms=3000,
            sent_before=is_retry,
            payload=payload,
        )
        client = rng.choice(self._clients)
        answer = client.call(
            _CALLER_SERVICE, 'Call', req, callers_pb.CallResponse
        )
        if answer.is_err():
            refused = answer.err_value.text.startswith('entry unreachable')
            outcome = 'NOT_RUN' if refused and not is_retry else 'UNKNOWN'
            sent.outcomes.append(callers_pb.Outcome[outcome])
            return
        done = answer.ok_value
        sent.outcomes.append(done.outcome)
        if done.outcome == callers_pb.Outcome.ANSWERED:
            if done.id != sent.id or not sent.may_get(bytes(done.payload)):
                sent.wrong = True

    # Checks and report.

    def _settle(self):
        def is_done():
            listed = self._list_workloads()
            if listed is None:
                return False
            return all(
                workload_status.waiting == 0 and workload_status.running == 0
                for workload_status in listed
                if workload_status.workload.kind == pb.Kind.BATCH
            )

        self._wait_for('all work comes to its end', is_done, _SETTLE_SECONDS)

    def _check(self):
        self._check_jobs()
        spans = self._fetch_spans()
        self._check_exclusive_tasks(spans)
        self._check_capacity(spans)
        self._check_requests()

    def _check_jobs(self):
        """Check that no accepted job is lost and that all results match."""
        listed = {row.id: row for row in self._list_workloads() or []}
        for job, steps in self._accepted.items():
            if job not in listed:
                self.problems.append(f'accepted job {job} is lost')
                continue
            row = listed[job]
            is_complete = row.succeeded == row.workload.count
            if not is_complete and job not in self._cancelled:
                self.problems.append(f'job {job}: {row}')
            req = pb.ListTasksRequest(workload_id=job)
            tasks = self._client.call(
                _OPERATOR_SERVICE, 'ListTasks', req, pb.ListTasksResponse
            ).unwrap()
            for task in tasks.tasks:
                self._check_task(task, steps)

    def _check_task(self, task, steps):
        if task.state != 'succeeded':
            return
        seed = int(task.id.rpartition('.')[2])
        expected = str(programs.compute_task(seed, steps)).encode()
        if bytes(task.result) != expected:
            self.problems.append(f'task {task.id}: wrong result')

    def _fetch_spans(self):
        """Return the recorded spans of each worker, by VM name."""
        return {
            name: self._deployment.fetch(
                self._deployment.get_url('worker', int(name[3:])) + '/record'
            )['spans']
            for name in self._sides
        }

    def _check_exclusive_tasks(self, spans):
        """Check that no exclusive task ran twice at the same time."""
        runs = collections.defaultdict(list)
        for name, rows in spans.items():
            for row in rows:
                if row.get('lease'):
                    end = row.get('end') or time.monotonic()
                    runs[row['task']].append((row['start'], end, name))
        for task, rows in runs.items():
            rows.sort()
            for one, other in zip(rows, rows[1:], strict=False):
                if other[0] < one[1]:
                    self.problems.append(
                        f'{task} ran twice at once: {one} {other}'
                    )

    def _check_capacity(self, spans):
        """Check that no worker ever ran more than its CPU capacity."""
        capacity = self._deployment.spec['vm']['cpu_milli']
        for name, rows in spans.items():
            changes = []
            for row in rows:
                cpu_milli = row.get('cpu_milli', 0)
                changes.append((row['start'], cpu_milli))
                if row.get('end'):
                    changes.append((row['end'], -cpu_milli))
            held = 0
            for _, cpu_milli in sorted(changes):
                held += cpu_milli
                if held > capacity:
                    self.problems.append(
                        f'{name} ran {held} cpu_milli at once'
                    )
                    break

    def _check_requests(self):
        """Check the outcomes against the runners' counts of requests."""
        ran = collections.Counter()
        for name in self._sides:
            url = self._deployment.get_url('runner', int(name[3:]))
            ran.update(self._deployment.fetch(f'{url}/record'))
        for sent in self._sent:
            count = ran[sent.id]
            last = sent.outcomes[-1] if sent.outcomes else None
            if sent.wrong:
                self.problems.append(f'request {sent.id}: wrong answer')
            if not sent.repeatable and count > 1:
                self.problems.append(f'request {sent.id}: ran {count} times')
            if last == callers_pb.Outcome.NOT_RUN and count:
                self.problems.append(
                    f'request {sent.id}: ran, but outcome is not run'
                )
            if last == callers_pb.Outcome.ANSWERED and not count:
                self.problems.append(f'request {sent.id}: never ran')

    def _report(self):
        elapsed_seconds = time.monotonic() - self._began
        counts = collections.Counter(
            sent.outcomes[-1].name.lower() for sent in self._sent
        )
        seconds = sorted(sent.seconds for sent in self._sent)
        calls = self._set_store_faults()
        print(f'requests: {len(self._sent)}, {dict(counts)}')
        print(
            f'latency: median {1000 * statistics.median(seconds):.1f} ms, '
            f'p99 {1000 * seconds[len(seconds) * 99 // 100]:.1f} ms'
        )
        print(
            f'jobs accepted: {len(self._accepted)} of {self._submission_count}'
        )
        recoveries = self._measure_recoveries()
        if recoveries:
            shown = ', '.join(f'{recovery:.1f}' for recovery in recoveries)
            median = statistics.median(recoveries)
            print(f'owner lost to next start: {shown} s; median {median:.1f}')
        for name, count in calls.items():
            print(f'store {name}: {count / elapsed_seconds:.1f} a second')
        for problem in self.problems[:40]:
            print(f'PROBLEM: {problem}')
        print(f'{len(self.problems)} problems')

    def _measure_recoveries(self):
        """Return the seconds from each owner loss to the next task start."""
        starts = sorted(
            row['start']
            for rows in self._fetch_spans().values()
            for row in rows
        )
        found = []
        for lost in self._owner_losses:
            # Skips starts that were ordered before the owner was lost.
            later = [start for start in starts if start > lost + 0.5]
            if later:
                found.append(later[0] - lost)
        return found

    def _find_owner(self):
        status = self._client.call(
            _OPERATOR_SERVICE,
            'ClusterStatus',
            pb.ClusterStatusRequest(),
            pb.ClusterStatusResponse,
        )
        if status.is_err() or not status.ok_value.shards:
            return None
        return status.ok_value.shards[0].owner

    def _all_replicas_run(self):
        listed = self._list_workloads()
        return listed is not None and listed[0].running == len(self._sides)

    def _are_requests_answered(self):
        """Return whether all of a few non-repeatable requests succeed."""
        rng = random.Random(0)
        rows = [SentRequest(ids.make_id()) for _ in range(10)]
        for sent in rows:
            self._send(sent, rng)
        good = callers_pb.Outcome.ANSWERED
        return all(sent.outcomes == [good] for sent in rows)

    def _list_workloads(self):
        listed = self._client.call(
            _OPERATOR_SERVICE,
            'ListWorkloads',
            pb.ListWorkloadsRequest(),
            pb.ListWorkloadsResponse,
        )
        return listed.ok_value.workloads if listed.is_ok() else None

    def _wait_for(self, condition, is_met, seconds=60):
        deadline = time.monotonic() + seconds
        while not is_met():
            if time.monotonic() > deadline:
                self.problems.append(f'timed out: {condition}')
                return
            time.sleep(0.5)
        print(f'{self._format_elapsed()} {condition}', flush=True)

    def _format_elapsed(self):
        return f'[{time.monotonic() - self._began:6.1f} s]'


_FAULT_METHODS = (
    FaultRun._kill_side,
    FaultRun._kill_owner,
    FaultRun._kill_owner,
    FaultRun._pause_side,
    FaultRun._pause_owner,
    FaultRun._replace_side,
    FaultRun._replace_owner,
    FaultRun._replace_entry,
    FaultRun._kill_entry,
    FaultRun._fail_vm,
    FaultRun._cut_side,
    FaultRun._silence_side,
    FaultRun._slow_store,
    FaultRun._lose_answers,
    FaultRun._lose_requests,
)


def _parse_endpoint(endpoint):
    address, _, port = endpoint.rpartition(':')
    return address, int(port)


def main():
    """Run a fault schedule; returns 0 only if no problem was found."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--faults', type=int, default=FAULT_COUNT)
    parser.add_argument('--keep', default='')
    parser.add_argument('--only', default='', help='as in kill_owner,...')
    arguments = parser.parse_args()
    example = pathlib.Path(__file__).parents[4] / 'examples/kinh-sang.toml'
    with tempfile.TemporaryDirectory(prefix='portwharf-') as folder:
        folder = arguments.keep or folder
        with RelayedDeployment(example, folder) as deployment:
            fault_run = FaultRun(deployment, arguments.seed, arguments.only)
            fault_run.run(arguments.faults)
    return 1 if fault_run.problems else 0


if __name__ == '__main__':
    sys.exit(main())
