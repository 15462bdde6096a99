# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A task that hardly works moves to where it would, and only then."""

import dataclasses

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import events
from portwharf.scheduler import presses
from portwharf.scheduler import rehoming
from portwharf.scheduler import state
from portwharf.scheduler import vmview

ID = '5c0e7a21d94b36f8'
TASK = f'{ID}.0.0.0'
SIZE = data.Resources(4000, 1000)


@dataclasses.dataclass(slots=True)
class View:
    """What a link knows of its side."""

    paced: list


@dataclasses.dataclass(slots=True)
class Link:
    """A link to a side."""

    name: str
    view: View


def make_state(**fields):
    """Return a state with a filling task on vm-1."""
    values = {'resources': SIZE, 'fills': True, 'image': 'plan', **fields}
    step = data.Workload(count=1, **values)
    made = state.ShardState()
    made.apply(events.JobAccepted(1, data.Job(ID, steps=[step])))
    made.apply(events.TaskPlaced(TASK, 1, 'vm-1'))
    return made


def find_stuck(percent, began=0.0, now=10.0, **fields):
    """Return what is stuck when the task works at a share."""
    link = Link('vm-1', View([messages.PacedTask(TASK, 1, percent)]))
    made = make_state(**fields)
    return rehoming.find_stuck(made, [link], lambda _: began, now)


def make_view(name='vm-2', **fields):
    """Return a view of a VM that is clear."""
    view = vmview.VmView(data.Vm(name), data.Resources(16000, 64000))
    view.pairs = presses.Presses()
    for field, value in fields.items():
        setattr(view, field, value)
    return view


def test_member_of_a_gang_stays_with_the_others(case):
    case.assertEqual(find_stuck(3, gang=True), [])


def test_task_that_hardly_works_goes_to_a_clear_vm(case):
    moved = rehoming.choose_moves(find_stuck(3), [make_view()])
    case.assertEqual([task.id for task in moved], [TASK])


def test_task_at_work_stays(case):
    case.assertEqual(find_stuck(60), [])


def test_task_that_has_just_begun_stays(case):
    case.assertEqual(find_stuck(3, began=9.5), [])


def test_nothing_moves_where_it_would_work_no_better(case):
    view = make_view(headrooms={'desk': 0.1})
    case.assertEqual(rehoming.choose_moves(find_stuck(3), [view]), [])


def test_nothing_moves_to_a_full_closed_or_unsuitable_vm(case):
    views = [
        make_view(filling_milli=14000),
        make_view(closed='unreachable'),
        make_view('vm-1'),
        make_view(capacity=data.Resources(16000, 500)),
    ]
    case.assertEqual(rehoming.choose_moves(find_stuck(3), views), [])


def test_nothing_moves_beside_a_server_whose_room_is_unknown(case):
    """By the log something serves there, and its side has not told of room.

    So it is while a server is new, and between the first heartbeat of a
    side that has restarted and its next.
    """
    view = make_view()
    view.count_fill(data.Workload(resources=SIZE, image='desk', target_ms=20))
    case.assertEqual(rehoming.choose_moves(find_stuck(3), [view]), [])
