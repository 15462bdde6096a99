# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What the client commands share: the call to an entry, and how it ends.

Exit codes: 0 done, 1 refused or failed, 2 the command line or a file is
wrong, 3 no entry could be reached or the outcome is unknown.
"""

import os
import sys
import typing

import cappa

from portwharf import operators

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3

SERVICE = 'portwharf.v1.OperatorService'
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


def call_entry(entry, method, req, answer_class, service=SERVICE):
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
