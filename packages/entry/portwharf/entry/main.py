# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The ``portwharf`` binary.

``serve`` runs an entry; the other commands are clients of a running entry,
and ``check-settings`` works on files alone.
"""

import dataclasses
import signal
import sys

import cappa

from portwharf.core import logs
from portwharf.entry import cli
from portwharf.entry import cluster_commands
from portwharf.entry import settings
from portwharf.entry import workload_commands
from portwharf.entry import workload_file


@cappa.command(name='serve')
@dataclasses.dataclass
class Serve:
    """Run an entry until SIGTERM, then drain and stop.

    Example: portwharf serve /etc/portwharf/entry.toml
    """

    settings: str

    def __call__(self):
        # Imported here so that client commands start quickly.
        from portwharf.entry import process

        read = settings.read_settings(self.settings)
        if read.is_err():
            cli.exit_with_problems(read.err_value)
        cfg = read.ok_value
        logs.set_up(cfg.log_style, cfg.log_level)
        logs.exit_on_thread_exception()
        entry = process.EntryProcess(cfg)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: entry.stop())
        with entry:
            entry.wait()


@cappa.command(name='check-settings')
@dataclasses.dataclass
class CheckSettings:
    """Check a settings file or a workload file, and list all errors.

    The tables in the file tell its type: [entry] for an entry, [vm] for a
    side, [[workload]] for workloads.

    Example: portwharf check-settings entry.toml
    """

    file: str

    def __call__(self):
        read = _read_any(self.file)
        if read.is_err():
            cli.exit_with_problems(read.err_value)
        print(f'{self.file}: good')


@cappa.command(name='portwharf')
@dataclasses.dataclass
class Portwharf:
    """Schedule latency-critical services and batch work on shared VMs."""

    command: cappa.Subcommands[
        Serve
        | CheckSettings
        | workload_commands.Submit
        | workload_commands.Jobs
        | workload_commands.Services
        | workload_commands.Tasks
        | workload_commands.Cancel
        | workload_commands.Scale
        | workload_commands.Call
        | workload_commands.Explain
        | cluster_commands.Config
        | cluster_commands.Status
        | cluster_commands.Report
    ]


def _read_any(path):
    """Read a file with the reader for its type."""
    try:
        with open(path) as source:
            text = source.read()
    except (OSError, UnicodeDecodeError):
        text = ''
    if '[[workload]]' in text:
        return workload_file.read_file(path)
    if '[vm]' in text:
        # The side is an optional package on entry VMs.
        from portwharf.side import settings as side_settings

        return side_settings.read_settings(path)
    return settings.read_settings(path)


def main():
    """Run the subcommand that the command line names."""
    cappa.invoke(Portwharf)
    sys.exit(0)
