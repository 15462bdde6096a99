# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""``make faults``: a deployment of real processes under a seeded schedule.

Processes are killed, paused past their grants, stopped and replaced, cut
off and silenced, the store goes away, is slow and loses answers, while
operators submit and cancel work and callers send requests. At the end
everything is healed, all accepted work has to come to its end, and the
records of workers and runners are checked for what must always hold.
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

FAULTS = 24
SECONDS_BETWEEN = 8
OUTAGE_SECONDS = 60
PAUSE_SECONDS = 16
CALLERS = 8
_SETTLE_SECONDS = 150
_OPERATORS = 'portwharf.v1.OperatorService'
_CALLERS = 'portwharf.v1.CallerService'
_SERVICE = 'lens/fit-check'
_RELAY_PORTS = 500
# A task's thread looks for the end of its lease once a step.
_STEP_SECONDS = 0.05


@dataclasses.dataclass(slots=True)
class Sent:
    """One request and what its caller was told, each time it asked."""

    id: str = ''
    repeatable: bool = False
    outcomes: list = dataclasses.field(default_factory=list)
    wrong: bool = False
    seconds: float = 0.0


class RelayedDeployment(launcher.Deployment):
    """A deployment whose sides are reached through relays."""

    def __init__(self, path, folder):
        super().__init__(path, folder)
        self.relays = {}

    def list_vms(self):
        """Return the VMs with the relays' ports for the sides'."""
        vms = super().list_vms()
        for vm in vms:
            if vm.name.startswith('vm-'):
                vm.port += _RELAY_PORTS
        return vms

    def start_all(self):
        """Start the relays, then everything else."""
        for vm in super().list_vms():
            if vm.name.startswith('vm-'):
                port = vm.port + _RELAY_PORTS
                made = relay.Relay(vm.address, port, vm.port)
                self.relays[vm.name] = made.__enter__()
        super().start_all()

    def _start_side(self, number, vm):
        vm.port -= _RELAY_PORTS
        super()._start_side(number, vm)


