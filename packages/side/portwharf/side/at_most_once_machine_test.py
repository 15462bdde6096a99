# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Random walks over sides, rosters and callers: nothing runs twice.

A ``hypothesis`` state machine runs the real classes. A second test removes
each safety rule in turn, and checks that the machine, or a fixed sequence of
steps, detects it.
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
    """A clock with a constant offset."""

    def __init__(self, true_clock, offset_ms):
        super().__init__()
        self._true_clock = true_clock
        self._offset_ms = offset_ms

    def read_unix_ms(self):
        return self._true_clock.read_unix_ms() + self._offset_ms


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    """Sides, rosters and callers in any order; counts each request's runs."""

    def __init__(self):
        super().__init__()
        self.true_clock = clock.ManualClock()
        self.guards = {name: at_most_once_test.FakeGuard() for name in NAMES}
        self.policies = {}
        self.clocks = {}
        for number, name in enumerate(NAMES):
            self.clocks[name] = SkewedClock(
                self.true_clock, 250 * (number - 1)
            )
            self.start_side(name)
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
        self.true_clock.advance(10)

    def start_side(self, name):
        """Start a side process, which has no memory of earlier requests."""
        self.policies[name] = at_most_once.AtMostOncePolicy(
            name, self.guards[name], self.clocks[name]
        )

    def follow(self):
        """Let the owner update its pending roster."""
        views = [
            vmview.VmView(
                data.Vm(name),
                closed='unreachable' if name in self.closed else '',
            )
            for name in NAMES
        ]
        event, _ = self.keeper.update(
            views,
            self.true_clock.read_unix_ms(),
            lambda name: not self.guards[name].granted,
        )
        if event is not None:
            self.state.apply(event)

    def update_side(self, name):
        """Send the rosters to a side with a grant, and take its reply."""
        if self.guards[name].granted:
            self.policies[name].take_update(self.keeper.make_update(), 1)
            self.keeper.record_ack(name, self.policies[name].seq)

    def settle(self):
        """Let the owner and all sides agree on the rosters."""
        for _ in range(3):
            self.follow()
            for name in NAMES:
                self.update_side(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def hear(self, name):
        """One side gets the rosters."""
        self.follow()
        self.update_side(name)
        self.resend()

    @stateful.rule()
    def hear_all(self):
        """All sides get the rosters."""
        self.settle()
        self.resend()

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        heard=strategies.sets(strategies.sampled_from(NAMES)),
        acknowledged=strategies.booleans(),
    )
    def change_roster(self, name, heard, acknowledged):
        """A VM leaves or returns, and only some sides learn of the result."""
        self.closed ^= {name}
        if len(self.closed) == len(NAMES):
            self.closed.clear()
        self.follow()
        for one in NAMES if acknowledged else ():
            self.update_side(one)
        self.follow()
        for one in sorted(heard):
            self.update_side(one)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def lose_grant(self, name):
        """A side's grant expires."""
        self.guards[name].granted = False

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def regain_grant(self, name):
        """A side gets a new grant, and the rosters."""
        self.guards[name].granted = True
        self.update_side(name)
        self.resend()

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def restart(self, name):
        """A side restarts, and gets the rosters."""
        self.start_side(name)
        self.update_side(name)
        self.resend()

    @stateful.rule(seconds=strategies.sampled_from((0.5, 1.5, 4.0)))
    def pass_time(self, seconds):
        """Let time pass."""
        self.true_clock.advance(seconds)
        self.resend()

    @stateful.rule(
        order=strategies.permutations(NAMES),
        offset_ms=strategies.integers(-900, 900),
        asked=strategies.integers(1, len(NAMES)),
        at_once=strategies.booleans(),
    )
    def send(self, order, offset_ms, asked, at_once):
        """A caller sends a new request through several entries."""
        made_ms = self.true_clock.read_unix_ms() + offset_ms
        request = at_most_once_test.make_id(made_ms, len(self.ids))
        self.ids.append(request)
        self.send_to(order[:asked], request, False, at_once)

    def resend(self):
        """Send the latest requests again, to all sides."""
        for request in self.ids[-2:]:
            self.send_to(NAMES, request, True, True)

    def send_to(self, names, request, sent_before, at_once):
        """Send a request to some sides, and optionally run it at once."""
        for name in names:
            self.ask(name, request, sent_before)
            sent_before = True
            if at_once:
                self.run_waiting()

    def ask(self, name, request, sent_before):
        """Send a request to a side; an admitted one waits for the runner."""
        verdict = self.policies[name].admit(
            request, at_most_once_test.SERVICE, sent_before
        )
        if verdict is None:
            self.waiting.append((self.policies[name], request))
        elif sent_before and verdict.outcome == data.Outcome.NOT_RUN:
            assert not self.runs[request], 'called not run, but it ran'

    @stateful.rule()
    def run_waiting(self):
        """Run the requests that wait for the runners."""
        for policy, request in self.waiting:
            if policy not in self.policies.values():
                continue
            if policy.may_run_now(request, at_most_once_test.SERVICE):
                self.runs[request] += 1
                policy.record(request, at_most_once_test.ANSWERED)
            else:
                policy.record(request, admission.Verdict(reason='changed'))
        self.waiting = []

    @stateful.invariant()
    def check(self):
        """No request has run twice."""
        assert all(count <= 1 for count in self.runs.values()), self.runs


