# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The ``portwharf-side`` command, one process for each endpoint VM."""

import dataclasses
import signal
import sys

import cappa

from portwharf.core import logs
from portwharf.side import process
from portwharf.side import settings

EXIT_BAD_SETTINGS = 2


@cappa.command(name='portwharf-side')
@dataclasses.dataclass
class Arguments:
    """Run the side process of one endpoint VM.

    Example: portwharf-side /etc/portwharf/side.toml
    """

    settings: str
    """Path of the TOML settings file."""


def main():
    """Run until SIGTERM or SIGINT, then shut down gracefully."""
    arguments = cappa.parse(Arguments)
    read = settings.read_settings(arguments.settings)
    if read.is_err():
        for problem in read.err_value:
            print(problem.describe(), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    cfg = read.ok_value
    logs.set_up(cfg.log_style, cfg.log_level)
    logs.exit_on_thread_exception()
    side = process.SideProcess(cfg)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: side.stop())
    with side:
        side.wait()