class Chaos:
    """The schedule, the work under it, and the report."""

    def __init__(self, deployment, seed, only=''):
        """Take a deployment, a seed and the faults' names, '' for all."""
        self._deployment = deployment
        self._faults = _FAULTS
        if only:
            names = [f'_{name}' for name in only.split(',')]
            self._faults = [getattr(Chaos, name) for name in names]
        self._random = random.Random(seed)
        self._clients = [
            operators.Client([_split(place)]) for place in deployment.entries
        ]
        self._any = operators.Client(
            [_split(place) for place in deployment.entries]
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
        self._accepted = {}
        self._cancelled = set()
        self._submitted = 0
        self._owner_losses = []
        self._store_down = False
        self._heals = []
        self._began = time.monotonic()
        self.problems = []

    def run(self, faults):
        """Run the schedule, settle, and print the report."""
        self._submit('fit-check', 'KIND_SERVICE', len(self._sides))
        self._wait('replicas run', self._all_replicas_run)
        self._wait('requests are answered', self._answers_all)
        threads = [threading.Thread(target=self._work)]
        threads += [
            threading.Thread(target=self._call_on, args=(number,))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        try:
            for number in range(faults):
                self._do_fault(number)
                self._heal_due()
                time.sleep(self._random.uniform(0.5, 1.0) * SECONDS_BETWEEN)
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

    def _do_fault(self, number):
        fault = self._random.choice(self._faults)
        if number % 8 == 4 and self._faults is _FAULTS:
            fault = Chaos._stop_store
        name = fault.__name__.strip('_')
        print(f'{self._tell_time()} fault {number}: {name}', flush=True)
        fault(self)

    def _kill_side(self):
        name = self._random.choice(self._sides)
        self._kill(name)

    def _kill_owner(self):
        owner = self._find_owner()
        if owner:
            self._note_owner_lost()
            self._kill(owner)

    def _note_owner_lost(self):
        """Note a loss, unless the store is down: then nobody can follow."""
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
            self._note_owner_lost()
            self._pause(owner)

    def _pause(self, name):
        self._deployment.send_signal(name, signal.SIGSTOP)
        self._heal_later(PAUSE_SECONDS, lambda: self._wake(name))

    def _wake(self, name):
        self._deployment.send_signal(name, signal.SIGCONT)

    def _replace_side(self):
        """Stop a side as planned, and start it again."""
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
        """The VM fails with all that runs on it, and comes back empty."""
        name = self._random.choice(self._sides)
        url = self._deployment.get_url('worker', int(name[3:]))
        self._deployment.kill(name)
        self._deployment.fetch(f'{url}/control', {'fail': True})
        self._heal_later(
            self._random.uniform(5, 30),
            lambda: self._deployment.restart(name),
        )

    def _cut_side(self):
        made = self._deployment.relays[self._random.choice(self._sides)]
        made.refusing = True
        made.cut()
        self._heal_later(
            self._random.uniform(2, 25),
            lambda: setattr(made, 'refusing', False),
        )

    def _silence_side(self):
        made = self._deployment.relays[self._random.choice(self._sides)]
        made.silence(True)
        self._heal_later(
            self._random.uniform(2, 25), lambda: made.silence(False)
        )

    def _stop_store(self):
        self._store_down = True
        self._tell_store(down=True)
        # A loss just before counts no more either.
        recent = time.monotonic() - SECONDS_BETWEEN
        self._owner_losses = [t for t in self._owner_losses if t < recent]
        self._heal_later(OUTAGE_SECONDS, self._start_store)

    def _start_store(self):
        self._store_down = False
        self._tell_store(down=False)

    def _slow_store(self):
        self._tell_store(slow_seconds=0.7)
        self._heal_later(15, lambda: self._tell_store(slow_seconds=0.0))

    def _lose_answers(self):
        self._tell_store(lose_answers=3)

    def _lose_requests(self):
        self._tell_store(lose_requests=3)

    def _tell_store(self, **faults):
        url = self._deployment.get_url('store') + '/control'
        return self._deployment.fetch(url, faults)

    def _heal_later(self, seconds, heal):
        self._heals.append((time.monotonic() + seconds, heal))

    def _heal_due(self):
        now = time.monotonic()
        due = [heal for when, heal in self._heals if when <= now]
        self._heals = [row for row in self._heals if row[0] > now]
        for heal in due:
            heal()

    def _heal_all(self):
        for _, heal in self._heals:
            heal()
        self._heals = []
        self._tell_store(lose_answers=0, lose_requests=0)

    # Work.

    def _work(self):
        """Submit jobs, and cancel one now and then."""
        rnd = random.Random(1)
        while not self._stop.wait(rnd.uniform(0.5, 1.5)):
            self._submitted += 1
            name = f'job-{self._submitted}'
            steps = rnd.randint(20, 160)
            job = self._submit(name, 'KIND_BATCH', rnd.randint(1, 6), steps)
            if job and rnd.random() < 0.08:
                self._cancel(job)

    def _submit(self, name, kind, count, steps=1):
        """Submit a workload; returns its id, or None."""
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
        answer = self._any.call(
            _OPERATORS, 'CreateWorkload', req, pb.CreateWorkloadResponse
        )
        if answer.is_err():
            return None
        if kind == 'KIND_BATCH':
            self._accepted[answer.ok_value.id] = steps
        return answer.ok_value.id

    def _cancel(self, job):
        self._cancelled.add(job)
        self._any.call(
            _OPERATORS,
            'CancelWorkload',
            pb.CancelWorkloadRequest(id=job),
            pb.CancelWorkloadResponse,
        )

    def _call_on(self, number):
        rnd = random.Random(number)
        while not self._stop.wait(rnd.uniform(0.0, 0.05)):
            sent = Sent(ids.make_id(), rnd.random() < 0.5)
            with self._lock:
                self._sent.append(sent)
            began = time.monotonic()
            self._ask(sent, rnd)
            sent.seconds = time.monotonic() - began
            unknown = sent.outcomes[-1] == callers_pb.Outcome.UNKNOWN
            if unknown and not sent.repeatable:
                # As a careful caller would: the same id, another entry.
                self._ask(sent, rnd, again=True)

    def _ask(self, sent, rnd, again=False):
        payload = json.dumps(
            {
                'bridge_mm': rnd.randint(1, 9),
                'nose_mm': 3,
                'frame_mm': 5,
                'face_mm': 5,
                'id': sent.id,
            }
        ).encode()
        req = callers_pb.CallRequest(
            id=sent.id,
            service=_SERVICE,
            repeatable=sent.repeatable,
            deadline_ms=3000,
            sent_before=again,
            payload=payload,
        )
        client = rnd.choice(self._clients)
        answer = client.call(_CALLERS, 'Call', req, callers_pb.CallResponse)
        if answer.is_err():
            refused = answer.err_value.text.startswith('entry unreachable')
            outcome = 'NOT_RUN' if refused and not again else 'UNKNOWN'
            sent.outcomes.append(callers_pb.Outcome[outcome])
            return
        done = answer.ok_value
        sent.outcomes.append(done.outcome)
        if done.outcome == callers_pb.Outcome.ANSWERED:
            right = programs.answer_request(_SERVICE, payload)
            if done.id != sent.id or not self._is_right(done, right, sent):
                sent.wrong = True

    def _is_right(self, done, right, sent):
        """Tell whether an answer is that of this request.

        One that is asked for again may be the first sending's, which had
        another payload under the same id.
        """
        again = len(sent.outcomes) > 1
        return bytes(done.payload) == right or again

    # The end.

    def _settle(self):
        def is_done():
            listed = self._list()
            if listed is None:
                return False
            return all(
                one.waiting == 0 and one.running == 0
                for one in listed
                if one.workload.kind == pb.Kind.BATCH
            )

        self._wait('all work comes to its end', is_done, _SETTLE_SECONDS)

    def _check(self):
        self._check_jobs()
        spans = self._read_spans()
        self._check_places(spans)
        self._check_capacity(spans)
        self._check_requests()

    def _check_jobs(self):
        """Every accepted job is there, with the right results."""
        listed = {one.id: one for one in self._list() or []}
        for job, steps in self._accepted.items():
            if job not in listed:
                self.problems.append(f'accepted job {job} is lost')
                continue
            one = listed[job]
            whole = one.succeeded == one.workload.count
            if not whole and job not in self._cancelled:
                self.problems.append(f'job {job}: {one}')
            req = pb.ListTasksRequest(workload_id=job)
            tasks = self._any.call(
                _OPERATORS, 'ListTasks', req, pb.ListTasksResponse
            ).unwrap()
            for task in tasks.tasks:
                self._check_task(task, steps)

    def _check_task(self, task, steps):
        if task.state != 'succeeded':
            return
        seed = int(task.id.rpartition('.')[2])
        right = str(programs.compute_task(seed, steps)).encode()
        if bytes(task.result) != right:
            self.problems.append(f'task {task.id}: wrong result')

    def _read_spans(self):
        """Return each worker's record of what ran when, by VM."""
        return {
            name: self._deployment.fetch(
                self._deployment.get_url('worker', int(name[3:])) + '/record'
            )['spans']
            for name in self._sides
        }

    def _check_places(self, spans):
        """No exclusive task runs in two places."""
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
                    self.problems.append(f'{task} twice: {one} {other}')

    def _check_capacity(self, spans):
        """No worker ever holds more than it can."""
        most = self._deployment.spec['vm']['cpu_milli']
        for name, rows in spans.items():
            changes = []
            for row in rows:
                size = row.get('cpu_milli', 0)
                changes.append((row['start'], size))
                if row.get('end'):
                    changes.append((row['end'], -size))
            held = 0
            for _, size in sorted(changes):
                held += size
                if held > most:
                    self.problems.append(f'{name} held {held}')
                    break

    def _check_requests(self):
        """Outcomes against the runners' own record of what ran."""
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
                self.problems.append(f'request {sent.id}: "not run" ran')
            if last == callers_pb.Outcome.ANSWERED and not count:
                self.problems.append(f'request {sent.id}: never ran')

    def _report(self):
        took = time.monotonic() - self._began
        counts = collections.Counter(
            sent.outcomes[-1].name.lower() for sent in self._sent
        )
        seconds = sorted(sent.seconds for sent in self._sent)
        calls = self._tell_store()
        print(f'requests: {len(self._sent)}, {dict(counts)}')
        print(
            f'latency: median {1000 * statistics.median(seconds):.1f} ms, '
            f'p99 {1000 * seconds[len(seconds) * 99 // 100]:.1f} ms'
        )
        print(f'jobs accepted: {len(self._accepted)} of {self._submitted}')
        recoveries = self._measure_recoveries()
        if recoveries:
            shown = ', '.join(f'{one:.1f}' for one in recoveries)
            median = statistics.median(recoveries)
            print(f'owner lost to next start: {shown} s; median {median:.1f}')
        for name, count in calls.items():
            print(f'store {name}: {count / took:.1f} a second')
        for problem in self.problems[:40]:
            print(f'PROBLEM: {problem}')
        print(f'{len(self.problems)} problems')

    def _measure_recoveries(self):
        """Return seconds from each loss of an owner to the next start."""
        starts = sorted(
            row['start']
            for rows in self._read_spans().values()
            for row in rows
        )
        found = []
        for lost in self._owner_losses:
            # What was under way when the owner was lost does not count.
            later = [start for start in starts if start > lost + 0.5]
            if later:
                found.append(later[0] - lost)
        return found

    def _find_owner(self):
        got = self._any.call(
            _OPERATORS,
            'ClusterStatus',
            pb.ClusterStatusRequest(),
            pb.ClusterStatusResponse,
        )
        if got.is_err() or not got.ok_value.shards:
            return None
        return got.ok_value.shards[0].owner

    def _all_replicas_run(self):
        listed = self._list()
        return listed is not None and listed[0].running == len(self._sides)

    def _answers_all(self):
        """Tell whether not-repeatable requests have their homes."""
        rnd = random.Random(0)
        rows = [Sent(ids.make_id()) for _ in range(10)]
        for sent in rows:
            self._ask(sent, rnd)
        good = callers_pb.Outcome.ANSWERED
        return all(sent.outcomes == [good] for sent in rows)

    def _list(self):
        listed = self._any.call(
            _OPERATORS,
            'ListWorkloads',
            pb.ListWorkloadsRequest(),
            pb.ListWorkloadsResponse,
        )
        return listed.ok_value.workloads if listed.is_ok() else None

    def _wait(self, what, holds, seconds=60):
        deadline = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > deadline:
                self.problems.append(f'timed out: {what}')
                return
            time.sleep(0.5)
        print(f'{self._tell_time()} {what}', flush=True)

    def _tell_time(self):
        return f'[{time.monotonic() - self._began:6.1f} s]'


_FAULTS = (
    Chaos._kill_side,
    Chaos._kill_owner,
    Chaos._kill_owner,
    Chaos._pause_side,
    Chaos._pause_owner,
    Chaos._replace_side,
    Chaos._replace_owner,
    Chaos._replace_entry,
    Chaos._kill_entry,
    Chaos._fail_vm,
    Chaos._cut_side,
    Chaos._silence_side,
    Chaos._slow_store,
    Chaos._lose_answers,
    Chaos._lose_requests,
)


def _split(place):
    address, _, port = place.rpartition(':')
    return address, int(port)


def main():
    """Run a schedule; exit code 0 only without a problem."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--faults', type=int, default=FAULTS)
    parser.add_argument('--keep', default='')
    parser.add_argument('--only', default='', help='as in kill_owner,...')
    arguments = parser.parse_args()
    example = pathlib.Path(__file__).parents[4] / 'examples/kinh-sang.toml'
    with tempfile.TemporaryDirectory(prefix='portwharf-') as folder:
        folder = arguments.keep or folder
        with RelayedDeployment(example, folder) as deployment:
            chaos = Chaos(deployment, arguments.seed, arguments.only)
            chaos.run(arguments.faults)
    return 1 if chaos.problems else 0


if __name__ == '__main__':
    sys.exit(main())
