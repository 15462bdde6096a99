# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Operator commands for workloads and tasks, and ``call`` for services.

Each command is a client of the operator or the caller RPC.
"""

import dataclasses
import json
import sys
import typing

import cappa

from portwharf.core import ids
from portwharf.entry import cli
from portwharf.entry import tables
from portwharf.entry import workload_file
from portwharf.operators import convert
from portwharf.v1 import callers_pb
from portwharf.v1 import operators_pb as pb

_CALLER_SERVICE = 'portwharf.v1.CallerService'


@cappa.command(name='submit')
@dataclasses.dataclass
class Submit:
    """Submit the workloads of a TOML file.

    The whole file is checked before anything is sent. Submitting it again
    creates no duplicates: the key, or else team and name, identifies a
    workload.

    Example: portwharf submit surfacing.toml --entry 10.0.0.5:7000
    """

    file: str
    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        read = workload_file.read_file(self.file)
        if read.is_err():
            cli.exit_with_problems(read.err_value)
        rows = [self._submit(declared) for declared in read.ok_value]
        if self.json:
            print(json.dumps(rows))
            return
        for row in rows:
            verb = 'accepted' if row['created'] else 'was there already'
            print(f'{row["name"]}: {verb}, id {row["id"]}')

    def _submit(self, declared):
        req = pb.CreateWorkloadRequest(
            workload=convert.write_workload(declared.workload),
            key=declared.key,
        )
        created = cli.call_entry(
            self.entry, 'CreateWorkload', req, pb.CreateWorkloadResponse
        )
        return {
            'name': declared.workload.key,
            'id': created.id,
            'created': created.created,
        }


@cappa.command(name='jobs')
@dataclasses.dataclass
class Jobs:
    """List batch jobs and standing tasks.

    Example: portwharf jobs --team lens
    """

    team: typing.Annotated[str, cappa.Arg(long='--team')] = ''
    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        _print_workloads(self, (pb.Kind.BATCH, pb.Kind.STANDING))


@cappa.command(name='services')
@dataclasses.dataclass
class Services:
    """List services.

    Example: portwharf services --json
    """

    team: typing.Annotated[str, cappa.Arg(long='--team')] = ''
    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        _print_workloads(self, (pb.Kind.SERVICE,))


@cappa.command(name='tasks')
@dataclasses.dataclass
class Tasks:
    """List the tasks of a workload.

    Example: portwharf tasks 0-0190a7d4-...
    """

    workload: str
    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        req = pb.ListTasksRequest(workload_id=self.workload)
        listed = cli.call_entry(
            self.entry, 'ListTasks', req, pb.ListTasksResponse
        )
        if self.json:
            cli.print_json(listed)
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
    """Cancel the unfinished tasks of a workload.

    Example: portwharf cancel 0-0190a7d4-...
    """

    workload: str
    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        req = pb.CancelWorkloadRequest(id=self.workload)
        answer = cli.call_entry(
            self.entry, 'CancelWorkload', req, pb.CancelWorkloadResponse
        )
        if self.json:
            cli.print_json(answer)
            return
        print(f'cancelled: {answer.cancelled} tasks had not ended')


@cappa.command(name='scale')
@dataclasses.dataclass
class Scale:
    """Change the count or the importance of a workload, or both.

    Example: portwharf scale 0-0190a7d4-... --count 12
    """

    workload: str
    count: typing.Annotated[int, cappa.Arg(long='--count')] = 0
    importance: typing.Annotated[int, cappa.Arg(long='--importance')] = -1
    entry: cli.EntryOption = ''

    def __call__(self):
        listed = cli.call_entry(
            self.entry,
            'ListWorkloads',
            pb.ListWorkloadsRequest(),
            pb.ListWorkloadsResponse,
        )
        matching = [s for s in listed.workloads if s.id == self.workload]
        if not matching:
            print(f'not_found: id: {self.workload}', file=sys.stderr)
            sys.exit(cli.EXIT_REFUSED)
        workload = matching[0].workload
        if self.count > 0:
            workload.count = self.count
        if self.importance >= 0:
            workload.importance = self.importance
        req = pb.UpdateWorkloadRequest(id=self.workload, workload=workload)
        cli.call_entry(
            self.entry, 'UpdateWorkload', req, pb.UpdateWorkloadResponse
        )
        print('changed')


@cappa.command(name='call')
@dataclasses.dataclass
class Call:
    """Send one request to a service and print the answer.

    Exit codes: 0 answered, 1 failed or not run, 3 unknown.

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
    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        req = callers_pb.CallRequest(
            id=self.id or ids.make_id(),
            service=self.service,
            repeatable=not self.once,
            deadline_ms=self.deadline_ms,
            sent_before=bool(self.id),
            payload=self.payload.encode(),
        )
        reply = cli.call_entry(
            self.entry, 'Call', req, callers_pb.CallResponse, _CALLER_SERVICE
        )
        if self.json:
            cli.print_json(reply)
        else:
            print(
                f'{reply.outcome.name.lower()} {reply.reason} {reply.advice}'
            )
            print(bytes(reply.payload).decode(errors='replace'))
        sys.exit(_CALL_EXIT_CODES[reply.outcome])


_CALL_EXIT_CODES = {
    callers_pb.Outcome.ANSWERED: 0,
    callers_pb.Outcome.NOT_RUN: cli.EXIT_REFUSED,
    callers_pb.Outcome.FAILED: cli.EXIT_REFUSED,
    callers_pb.Outcome.UNKNOWN: cli.EXIT_UNREACHABLE,
}


@cappa.command(name='explain')
@dataclasses.dataclass
class Explain:
    """Show the decisions about a workload or task and their reasons.

    Takes an id, or "team/name" for a workload that was refused.

    Example: portwharf explain 0-0190a7d4-....3
    """

    id: str
    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        req = pb.ExplainRequest(id=self.id)
        found = cli.call_entry(self.entry, 'Explain', req, pb.ExplainResponse)
        if self.json:
            cli.print_json(found)
            return
        print(f'{found.subject}: {found.state}')
        for decision in found.decisions:
            _print_decision(decision)


def _print_workloads(command, kinds):
    """List the workloads of some kinds, as a table or as JSON."""
    req = pb.ListWorkloadsRequest(team=command.team)
    listed = cli.call_entry(
        command.entry, 'ListWorkloads', req, pb.ListWorkloadsResponse
    )
    statuses = [s for s in listed.workloads if s.workload.kind in kinds]
    if command.json:
        cli.print_json(pb.ListWorkloadsResponse(workloads=statuses))
        return
    tables.print_table(
        ('ID', 'WORKLOAD', 'KIND', 'WAITING', 'RUNNING', 'DONE', 'FAILED'),
        [
            (
                status.id,
                f'{status.workload.team}/{status.workload.name}',
                status.workload.kind.name.lower(),
                status.waiting,
                status.running,
                status.succeeded,
                status.failed,
            )
            for status in statuses
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
