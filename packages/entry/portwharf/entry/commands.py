# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The operators' commands about work: each a client of the RPC."""

import dataclasses
import json
import sys
import typing

import cappa

from portwharf.core import ids
from portwharf.entry import calling
from portwharf.entry import jobfile
from portwharf.entry import tables
from portwharf.operators import convert
from portwharf.v1 import callers_pb
from portwharf.v1 import operators_pb as pb

_CALLERS = 'portwharf.v1.CallerService'


@cappa.command(name='submit')
@dataclasses.dataclass
class Submit:
    """Submit the workloads of a TOML file.

    The whole file is checked before anything is sent. Sending it again
    makes nothing twice: the key, or team and name, tell.

    Example: portwharf submit surfacing.toml --entry 10.0.0.5:7000
    """

    file: str
    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        read = jobfile.read_file(self.file)
        if read.is_err():
            calling.fail_with_problems(read.err_value)
        rows = [self._submit(one) for one in read.ok_value]
        if self.json:
            print(json.dumps(rows))
            return
        for row in rows:
            verb = 'accepted' if row['created'] else 'was there already'
            print(f'{row["name"]}: {verb}, id {row["id"]}')

    def _submit(self, one):
        req = pb.CreateWorkloadRequest(
            workload=convert.write_workload(one.workload), key=one.key
        )
        made = calling.call_entry(
            self.entry, 'CreateWorkload', req, pb.CreateWorkloadResponse
        )
        return {
            'name': one.workload.key,
            'id': made.id,
            'created': made.created,
        }


@cappa.command(name='jobs')
@dataclasses.dataclass
class Jobs:
    """List batch jobs and standing tasks.

    Example: portwharf jobs --team lens
    """

    team: typing.Annotated[str, cappa.Arg(long='--team')] = ''
    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        _list(self, (pb.Kind.BATCH, pb.Kind.STANDING))


@cappa.command(name='services')
@dataclasses.dataclass
class Services:
    """List services.

    Example: portwharf services --json
    """

    team: typing.Annotated[str, cappa.Arg(long='--team')] = ''
    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        _list(self, (pb.Kind.SERVICE,))


@cappa.command(name='tasks')
@dataclasses.dataclass
class Tasks:
    """List the tasks of a workload.

    Example: portwharf tasks 0-0190a7d4-...
    """

    workload: str
    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        req = pb.ListTasksRequest(workload_id=self.workload)
        listed = calling.call_entry(
            self.entry, 'ListTasks', req, pb.ListTasksResponse
        )
        if self.json:
            calling.print_json(listed)
            return
        tables.print_table(
            ('TASK', 'STATE', 'ATTEMPT', 'VM', 'EVICTED', 'RESULT'),
            [
                (
                    task.id,
                    task.state,
                    task.attempt,
                    task.vm or '-',
                    task.evictions,
                    bytes(task.result).decode(errors='replace')[:40] or '-',
                )
                for task in listed.tasks
            ],
        )


@cappa.command(name='cancel')
@dataclasses.dataclass
class Cancel:
    """Cancel a workload by its id; what has ended stays as it is.

    Example: portwharf cancel 0-0190a7d4-...
    """

    workload: str
    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        req = pb.CancelWorkloadRequest(id=self.workload)
        done = calling.call_entry(
            self.entry, 'CancelWorkload', req, pb.CancelWorkloadResponse
        )
        if self.json:
            calling.print_json(done)
            return
        print(f'cancelled: {done.cancelled} tasks had not ended')


@cappa.command(name='scale')
@dataclasses.dataclass
class Scale:
    """Change a workload's count, its importance, or both.

    Example: portwharf scale 0-0190a7d4-... --count 12
    """

    workload: str
    count: typing.Annotated[int, cappa.Arg(long='--count')] = 0
    importance: typing.Annotated[int, cappa.Arg(long='--importance')] = -1
    entry: calling.Entry = ''

    def __call__(self):
        listed = calling.call_entry(
            self.entry,
            'ListWorkloads',
            pb.ListWorkloadsRequest(),
            pb.ListWorkloadsResponse,
        )
        known = [s for s in listed.workloads if s.id == self.workload]
        if not known:
            print(f'not_found: id: {self.workload}', file=sys.stderr)
            sys.exit(calling.EXIT_REFUSED)
        workload = known[0].workload
        if self.count > 0:
            workload.count = self.count
        if self.importance >= 0:
            workload.importance = self.importance
        req = pb.UpdateWorkloadRequest(id=self.workload, workload=workload)
        calling.call_entry(
            self.entry, 'UpdateWorkload', req, pb.UpdateWorkloadResponse
        )
        print('changed')


