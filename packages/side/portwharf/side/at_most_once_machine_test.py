# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Homes, rosters and callers in any order: nothing runs twice.

A machine of ``hypothesis`` over the real classes, and the rules that it, or a
walk by hand, finds missing.
"""

import collections
import contextlib
import io
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from portwharf.core import clock
from portwharf.core import data
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import rosters
from portwharf.scheduler import state
from portwharf.side import admission
from portwharf.side import at_most_once
from portwharf.side import at_most_once_test
from portwharf.testing import fixtures

NAMES = [f'vm-{number}' for number in range(4)]


class SkewedClock(clock.ManualClock):
    """A clock that is set a little wrong."""

    def __init__(self, true, wrong_ms):
        super().__init__()
        self._true = true
        self._wrong_ms = wrong_ms

    def read_unix_ms(self):
        return self._true.read_unix_ms() + self._wrong_ms


class HomeMachine(stateful.RuleBasedStateMachine):
    """Homes, rosters and callers in any order; the runs are the judge."""

    def __init__(self):
        super().__init__()
        self.true = clock.ManualClock()
        self.guards = {name: at_most_once_test.FakeGuard() for name in NAMES}
        self.homes = {}
        self.clocks = {}
        for number, name in enumerate(NAMES):
            self.clocks[name] = SkewedClock(self.true, 250 * (number - 1))
            self.boot(name)
        self.state = state.ShardState()
        vms = [data.Vm(name) for name in NAMES]
        self.state.apply(events.OwnerChanged(1, 'vm-0', vms))
        workload = fixtures.make_workload(
            name='order', kind=data.Kind.SERVICE, count=4
        )
        self.state.apply(
            events.WorkloadAccepted('0-a', 'lens/order', 1, workload)
        )
        for number, name in enumerate(NAMES):
            self.state.apply(events.TaskPlaced(f'0-a.{number}', 1, name))
        self.keeper = rosters.RosterKeeper(self.state)
        self.closed = set()
        self.ids = []
        self.runs = collections.Counter()
        self.waiting = []
        self.settle()
        self.true.advance(10)

    def boot(self, name):
        """Start a side; its memory is empty."""
        self.homes[name] = at_most_once.AtMostOncePolicy(
            name, self.guards[name], self.clocks[name]
        )

    def follow(self):
        """Let the owner look once."""
        views = [
            vmview.VmView(
                data.Vm(name),
                closed='unreachable' if name in self.closed else '',
            )
            for name in NAMES
        ]
        event, _ = self.keeper.follow(
            views,
            self.true.read_unix_ms(),
            lambda name: not self.guards[name].granted,
        )
        if event is not None:
            self.state.apply(event)

    def tell(self, name):
        """Let a side that has a grant hear of the rosters, and answer."""
        if self.guards[name].granted:
            self.homes[name].take_update(self.keeper.make_update(), 1)
            self.keeper.note_ack(name, self.homes[name].seq)

    def settle(self):
        """Let all hear of everything."""
        for _ in range(3):
            self.follow()
            for name in NAMES:
                self.tell(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def hear(self, name):
        """One side hears from the owner."""
        self.follow()
        self.tell(name)
        self.press()

    @stateful.rule()
    def hear_all(self):
        """All sides hear."""
        self.settle()
        self.press()

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        heard=strategies.sets(strategies.sampled_from(NAMES)),
        acknowledged=strategies.booleans(),
    )
    def change_roster(self, name, heard, acknowledged):
        """A VM goes or comes back, and some sides hear the end of it."""
        self.closed ^= {name}
        if len(self.closed) == len(NAMES):
            self.closed.clear()
        self.follow()
        for one in NAMES if acknowledged else ():
            self.tell(one)
        self.follow()
        for one in sorted(heard):
            self.tell(one)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def lose_grant(self, name):
        """A side's grant runs out."""
        self.guards[name].granted = False

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def regain_grant(self, name):
        """A side hears from the owner again, with the news."""
        self.guards[name].granted = True
        self.tell(name)
        self.press()

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def restart(self, name):
        """A side restarts and hears from the owner."""
        self.boot(name)
        self.tell(name)
        self.press()

    @stateful.rule(seconds=strategies.sampled_from((0.5, 1.5, 4.0)))
    def pass_time(self, seconds):
        """Time goes by."""
        self.true.advance(seconds)
        self.press()

    @stateful.rule(
        order=strategies.permutations(NAMES),
        wrong_ms=strategies.integers(-900, 900),
        asked=strategies.integers(1, len(NAMES)),
        at_once=strategies.booleans(),
    )
    def send(self, order, wrong_ms, asked, at_once):
        """A caller sends a new request, and again by other entries."""
        made_ms = self.true.read_unix_ms() + wrong_ms
        request = at_most_once_test.make_id(made_ms, len(self.ids))
        self.ids.append(request)
        self.send_to(order[:asked], request, False, at_once)

    def press(self):
        """The caller sends its latest requests again, to all sides."""
        for request in self.ids[-2:]:
            self.send_to(NAMES, request, True, True)

    def send_to(self, names, request, sent_before, at_once):
        """Ask some sides, and have their runners go on or not."""
        for name in names:
            self.ask(name, request, sent_before)
            sent_before = True
            if at_once:
                self.run_waiting()

    def ask(self, name, request, sent_before):
        """Ask a side; the queue before the runner may hold it up."""
        verdict = self.homes[name].admit(
            request, at_most_once_test.SERVICE, sent_before
        )
        if verdict is None:
            self.waiting.append((self.homes[name], request))
        elif sent_before and verdict.outcome == data.Outcome.NOT_RUN:
            assert not self.runs[request], 'called not run, but it ran'

    @stateful.rule()
    def run_waiting(self):
        """The runners take what waits."""
        for made, request in self.waiting:
            if made not in self.homes.values():
                continue
            if made.may_run_now(request, at_most_once_test.SERVICE):
                self.runs[request] += 1
                made.record(request, at_most_once_test.ANSWERED)
            else:
                made.record(request, admission.Verdict(reason='changed'))
        self.waiting = []

    @stateful.invariant()
    def check(self):
        """No request has run twice."""
        assert all(count <= 1 for count in self.runs.values()), self.runs


