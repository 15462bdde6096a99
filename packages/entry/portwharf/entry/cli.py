# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Options, RPC calls and exit codes shared by the client commands.

Exit codes: 0 success, 1 refused or failed, 2 invalid command line or file,
3 no entry reachable or outcome unknown.
"""

import os
import sys
import typing

import cappa

from portwharf import operators

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3

OPERATOR_SERVICE = 'portwharf.v1.OperatorService'
_ENTRY_VARIABLE = 'PORTWHARF_ENTRY'
_UNREACHABLE_CODES = ('unavailable', 'unknown', 'deadline_exceeded')

EntryOption = typing.Annotated[
    str,
    cappa.Arg(
        long='--entry',
        default=cappa.Default(cappa.Env(_ENTRY_VARIABLE)),
        help='IP:PORT of an entry, several with commas between; '
        f'else the variable {_ENTRY_VARIABLE}.',
    ),
]
JsonOption = typing.Annotated[
    bool, cappa.Arg(long='--json', help='Print JSON for programs.')
]


def call_entry(entry, method, req, answer_class, service=OPERATOR_SERVICE):
    """Call an entry and return the answer.

    Prints the error and exits if the call fails.
    """
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
    """Parse IP:PORT[,IP:PORT...].

    Falls back to the environment variable if ``entry`` is empty. Prints the
    error and exits if an address is malformed.

    :returns: list of (IP address, port)
    """
    addresses = []
    for part in (entry or os.environ.get(_ENTRY_VARIABLE, '')).split(','):
        address, colon, port = part.strip().rpartition(':')
        if not colon or not port.isdecimal():
            print(
                f'--entry: must be IP:PORT, not {part!r}; '
                f'or set {_ENTRY_VARIABLE}',
                file=sys.stderr,
            )
            sys.exit(EXIT_USAGE)
        addresses.append((address, int(port)))
    return addresses


def print_json(message):
    """Print a schema message as JSON."""
    print(message.to_json())


def exit_with_problems(problems):
    """Print the problems found in a file, and exit."""
    for problem in problems:
        print(problem.describe(), file=sys.stderr)
    sys.exit(EXIT_USAGE)