@cappa.command(name='call')
@dataclasses.dataclass
class Call:
    """Send one request to a service and print the answer.

    Exit code 0 answered, 1 failed or not run, 3 unknown.

    Example: portwharf call lens/fit-check --payload '{"bridge_mm": 18}'
    """

    service: str
    payload: typing.Annotated[str, cappa.Arg(long='--payload')] = ''
    id: typing.Annotated[
        str,
        cappa.Arg(
            long='--id', help='UUID version 7 of a request sent before.'
        ),
    ] = ''
    once: typing.Annotated[
        bool, cappa.Arg(long='--once', help='It must run at most once.')
    ] = False
    deadline_ms: typing.Annotated[int, cappa.Arg(long='--deadline-ms')] = 5000
    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        req = callers_pb.CallRequest(
            id=self.id or ids.make_id(),
            service=self.service,
            repeatable=not self.once,
            deadline_ms=self.deadline_ms,
            sent_before=bool(self.id),
            payload=self.payload.encode(),
        )
        done = calling.call_entry(
            self.entry, 'Call', req, callers_pb.CallResponse, _CALLERS
        )
        if self.json:
            calling.print_json(done)
        else:
            print(f'{done.outcome.name.lower()} {done.reason} {done.advice}')
            print(bytes(done.payload).decode(errors='replace'))
        sys.exit(_CALL_EXITS[done.outcome])


_CALL_EXITS = {
    callers_pb.Outcome.ANSWERED: 0,
    callers_pb.Outcome.NOT_RUN: calling.EXIT_REFUSED,
    callers_pb.Outcome.FAILED: calling.EXIT_REFUSED,
    callers_pb.Outcome.UNKNOWN: calling.EXIT_UNREACHABLE,
}


@cappa.command(name='explain')
@dataclasses.dataclass
class Explain:
    """Tell what was decided about a workload or task, and why.

    Takes an id, or "team/name" of a workload that was refused.

    Example: portwharf explain 0-0190a7d4-....3
    """

    id: str
    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        req = pb.ExplainRequest(id=self.id)
        found = calling.call_entry(
            self.entry, 'Explain', req, pb.ExplainResponse
        )
        if self.json:
            calling.print_json(found)
            return
        print(f'{found.subject}: {found.state}')
        for decision in found.decisions:
            _print_decision(decision)


def _list(command, kinds):
    req = pb.ListWorkloadsRequest(team=command.team)
    listed = calling.call_entry(
        command.entry, 'ListWorkloads', req, pb.ListWorkloadsResponse
    )
    chosen = [s for s in listed.workloads if s.workload.kind in kinds]
    if command.json:
        calling.print_json(pb.ListWorkloadsResponse(workloads=chosen))
        return
    tables.print_table(
        ('ID', 'WORKLOAD', 'KIND', 'WAITING', 'RUNNING', 'DONE', 'FAILED'),
        [
            (
                one.id,
                f'{one.workload.team}/{one.workload.name}',
                one.workload.kind.name.lower(),
                one.waiting,
                one.running,
                one.succeeded,
                one.failed,
            )
            for one in chosen
        ],
    )


def _print_decision(decision):
    when = tables.format_time(decision.unix_ms)
    print(f'{when}  {decision.reason}  {decision.subject}')
    if decision.vm:
        parts = ', '.join(f'{p.name} {p.value:.3f}' for p in decision.score)
        print(f'    on {decision.vm}' + (f' (score: {parts})' * bool(parts)))
    for refusal in decision.refusals:
        print(f'    {refusal.workers} workers refused: {refusal.reason}')
    if decision.detail:
        print(f'    {decision.detail}')
    if decision.advice:
        print(f'    what you can do: {decision.advice}')