def run_machine():
    """Run the state machine, with the same walks each time."""
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=100,
        stateful_step_count=30,
        suppress_health_check=list(hypothesis.HealthCheck),
        print_blob=False,
    )
    stateful.run_state_machine_as_test(AtMostOnceMachine, settings=settings)


def test_any_order_runs_nothing_twice(case):
    run_machine()


def send_many(machine):
    """Send new requests to all sides, four seconds after a change."""
    machine.true_clock.advance(4)
    for serial in range(40):
        request = at_most_once_test.make_id(
            machine.true_clock.read_unix_ms(), serial
        )
        machine.send_to(NAMES, request, False, True)
    machine.check()


def miss_end_of_change():
    """A side does not learn that a roster it acknowledged is in force."""
    machine = AtMostOnceMachine()
    machine.closed = {NAMES[3]}
    machine.follow()
    for name in NAMES:
        machine.update_side(name)
    machine.follow()
    for name in NAMES[:3]:
        machine.update_side(name)
    send_many(machine)


def miss_whole_change():
    """A side with a grant does not learn of a change at all."""
    machine = AtMostOnceMachine()
    machine.closed = {NAMES[3]}
    for _ in range(3):
        machine.follow()
        for name in NAMES[:3]:
            machine.update_side(name)
    send_many(machine)


def detects(run, cls, name, replacement):
    """Tell whether a run fails a check when a function is replaced."""
    with mock.patch.object(cls, name, replacement):
        try:
            with contextlib.redirect_stdout(io.StringIO()):
                run()
        except AssertionError:
            return True
    return False


def test_each_rule_is_needed(case):
    """Each removed rule lets a request run twice."""
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
            miss_end_of_change,
            at_most_once.AtMostOncePolicy,
            '_is_current_home',
            lambda self, request, service: True,
        ),
        'pending rosters put in force at once': (
            miss_whole_change,
            rosters.RosterKeeper,
            '_commit_pending',
            _apply_at_once,
        ),
    }
    for name, fault in faults.items():
        with case.subTest(name):
            fault[0]()
            case.assertTrue(detects(*fault))


def _apply_at_once(self, now_ms, has_lapsed):
    roster = data.Roster(self._pending.seq, now_ms, self._pending.services)
    self._pending = None
    return events.RosterChanged(roster), True


def _forget(self, request, verdict):
    with self._lock:
        self._known.pop(request, None)