def run_machine():
    """Run the machine, the same way each time."""
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=100,
        stateful_step_count=30,
        suppress_health_check=list(hypothesis.HealthCheck),
        print_blob=False,
    )
    stateful.run_state_machine_as_test(HomeMachine, settings=settings)


def test_any_order_runs_nothing_twice(case):
    run_machine()


def send_many(machine):
    """Send new requests to all sides, some seconds after the changes."""
    machine.true.advance(4)
    for serial in range(40):
        request = at_most_once_test.make_id(
            machine.true.read_unix_ms(), serial
        )
        machine.send_to(NAMES, request, False, True)
    machine.check()


def walk_past_an_unheard_end():
    """One side has not heard that the roster it acknowledged is in force."""
    machine = HomeMachine()
    machine.closed = {NAMES[3]}
    machine.follow()
    for name in NAMES:
        machine.tell(name)
    machine.follow()
    for name in NAMES[:3]:
        machine.tell(name)
    send_many(machine)


def walk_past_an_unheard_change():
    """One side has not heard of a change at all, and holds a grant."""
    machine = HomeMachine()
    machine.closed = {NAMES[3]}
    for _ in range(3):
        machine.follow()
        for name in NAMES[:3]:
            machine.tell(name)
    send_many(machine)


def catches(run, cls, name, replacement):
    """Tell whether a run fails when a rule is replaced."""
    with mock.patch.object(cls, name, replacement):
        try:
            with contextlib.redirect_stdout(io.StringIO()):
                run()
        except Exception:
            return True
    return False


def test_each_rule_is_needed(case):
    """Deliberate faults: each makes a request run twice."""
    check = at_most_once.AtMostOncePolicy._check

    def ignore_former(self, *arguments):
        found = check(self, *arguments)
        return '' if found == at_most_once.REASON_FORMER_HOME else found

    faults = {
        'former homes ignored': (
            run_machine,
            at_most_once.AtMostOncePolicy,
            '_check',
            ignore_former,
        ),
        'no memory': (
            run_machine,
            at_most_once.AtMostOncePolicy,
            'record',
            _forget,
        ),
        'pending rosters ignored': (
            walk_past_an_unheard_end,
            at_most_once.AtMostOncePolicy,
            '_is_current_home',
            lambda self, request, service: True,
        ),
        'pending rosters put in force at once': (
            walk_past_an_unheard_change,
            rosters.RosterKeeper,
            '_conclude',
            _conclude_at_once,
        ),
    }
    for name, fault in faults.items():
        with case.subTest(name):
            fault[0]()
            case.assertTrue(catches(*fault))


def _conclude_at_once(self, now_ms, has_lapsed):
    roster = data.Roster(self._pending.seq, now_ms, self._pending.services)
    self._pending = None
    return events.RosterChanged(roster), True


def _forget(self, request, verdict):
    with self._lock:
        self._known.pop(request, None)
