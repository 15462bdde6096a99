# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The operators' commands about the cluster: configuration, state, reports.

Each is a client of the RPC.
"""

import dataclasses
import pathlib
import sys
import typing

import cappa

from portwharf.entry import calling
from portwharf.entry import delay_commands
from portwharf.entry import pictures
from portwharf.entry import tables
from portwharf.v1 import operators_pb as pb


@cappa.command(name='get')
@dataclasses.dataclass
class ConfigGet:
    """Print the accepted configuration; its revision is on line one.

    Example: portwharf config get > current.toml
    """

    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        got = calling.call_entry(
            self.entry,
            'GetConfig',
            pb.GetConfigRequest(),
            pb.GetConfigResponse,
        )
        if self.json:
            calling.print_json(got)
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
    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        try:
            text = pathlib.Path(self.file).read_text()
        except (OSError, UnicodeDecodeError) as exc:
            print(f'{self.file}: cannot be read: {exc}', file=sys.stderr)
            sys.exit(calling.EXIT_USAGE)
        req = pb.ProposeConfigRequest(base_revision=self.base, text=text)
        made = calling.call_entry(
            self.entry, 'ProposeConfig', req, pb.ProposeConfigResponse
        )
        if self.json:
            calling.print_json(made)
            return
        print(f'accepted as revision {made.revision}')


@cappa.command(name='status')
@dataclasses.dataclass
class ConfigStatus:
    """Show which revision each process acts by.

    Example: portwharf config status
    """

    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        got = calling.call_entry(
            self.entry,
            'ConfigStatus',
            pb.ConfigStatusRequest(),
            pb.ConfigStatusResponse,
        )
        if self.json:
            calling.print_json(got)
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

    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        got = calling.call_entry(
            self.entry,
            'ClusterStatus',
            pb.ClusterStatusRequest(),
            pb.ClusterStatusResponse,
        )
        if self.json:
            calling.print_json(got)
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
    entry: calling.Entry = ''
    json: calling.Json = False

    def __call__(self):
        got = calling.call_entry(
            self.entry,
            'BurnReport',
            pb.BurnReportRequest(),
            pb.BurnReportResponse,
        )
        if self.json:
            calling.print_json(got)
            return
        if self.picture:
            drawn = pictures.draw_burn(got.services, self.picture)
            if drawn.is_err():
                calling.fail_with_problems([drawn.err_value])
            print(f'drawn: {self.picture}')
            return
        tables.print_table(
            ('SERVICE', 'TARGET', 'WINDOW', 'REQUESTS', 'BAD', 'BURN', 'LEFT'),
            [row for one in got.services for row in _list_burn(one)],
        )


@cappa.command(name='report')
@dataclasses.dataclass
class Report:
    """Reports on services and jobs."""

    command: cappa.Subcommands[Burn | delay_commands.Delays]


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
