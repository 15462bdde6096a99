# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Values survive a round trip, also between adjacent versions."""

import dataclasses

import hypothesis
from hypothesis import strategies
import msgpack

from portwharf.core import codec
from portwharf.core import data

WORKLOADS = strategies.builds(
    data.Workload,
    name=strategies.text(),
    team=strategies.text(),
    kind=strategies.integers(0, 3),
    resources=strategies.builds(
        data.Resources,
        strategies.integers(0, 2**32),
        strategies.integers(0, 2**32),
        strategies.integers(0, 64),
    ),
    count=strategies.integers(0, 2**32),
    urgent=strategies.booleans(),
    argument=strategies.binary(),
)


@dataclasses.dataclass(slots=True)
class Newer:
    """A later version of ``data.Problem``, with other fields."""

    code: str = ''
    field: str = ''
    severity: int = 0


@dataclasses.dataclass(slots=True)
class Tree:
    """A value that contains lists."""

    name: str = ''
    vms: list[data.Vm] = dataclasses.field(default_factory=list)
    words: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Share:
    """A value that contains a fraction."""

    share: float = 0.0


def test_any_workload_survives_a_round_trip(case):
    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(WORKLOADS)
    def check(workload):
        raw = codec.pack(workload)
        case.assertEqual(codec.unpack(data.Workload, raw), workload)

    check()


def test_lists_survive_a_round_trip(case):
    tree = Tree('x', [data.Vm('a'), data.Vm('b', port=5)], ['one'])
    case.assertEqual(codec.unpack(Tree, codec.pack(tree)), tree)


def test_default_values_take_no_bytes(case):
    case.assertEqual(codec.to_map(data.Workload(name='x')), {'name': 'x'})


def test_unknown_field_is_skipped(case):
    raw = codec.pack(Newer('gone', 'x', 3))
    case.assertEqual(
        codec.unpack(data.Problem, raw), data.Problem('gone', 'x')
    )


def test_missing_field_keeps_its_default(case):
    raw = codec.pack(data.Problem('gone', 'x', 'y'))
    case.assertEqual(codec.unpack(Newer, raw), Newer('gone', 'x', 0))


def test_wrong_type_is_refused(case):
    raw = msgpack.packb({'name': 5})
    with case.assertRaisesRegex(ValueError, 'not a Workload'):
        codec.unpack(data.Workload, raw)


def test_list_of_another_type_is_refused(case):
    for words in ('one', {'one': 1}, ['one', 5], [b'one'], [['one']], None):
        with case.assertRaises(ValueError, msg=words):
            codec.unpack(Tree, msgpack.packb({'words': words}))


def test_truth_value_is_no_number(case):
    for fields in ({'count': True}, {'resources': {'cpu_milli': False}}):
        with case.assertRaises(ValueError, msg=fields):
            codec.unpack(data.Workload, msgpack.packb(fields))
    with case.assertRaises(ValueError):
        codec.unpack(Share, msgpack.packb({'share': True}))
    case.assertEqual(codec.unpack(Share, msgpack.packb({'share': 1})).share, 1)


def test_wrong_shape_is_refused(case):
    for value in (5, [], {'resources': 7}, {'resources': []}):
        with case.assertRaises(ValueError):
            codec.unpack(data.Workload, msgpack.packb(value))


def test_any_bytes_are_decoded_or_refused(case):
    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(strategies.binary(max_size=64))
    def check(raw):
        try:
            codec.unpack(Tree, raw)
        except ValueError:
            pass

    check()
