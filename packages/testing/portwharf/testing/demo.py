# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""``make run``: runs a local deployment and checks every answer.

Submits a service, a batch job and a standing task, sends requests through
every entry, and compares each answer and each task result with the expected
one. The exit code is 0 only if all of them match.
"""

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile
import time

from portwharf.core import ids
from portwharf import operators
from portwharf.testing import launcher
from portwharf.testing import programs
from portwharf.v1 import callers_pb
from portwharf.v1 import operators_pb as pb

REQUESTS = 500
TASKS = 40
STEPS = 60
_STEP_SECONDS = 0.05
_WAIT_SECONDS = 60
_CALLER_THREADS = 24
_OPERATOR_SERVICE = 'portwharf.v1.OperatorService'


class Mismatch(Exception):
    """An outcome differs from the expected one."""


class Demo:
    """The demonstration on a ``launcher.Deployment`` that has started."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._team = deployment.spec['service']['team']
        self._service = deployment.spec['service']['name']
        self._clients = [
            operators.Client([_parse_endpoint(endpoint)])
            for endpoint in deployment.entries
        ]

    def run(self):
        """Run all steps.

        :raises Mismatch: an outcome differs from the expected one
        """
        self._set_configuration()
        ids_by_name = self._submit()
        service_id = ids_by_name[f'{self._team}/{self._service}']
        replicas = self._count_replicas()
        self._wait_for(
            'replicas run',
            lambda: self._read_status(service_id).running == replicas,
        )
        self._wait_for('entries know them', self._all_entries_serve)
        self._send_requests()
        job_id = ids_by_name[f'{self._team}/overnight']
        self._wait_for(
            'batch job ends',
            lambda: self._read_status(job_id).succeeded == TASKS,
        )
        self._check_results(job_id)
        self._check_explanations(job_id)
        self._print_output('status')
        self._print_output('report', 'burn')
        self._print_output('config', 'status')

    def _count_replicas(self):
        """Return the number of VMs in the service's shard."""
        spec = self._deployment.spec['deployment']
        shards = spec.get('shards', 1)
        key = f'{self._team}/{self._service}'
        shard = ids.hash_to_shard(key, shards)
        return len(range(shard, spec['vms'], shards))

    def _set_configuration(self):
        weights = self._deployment.spec['weights']
        lines = ['[weights]']
        lines += [f'{name} = {value}' for name, value in weights.items()]
        name = f'{self._team}/{self._service}'
        lines += [f'[services."{name}"]', 'target_ms = 200']
        lines += ['target_ratio = 0.99', '']
        req = pb.ProposeConfigRequest(text='\n'.join(lines))
        self._call('ProposeConfig', req, pb.ProposeConfigResponse)
        _print_progress('configuration accepted')

    def _submit(self):
        """Submit all workloads by the command line; returns ids by name."""
        path = self._deployment.folder / 'workloads.toml'
        path.write_text(
            _WORKLOADS.format(
                team=self._team,
                service=self._service,
                replicas=self._count_replicas(),
                tasks=TASKS,
                steps=STEPS,
                seconds=_STEP_SECONDS,
            )
        )
        output = self._run_cli('submit', str(path), '--json')
        rows = json.loads(output)
        _print_progress(f'{len(rows)} workloads accepted')
        return {row['name']: row['id'] for row in rows}

    def _send_requests(self):
        began = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(_CALLER_THREADS) as pool:
            latencies = list(pool.map(self._send_request, range(REQUESTS)))
        total = time.monotonic() - began
        latencies.sort()
        _print_progress(
            f'{REQUESTS} requests through {len(self._clients)} entries in '
            f'{total:.1f} s, all answers right; median '
            f'{latencies[len(latencies) // 2] * 1000:.1f} ms, p99 '
            f'{latencies[len(latencies) * 99 // 100] * 1000:.1f} ms'
        )

    def _send_request(self, number):
        """Send a request and check its answer; returns its latency in seconds.

        :raises Mismatch: it fails or the answer differs
        """
        payload = _make_payload(number)
        req = callers_pb.CallRequest(
            id=ids.make_id(),
            service=f'{self._team}/{self._service}',
            repeatable=number % 2 == 0,
            deadline_ms=10_000,
            payload=payload,
        )
        client = self._clients[number % len(self._clients)]
        began = time.monotonic()
        answer = client.call(
            'portwharf.v1.CallerService', 'Call', req, callers_pb.CallResponse
        )
        if answer.is_err():
            raise Mismatch(f'request {number}: {answer.err_value}')
        response = answer.ok_value
        expected = programs.answer_request(req.service, payload)
        if response.id != req.id or bytes(response.payload) != expected:
            raise Mismatch(f'request {number}: {response}')
        return time.monotonic() - began

    def _check_results(self, job_id):
        req = pb.ListTasksRequest(workload_id=job_id)
        listed = self._call('ListTasks', req, pb.ListTasksResponse)
        for task in listed.tasks:
            seed = int(task.id.rpartition('.')[2])
            expected = str(programs.compute_task(seed, STEPS)).encode()
            if bytes(task.result) != expected:
                raise Mismatch(f'task {task.id}: {task.result}')
        _print_progress(f'{len(listed.tasks)} task results, all right')

    def _check_explanations(self, job_id):
        """Explain a task that ran and a job that was refused."""
        self._print_output('explain', f'{job_id}.0')
        refused = self._deployment.folder / 'refused.toml'
        refused.write_text(_REFUSED_WORKLOAD.format(team=self._team))
        code = self._try_cli('submit', str(refused)).returncode
        if code != 1:
            raise Mismatch(
                f'submit of a job too large for any VM: exit code {code}'
            )
        self._print_output('explain', f'{self._team}/too-large')

    def _read_status(self, workload_id):
        listed = self._call(
            'ListWorkloads',
            pb.ListWorkloadsRequest(),
            pb.ListWorkloadsResponse,
        )
        for status in listed.workloads:
            if status.id == workload_id:
                return status
        raise Mismatch(f'workload {workload_id} is not listed')

    def _all_entries_serve(self):
        """Return whether requests succeed through every entry."""
        for number in range(len(self._clients)):
            try:
                self._send_request(number)
            except Mismatch:
                return False
        return True

    def _call(self, method, req, answer_class):
        answer = self._clients[0].call(
            _OPERATOR_SERVICE, method, req, answer_class
        )
        if answer.is_err():
            raise Mismatch(f'{method}: {answer.err_value}')
        return answer.ok_value

    def _print_output(self, *arguments):
        print(f'$ portwharf {" ".join(arguments)}', flush=True)
        print(self._run_cli(*arguments), flush=True)

    def _run_cli(self, *arguments):
        process = self._try_cli(*arguments)
        if process.returncode:
            raise Mismatch(f'{arguments}: {process.stderr}')
        return process.stdout

    def _try_cli(self, *arguments):
        binary = pathlib.Path(sys.executable).parent / 'portwharf'
        return subprocess.run(
            [
                binary,
                *arguments,
                '--entry',
                ','.join(self._deployment.entries),
            ],
            capture_output=True,
            text=True,
            check=False,
        )

    def _wait_for(self, condition, is_met):
        deadline = time.monotonic() + _WAIT_SECONDS
        began = time.monotonic()
        while not is_met():
            if time.monotonic() > deadline:
                raise Mismatch(f'timed out: {condition}')
            time.sleep(0.2)
        _print_progress(f'{condition}, after {time.monotonic() - began:.1f} s')


