# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The operators' command line: each subcommand a client of the RPC.

Exit codes: 0 done, 1 refused or failed, 2 the command line or a file is
wrong, 3 no entry could be reached or the outcome is unknown.
"""

import dataclasses
import json
import os
import pathlib
import sys
import typing

import cappa

from portwharf.core import ids
from portwharf.entry import jobfile
from portwharf.entry import pictures
from portwharf.entry import tables
from portwharf import operators
from portwharf.operators import convert
from portwharf.v1 import callers_pb
from portwharf.v1 import operators_pb as pb

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3

_SERVICE = 'portwharf.v1.OperatorService'
_CALLERS = 'portwharf.v1.CallerService'
_ENTRY_VARIABLE = 'PORTWHARF_ENTRY'
_UNREACHABLE_CODES = ('unavailable', 'unknown', 'deadline_exceeded')

Entry = typing.Annotated[
    str,
    cappa.Arg(
        long='--entry',
        default=cappa.Default(cappa.Env(_ENTRY_VARIABLE)),
        help='IP:PORT of an entry, several with commas between; '
        f'else the variable {_ENTRY_VARIABLE}.',
    ),
]
Json = typing.Annotated[
    bool, cappa.Arg(long='--json', help='Print JSON for programs.')
]


def call_entry(entry, method, req, answer_class, service=_SERVICE):
    """Make one call, or print why it failed and exit."""
    client = operators.Client(read_addresses(entry))
    answer = client.call(service, method, req, answer_class)
    if answer.is_ok():
        return answer.ok_value
    error = answer.err_value
    print(f'{error.code}: {error.text}', file=sys.stderr)
    if error.code in _UNREACHABLE_CODES:
        sys.exit(EXIT_UNREACHABLE)
    sys.exit(EXIT_REFUSED)


def read_addresses(entry):
    """Return (IP number, port) pairs of IP:PORT[,IP:PORT...]."""
    pairs = []
    for part in (entry or os.environ.get(_ENTRY_VARIABLE, '')).split(','):
        address, colon, port = part.strip().rpartition(':')
        if not colon or not port.isdigit():
            print(
                f'--entry: must be IP:PORT, not {part!r}; '
                f'or set {_ENTRY_VARIABLE}',
                file=sys.stderr,
            )
            sys.exit(EXIT_USAGE)
        pairs.append((address, int(port)))
    return pairs


def print_json(message):
    """Print a schema message as JSON."""
    print(message.to_json())


def fail_with_problems(problems):
    """Print what is wrong with a file, and exit."""
    for problem in problems:
        print(problem.describe(), file=sys.stderr)
    sys.exit(EXIT_USAGE)


@cappa.command(name='submit')
@dataclasses.dataclass
class Submit:
    """Submit the workloads of a TOML file.

    The whole file is checked before anything is sent. Sending it again
    makes nothing twice: the key, or team and name, tell.

    Example: portwharf submit surfacing.toml --entry 10.0.0.5:7000
    """

    file: str
    entry: Entry = ''
    json: Json = False

    def __call__(self):
        read = jobfile.read_file(self.file)
        if read.is_err():
            fail_with_problems(read.err_value)
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
        made = call_entry(
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
    entry: Entry = ''
    json: Json = False

    def __call__(self):
        _list(self, (pb.Kind.BATCH, pb.Kind.STANDING))


@cappa.command(name='services')
@dataclasses.dataclass
class Services:
    """List services.

    Example: portwharf services --json
    """

    team: typing.Annotated[str, cappa.Arg(long='--team')] = ''
    entry: Entry = ''
    json: Json = False

    def __call__(self):
        _list(self, (pb.Kind.SERVICE,))


@cappa.command(name='tasks')
@dataclasses.dataclass
class Tasks:
    """List the tasks of a workload.

    Example: portwharf tasks 0-0190a7d4-...
    """

    workload: str
    entry: Entry = ''
    json: Json = False

    def __call__(self):
        req = pb.ListTasksRequest(workload_id=self.workload)
        listed = call_entry(self.entry, 'ListTasks', req, pb.ListTasksResponse)
        if self.json:
            print_json(listed)
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
    entry: Entry = ''
    json: Json = False

    def __call__(self):
        req = pb.CancelWorkloadRequest(id=self.workload)
        done = call_entry(
            self.entry, 'CancelWorkload', req, pb.CancelWorkloadResponse
        )
        if self.json:
            print_json(done)
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
    entry: Entry = ''

    def __call__(self):
        listed = call_entry(
            self.entry,
            'ListWorkloads',
            pb.ListWorkloadsRequest(),
            pb.ListWorkloadsResponse,
        )
        known = [s for s in listed.workloads if s.id == self.workload]
        if not known:
            print(f'not_found: id: {self.workload}', file=sys.stderr)
            sys.exit(EXIT_REFUSED)
        workload = known[0].workload
        if self.count > 0:
            workload.count = self.count
        if self.importance >= 0:
            workload.importance = self.importance
        req = pb.UpdateWorkloadRequest(id=self.workload, workload=workload)
        call_entry(
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
    entry: Entry = ''
    json: Json = False

    def __call__(self):
        req = callers_pb.CallRequest(
            id=self.id or ids.make_id(),
            service=self.service,
            repeatable=not self.once,
            deadline_ms=self.deadline_ms,
            sent_before=bool(self.id),
            payload=self.payload.encode(),
        )
        done = call_entry(
            self.entry, 'Call', req, callers_pb.CallResponse, _CALLERS
        )
        if self.json:
            print_json(done)
        else:
            print(f'{done.outcome.name.lower()} {done.reason} {done.advice}')
            print(bytes(done.payload).decode(errors='replace'))
        sys.exit(_CALL_EXITS[done.outcome])


_CALL_EXITS = {
    callers_pb.Outcome.ANSWERED: 0,
    callers_pb.Outcome.NOT_RUN: EXIT_REFUSED,
    callers_pb.Outcome.FAILED: EXIT_REFUSED,
    callers_pb.Outcome.UNKNOWN: EXIT_UNREACHABLE,
}


@cappa.command(name='explain')
@dataclasses.dataclass
class Explain:
    """Tell what was decided about a workload or task, and why.

    Takes an id, or "team/name" of a workload that was refused.

    Example: portwharf explain 0-0190a7d4-....3
    """

    id: str
    entry: Entry = ''
    json: Json = False

    def __call__(self):
        req = pb.ExplainRequest(id=self.id)
        found = call_entry(self.entry, 'Explain', req, pb.ExplainResponse)
        if self.json:
            print_json(found)
            return
        print(f'{found.subject}: {found.state}')
        for decision in found.decisions:
            _print_decision(decision)


@cappa.command(name='get')
@dataclasses.dataclass
class ConfigGet:
    """Print the accepted configuration; its revision is on line one.

    Example: portwharf config get > current.toml
    """

    entry: Entry = ''
    json: Json = False

    def __call__(self):
        got = call_entry(
            self.entry,
            'GetConfig',
            pb.GetConfigRequest(),
            pb.GetConfigResponse,
        )
        if self.json:
            print_json(got)
            return
        print(f'# revision {got.revision}')
        print(got.text, end='')


@cappa.command(name='set')
@dataclasses.dataclass
class ConfigSet:
    """Make a file the configuration, if nobody changed it meanwhile.

    Example: portwharf config set current.toml --base 17
    """

    file: str
    base: typing.Annotated[
        int, cappa.Arg(long='--base', help='Revision that was changed.')
    ] = 0
    entry: Entry = ''
    json: Json = False

    def __call__(self):
        try:
            text = pathlib.Path(self.file).read_text()
        except (OSError, UnicodeDecodeError) as exc:
            print(f'{self.file}: cannot be read: {exc}', file=sys.stderr)
            sys.exit(EXIT_USAGE)
        req = pb.ProposeConfigRequest(base_revision=self.base, text=text)
        made = call_entry(
            self.entry, 'ProposeConfig', req, pb.ProposeConfigResponse
        )
        if self.json:
            print_json(made)
            return
        print(f'accepted as revision {made.revision}')


@cappa.command(name='status')
@dataclasses.dataclass
class ConfigStatus:
    """Show which revision each process acts by.

    Example: portwharf config status
    """

    entry: Entry = ''
    json: Json = False

    def __call__(self):
        got = call_entry(
            self.entry,
            'ConfigStatus',
            pb.ConfigStatusRequest(),
            pb.ConfigStatusResponse,
        )
        if self.json:
            print_json(got)
            return
        print(f'accepted revision: {got.revision}')
        tables.print_table(
            ('PROCESS', 'REVISION', 'IN FORCE'),
            [
                (
                    one.process,
                    one.revision,
                    'yes' if one.revision == got.revision else 'not yet',
                )
                for one in got.processes
            ],
        )


@cappa.command(name='config')
@dataclasses.dataclass
class Config:
    """Read, change and follow the configuration."""

    command: cappa.Subcommands[ConfigGet | ConfigSet | ConfigStatus]


@cappa.command(name='status')
@dataclasses.dataclass
class Status:
    """Show shards, their owners, and VMs.

    Example: portwharf status
    """

    entry: Entry = ''
    json: Json = False

    def __call__(self):
        got = call_entry(
            self.entry,
            'ClusterStatus',
            pb.ClusterStatusRequest(),
            pb.ClusterStatusResponse,
        )
        if self.json:
            print_json(got)
            return
        tables.print_table(
            ('SHARD', 'OWNER', 'EPOCH', 'LOG', 'WAITING', 'RUNNING'),
            [
                (s.shard, s.owner, s.epoch, s.log_length, s.waiting, s.running)
                for s in got.shards
            ],
        )
        print()
        tables.print_table(
            ('VM', 'ZONE', 'RACK', 'STATE', 'CAPACITY', 'RESERVED', 'TASKS'),
            [
                (
                    vm.name,
                    vm.availability_zone,
                    vm.rack,
                    vm.state,
                    tables.format_size(vm.capacity),
                    tables.format_size(vm.reserved),
                    vm.tasks,
                )
                for vm in got.vms
            ],
        )


@cappa.command(name='burn')
@dataclasses.dataclass
class Burn:
    """Show how fast services use up their error budgets.

    Example: portwharf report burn --picture burn.png
    """

    picture: typing.Annotated[
        str, cappa.Arg(long='--picture', help='Draw it into this file.')
    ] = ''
    entry: Entry = ''
    json: Json = False

    def __call__(self):
        got = call_entry(
            self.entry,
            'BurnReport',
            pb.BurnReportRequest(),
            pb.BurnReportResponse,
        )
        if self.json:
            print_json(got)
            return
        if self.picture:
            drawn = pictures.draw_burn(got.services, self.picture)
            if drawn.is_err():
                fail_with_problems([drawn.err_value])
            print(f'drawn: {self.picture}')
            return
        tables.print_table(
            ('SERVICE', 'TARGET', 'WINDOW', 'REQUESTS', 'BAD', 'BURN', 'LEFT'),
            [row for one in got.services for row in _list_burn(one)],
        )


@cappa.command(name='report')
@dataclasses.dataclass
class Report:
    """Reports on services."""

    command: cappa.Subcommands[Burn]


def _list_burn(one):
    target = f'{one.target_ratio:.3%} in {one.target_ms} ms'
    return [
        (
            one.service,
            target,
            f'{window.window_seconds} s',
            window.requests,
            window.late_or_failed,
            f'{window.burn_rate:.2f}',
            f'{one.budget_left:.1%}',
        )
        for window in one.windows
    ]


def _list(command, kinds):
    req = pb.ListWorkloadsRequest(team=command.team)
    listed = call_entry(
        command.entry, 'ListWorkloads', req, pb.ListWorkloadsResponse
    )
    chosen = [s for s in listed.workloads if s.workload.kind in kinds]
    if command.json:
        print_json(pb.ListWorkloadsResponse(workloads=chosen))
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
