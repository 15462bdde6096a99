# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Operator commands for configuration, cluster status and reports.

Each command is a client of the operator RPC.
"""

import dataclasses
import pathlib
import sys
import typing

import cappa

from portwharf.entry import charts
from portwharf.entry import cli
from portwharf.entry import delay_commands
from portwharf.entry import tables
from portwharf.v1 import operators_pb as pb

_LOAD_HEADERS = (
    'SHARD',
    'POOL',
    'WORK',
    'RATE',
    'BACKLOG',
    'SHORT',
    'REFUSED',
    'RETURNING',
    'OWED',
)


@cappa.command(name='get')
@dataclasses.dataclass
class ConfigGet:
    """Print the accepted configuration, with its revision on line one.

    Example: portwharf config get > current.toml
    """

    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        got = cli.call_entry(
            self.entry,
            'GetConfig',
            pb.GetConfigRequest(),
            pb.GetConfigResponse,
        )
        if self.json:
            cli.print_json(got)
            return
        print(f'# revision {got.revision}')
        print(got.text, end='')


@cappa.command(name='set')
@dataclasses.dataclass
class ConfigSet:
    """Replace the configuration by a file.

    Refused if the accepted revision is no longer --base.

    Example: portwharf config set current.toml --base 17
    """

    file: str
    base: typing.Annotated[
        int, cappa.Arg(long='--base', help='Revision that was changed.')
    ] = 0
    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        try:
            text = pathlib.Path(self.file).read_text()
        except (OSError, UnicodeDecodeError) as exc:
            print(f'{self.file}: cannot be read: {exc}', file=sys.stderr)
            sys.exit(cli.EXIT_USAGE)
        req = pb.ProposeConfigRequest(base_revision=self.base, text=text)
        proposed = cli.call_entry(
            self.entry, 'ProposeConfig', req, pb.ProposeConfigResponse
        )
        if self.json:
            cli.print_json(proposed)
            return
        print(f'accepted as revision {proposed.revision}')


@cappa.command(name='status')
@dataclasses.dataclass
class ConfigStatus:
    """Show the configuration revision in force in each process.

    Example: portwharf config status
    """

    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        got = cli.call_entry(
            self.entry,
            'ConfigStatus',
            pb.ConfigStatusRequest(),
            pb.ConfigStatusResponse,
        )
        if self.json:
            cli.print_json(got)
            return
        print(f'accepted revision: {got.revision}')
        tables.print_table(
            ('PROCESS', 'REVISION', 'IN FORCE'),
            [
                (
                    process.process,
                    process.revision,
                    'yes' if process.revision == got.revision else 'not yet',
                )
                for process in got.processes
            ],
        )


@cappa.command(name='config')
@dataclasses.dataclass
class Config:
    """Read, change and monitor the configuration."""

    command: cappa.Subcommands[ConfigGet | ConfigSet | ConfigStatus]


@cappa.command(name='status')
@dataclasses.dataclass
class Status:
    """Show shards with their owners, the load of pools, and VMs.

    Example: portwharf status
    """

    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        got = cli.call_entry(
            self.entry,
            'ClusterStatus',
            pb.ClusterStatusRequest(),
            pb.ClusterStatusResponse,
        )
        if self.json:
            cli.print_json(got)
            return
        tables.print_table(
            ('SHARD', 'OWNER', 'EPOCH', 'LOG', 'WAITING', 'RUNNING'),
            [
                (s.shard, s.owner, s.epoch, s.log_length, s.waiting, s.running)
                for s in got.shards
            ],
        )
        print()
        loads = [
            _format_load(s, one) for s in got.shards for one in s.capacity
        ]
        if loads:
            tables.print_table(_LOAD_HEADERS, loads)
            print()
        tables.print_table(
            ('VM', 'ZONE', 'RACK', 'STATE', 'CAPACITY', 'RESERVED', 'TASKS'),
            [
                (
                    vm.name,
                    vm.availability_zone,
                    vm.rack,
                    vm.state,
                    tables.format_resources(vm.capacity),
                    tables.format_resources(vm.reserved),
                    vm.tasks,
                )
                for vm in got.vms
            ],
        )


@cappa.command(name='burn')
@dataclasses.dataclass
class Burn:
    """Show the burn rates of the services' error budgets.

    Example: portwharf report burn --picture burn.png
    """

    picture: typing.Annotated[
        str, cappa.Arg(long='--picture', help='Draw it into this file.')
    ] = ''
    entry: cli.EntryOption = ''
    json: cli.JsonOption = False

    def __call__(self):
        got = cli.call_entry(
            self.entry,
            'BurnReport',
            pb.BurnReportRequest(),
            pb.BurnReportResponse,
        )
        if self.json:
            cli.print_json(got)
            return
        if self.picture:
            drawn = charts.draw_burn_chart(got.services, self.picture)
            if drawn.is_err():
                cli.exit_with_problems([drawn.err_value])
            print(f'drawn: {self.picture}')
            return
        tables.print_table(
            ('SERVICE', 'TARGET', 'WINDOW', 'REQUESTS', 'BAD', 'BURN', 'LEFT'),
            [
                row
                for service in got.services
                for row in _list_windows(service)
            ],
        )


@cappa.command(name='report')
@dataclasses.dataclass
class Report:
    """Reports on services and jobs."""

    command: cappa.Subcommands[Burn | delay_commands.Delays]


def _format_load(shard, capacity):
    """Return the table row of a capacity class of a shard."""
    return (
        shard.shard,
        capacity.pool,
        'filling' if capacity.fills else 'other',
        f'{capacity.rate_milli / 1000:g}cpu',
        f'{capacity.backlog_seconds}cpu-s',
        'yes' if capacity.is_short else 'no',
        capacity.refused,
        capacity.returning,
        ', '.join(capacity.owed) or '-',
    )


def _list_windows(service):
    """Return a table row for each burn window of a service."""
    target = f'{service.target_ratio:.3%} in {service.target_ms} ms'
    return [
        (
            service.service,
            target,
            f'{window.window_seconds} s',
            window.requests,
            window.late_or_failed,
            f'{window.burn_rate:.2f}',
            f'{service.budget_left:.1%}',
        )
        for window in service.windows
    ]
