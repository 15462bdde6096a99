# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Mutation testing of the random walks (``make mutants``).

The mutants are those of the tests that call
``faults_test.check_fault_detected``, which name a function, its faulty
replacement and a test that fails with it. This program applies each mutant
without that test, and reports the first seed on which a random walk fails. It
stops with an error if a replaced function no longer exists.
"""

import argparse
import dataclasses
import inspect
import logging
import sys
import unittest
from unittest import mock

from portwharf.platform import runner_walk_test
from portwharf.scheduler import faults_test
from portwharf.testing import suite
from portwharf.testing import walk


@dataclasses.dataclass(slots=True)
class Mutant:
    """A deliberate fault.

    :param name: name of the test that injects it
    :param place: the class or module whose ``attribute`` is replaced
    """

    name: str = ''
    place: object = None
    attribute: str = ''
    replacement: object = None

    def apply(self):
        """Return a context manager that applies the mutant."""
        return mock.patch.object(self.place, self.attribute, self.replacement)


def collect_mutants():
    """Return the mutants of all tests that inject faults."""
    mutants = []
    for path in suite.find_modules():
        text = path.name + path.read_text()
        if 'faults_test' not in text:
            continue
        mutants += _collect_module(suite.import_module(path))
    return mutants


def _collect_module(module):
    """Return the mutants of a module's tests without running the checks."""
    mutants = []

    def record_mutant(case, test, place, attribute, replacement):
        mutants.append(Mutant(name, place, attribute, replacement))

    for name, function in inspect.getmembers(module, inspect.isfunction):
        if not name.startswith('test_') or not _injects_fault(function):
            continue
        with mock.patch.object(
            faults_test, 'check_fault_detected', record_mutant
        ):
            imports_check = 'check_fault_detected' in vars(module)
            target = module if imports_check else faults_test
            with mock.patch.object(
                target, 'check_fault_detected', record_mutant
            ):
                function(unittest.TestCase())
    return mutants


def _injects_fault(function):
    """Return whether a test injects a fault without patching by itself."""
    source = inspect.getsource(function)
    return 'check_fault_detected(' in source and 'mock.patch' not in source


def make_walk(seed):
    """Return a walk of the cluster with every kind of step enabled."""
    return walk.Walk(seed, more=True, births=True, jobs=True)


def find_failing_seed(seeds, walk_factory):
    """Return the first seed whose walk fails, or None.

    Any exception counts: a fault may first violate an invariant that the
    code itself asserts.
    """
    for seed in range(seeds):
        try:
            walk_factory(seed).run()
        except Exception:
            return seed
    return None


def find_seed_by_cluster_walk(mutant, seeds):
    """Return the first seed whose cluster walk detects a mutant, or None."""
    with mutant.apply():
        return find_failing_seed(seeds, make_walk)


def find_seed_by_runner_walk(mutant):
    """Return the seed whose walk of the runner client detects it, or None."""
    with mutant.apply():
        try:
            failure = runner_walk_test.walk_all()
        except Exception:
            return 0
    return failure[0] if failure is not None else None


def format_row(mutant, cluster_seed, runner_seed):
    """Format a row of the table."""
    place = getattr(mutant.place, '__name__', '').rpartition('.')[2]
    rule = f'{place}.{mutant.attribute}'
    seeds = ['' if one is None else one for one in (cluster_seed, runner_seed)]
    return f'| {mutant.name} | {rule} | {seeds[0]} | {seeds[1]} |'


def main():
    """Run the chosen range of mutants and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=200)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--last', type=int, default=None)
    arguments = parser.parse_args()
    logging.getLogger().addHandler(logging.NullHandler())
    mutants = collect_mutants()[arguments.first : arguments.last]
    undetected = 0
    for mutant in mutants:
        cluster_seed = find_seed_by_cluster_walk(mutant, arguments.seeds)
        runner_seed = find_seed_by_runner_walk(mutant)
        undetected += cluster_seed is None and runner_seed is None
        print(format_row(mutant, cluster_seed, runner_seed), flush=True)
    print(f'{len(mutants)} rules taken out, {undetected} found by no walk')
    return 0


if __name__ == '__main__':
    sys.exit(main())
