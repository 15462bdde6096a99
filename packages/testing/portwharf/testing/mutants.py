# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which random walk finds a rule that is taken out, and after how many seeds.

The rules are those of the tests that bring about deliberate faults: each
names what it replaces and the test that fails without it. Here the test is
left out, and the walks alone have to find the fault. A replacement whose
place has moved ends the run by an error.
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
    """A rule that is taken out.

    :param name: of the test that brings the fault about
    :param place: the class or module, and ``attribute`` the rule's name
    """

    name: str = ''
    place: object = None
    attribute: str = ''
    replacement: object = None

    def apply(self):
        """Return what takes the rule out, as a context manager."""
        return mock.patch.object(self.place, self.attribute, self.replacement)


def collect_mutants():
    """Return the mutants of all tests that bring about faults."""
    found = []
    for path in suite.find_modules():
        text = path.name + path.read_text()
        if 'faults_test' not in text:
            continue
        found += _collect_module(suite.import_module(path))
    return found


def _collect_module(module):
    """Return the mutants of a module's tests, which are not run."""
    found = []

    def note(case, test, place, attribute, replacement):
        found.append(Mutant(name, place, attribute, replacement))

    for name, function in inspect.getmembers(module, inspect.isfunction):
        if not name.startswith('test_') or not _checks(function):
            continue
        with mock.patch.object(faults_test, 'check', note):
            own = 'check' in vars(module)
            target = module if own else faults_test
            with mock.patch.object(target, 'check', note):
                function(unittest.TestCase())
    return found


def _checks(function):
    """Tell whether a test brings a fault about and does nothing else."""
    source = inspect.getsource(function)
    return 'check(' in source and 'mock.patch' not in source


def make_walk(seed):
    """Return a walk of the cluster with all that there is."""
    return walk.Walk(seed, more=True, births=True, jobs=True)


def find_seed(seeds, make):
    """Return the first seed whose walk fails, or None.

    What a fault breaks first may be an invariant of the code itself.
    """
    for seed in range(seeds):
        try:
            make(seed).run()
        except Exception:
            return seed
    return None


def find_by_cluster(mutant, seeds):
    """Return the seed by which the walk of the cluster finds a mutant."""
    with mutant.apply():
        return find_seed(seeds, make_walk)


def find_by_runner(mutant):
    """Return the seed by which the walk of the runner's client does."""
    with mutant.apply():
        try:
            found = runner_walk_test.walk_all()
        except Exception:
            return 0
    return found[0] if found is not None else None


def describe(mutant, cluster_seed, runner_seed):
    """Return a row of the table."""
    place = getattr(mutant.place, '__name__', '').rpartition('.')[2]
    rule = f'{place}.{mutant.attribute}'
    seeds = ['' if one is None else one for one in (cluster_seed, runner_seed)]
    return f'| {mutant.name} | {rule} | {seeds[0]} | {seeds[1]} |'


def main():
    """Print the table for the mutants from one number to another."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=200)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--last', type=int, default=None)
    arguments = parser.parse_args()
    logging.getLogger().addHandler(logging.NullHandler())
    mutants = collect_mutants()[arguments.first : arguments.last]
    missed = 0
    for mutant in mutants:
        by_cluster = find_by_cluster(mutant, arguments.seeds)
        by_runner = find_by_runner(mutant)
        missed += by_cluster is None and by_runner is None
        print(describe(mutant, by_cluster, by_runner), flush=True)
    print(f'{len(mutants)} rules taken out, {missed} found by no walk')
    return 0


if __name__ == '__main__':
    sys.exit(main())