def main():
    """Run the deployment file that the first argument names."""
    with tempfile.TemporaryDirectory(prefix='portwharf-') as folder:
        began = time.monotonic()
        with launcher.Deployment(sys.argv[1], folder) as deployment:
            _print_progress(f'deployment up, {time.monotonic() - began:.1f} s')
            try:
                Demo(deployment).run()
            except Mismatch as exc:
                print(f'MISMATCH: {exc}', file=sys.stderr)
                return 1
        _print_progress(f'done, {time.monotonic() - began:.1f} s')
    return 0


def _make_payload(number):
    value = {
        'frame_mm': 130 + number % 17,
        'face_mm': 128 + number % 13,
        'bridge_mm': 16 + number % 5,
        'nose_mm': 15 + number % 7,
        'stage_cm': number * 7 % 900,
        'alert_cm': 400,
        'flood_cm': 700,
    }
    return json.dumps(value).encode()


def _parse_endpoint(endpoint):
    address, _, port = endpoint.rpartition(':')
    return address, int(port)


def _print_progress(text):
    print(f'-- {text}', flush=True)


_WORKLOADS = """\
[[workload]]
name = "{service}"
team = "{team}"
kind = "service"
program = "serve"
count = {replicas}
importance = 900
resources = {{ cpu_milli = 4000, memory_mb = 8000 }}

[[workload]]
name = "overnight"
team = "{team}"
kind = "batch"
program = "surface-plan"
argument = "{steps} {seconds}"
count = {tasks}
importance = 100
run_seconds = 10
deadline_seconds = 3600
checkpointable = true
resources = {{ cpu_milli = 3000, memory_mb = 4000 }}

[[workload]]
name = "stock-watch"
team = "{team}"
kind = "standing"
program = "watch"
importance = 500
resources = {{ cpu_milli = 500, memory_mb = 256 }}
"""

_REFUSED_WORKLOAD = """\
[[workload]]
name = "too-large"
team = "{team}"
kind = "batch"
program = "surface-plan"
resources = {{ cpu_milli = 640000, memory_mb = 4000 }}
"""

if __name__ == '__main__':
    sys.exit(main())
