# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The ``portwharf`` binary: ``serve`` on entry VMs, else a client."""

import dataclasses
import signal
import sys

import cappa

from portwharf.core import logs
from portwharf.entry import calling
from portwharf.entry import cluster_commands
from portwharf.entry import commands
from portwharf.entry import jobfile
from portwharf.entry import settings


@cappa.command(name='serve')
@dataclasses.dataclass
class Serve:
    """Run an entry until SIGTERM, then stop without cutting calls off.

    Example: portwharf serve /etc/portwharf/entry.toml
    """

    settings: str

    def __call__(self):
        # The client commands must not wait for what only this one needs.
        from portwharf.entry import process

        read = settings.read_settings(self.settings)
        if read.is_err():
            calling.fail_with_problems(read.err_value)
        cfg = read.ok_value
        logs.set_up(cfg.log_style, cfg.log_level)
        logs.end_on_crash()
        entry = process.EntryProcess(cfg)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: entry.stop())
        with entry:
            entry.wait()


@cappa.command(name='check-settings')
@dataclasses.dataclass
class CheckSettings:
    """Check a settings file or a file of workloads; find every error.

    What the file is for is told by its tables: [entry], [vm] (of a side)
    or [[workload]].

    Example: portwharf check-settings entry.toml
    """

    file: str

    def __call__(self):
        read = _read_any(self.file)
        if read.is_err():
            calling.fail_with_problems(read.err_value)
        print(f'{self.file}: good')


@cappa.command(name='portwharf')
@dataclasses.dataclass
class Portwharf:
    """Latency-critical services and batch work on the same VMs."""

    command: cappa.Subcommands[
        Serve
        | CheckSettings
        | commands.Submit
        | commands.Jobs
        | commands.Services
        | commands.Tasks
        | commands.Cancel
        | commands.Scale
        | commands.Call
        | commands.Explain
        | cluster_commands.Config
        | cluster_commands.Status
        | cluster_commands.Report
    ]


def _read_any(path):
    try:
        with open(path) as source:
            text = source.read()
    except (OSError, UnicodeDecodeError):
        text = ''
    if '[[workload]]' in text:
        return jobfile.read_file(path)
    if '[vm]' in text:
        # Found only where the side is installed as well.
        from portwharf.side import settings as side_settings

        return side_settings.read_settings(path)
    return settings.read_settings(path)


def main():
    """Run the subcommand that the command line names."""
    cappa.invoke(Portwharf)
    sys.exit(0)
