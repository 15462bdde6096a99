# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Who takes a silent owner's place, and who does not."""

from portwharf.core import clock
from portwharf.core import ids
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler import configuration
from portwharf.scheduler import environment
from portwharf.scheduler import guard
from portwharf.scheduler import limits
from portwharf.scheduler import takeover
from portwharf.scheduler import zones
from portwharf.testing import fixtures

LIMITS = limits.Limits()
VMS = [fixtures.make_vm(number) for number in range(5)]
FIRST = ids.rank_by_rendezvous('0', [vm.name for vm in VMS[1:]])[0]


class FakeConn:
    """A connection to a member that answers as a test says."""

    def __init__(self, answer):
        self._answer = answer
        self._greeted = False
        self.idle = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        pass

    def set_idle(self, seconds):
        """Note the bound on waiting."""
        self.idle.append(seconds)

    def send(self, message):
        """Take a message."""

    def receive(self):
        """Greet, then answer."""
        if not self._greeted:
            self._greeted = True
            return messages.Hello(role='side')
        if callable(self._answer):
            return self._answer()
        if self._answer is None:
            raise streams.PeerError('silent for too long')
        return self._answer


class Bench:
    """A watcher on the first in line, of a shard that vm-00 owns."""

    def __init__(self, answers):
        """Take a map of member to answer."""
        self.kv, _ = fixtures.make_store()
        takeover.found_shard(self.kv, 0, 'vm-00', VMS)
        self.clock = clock.ManualClock()
        self.guard = guard.Guard(self.clock, LIMITS)
        self.conns = []
        self.answers = answers
        env = environment.Environment(
            name=FIRST,
            clock=self.clock,
            limits=LIMITS,
            dial=self.dial,
            keeper=configuration.ConfigKeeper(),
            kv=self.kv,
            zones=zones.ZoneKeeper(self.clock),
        )
        self.watcher = takeover.Watcher(env, self.guard, self.kv)
        self.claims = []
        self.watcher._start_owner = self.claims.append
        self.watcher._load_members()
        self.guard.accept_owner(1, 'vm-00')

    def dial(self, vm):
        """Connect to a member."""
        if vm.name not in self.answers:
            raise streams.PeerError('cannot reach')
        conn = FakeConn(self.answers[vm.name])
        self.conns.append(conn)
        return conn

    def look(self, silence):
        """Let the owner be silent for a while, then look once."""
        self.clock.advance(silence)
        if self.watcher._is_our_turn():
            self.watcher._take_over()
        return bool(self.claims)


def answer(hears):
    """Return a member's answer."""
    return messages.OwnerAnswer(1, hears)


def make_answers(hears, *names):
    """Return the same answer of some members."""
    others = [vm.name for vm in VMS if vm.name not in ('vm-00', FIRST)]
    return {name: answer(hears) for name in names or others}


def test_first_in_line_follows_a_silent_owner(case):
    bench = Bench(make_answers(False))
    case.assertFalse(bench.look(LIMITS.takeover - 0.1))
    case.assertTrue(bench.look(0.2))
    case.assertTrue(bench.claims[0].is_ok())


def lose_owner(bench):
    """Hear the owner for a while, and then its connection's end."""
    bench.clock.advance(10 * LIMITS.takeover)
    bench.guard.accept_owner(1, 'vm-00')
    bench.guard.note_lost()


def test_owner_whose_connection_ended_is_not_waited_for_as_long(case):
    bench = Bench(make_answers(False))
    lose_owner(bench)
    case.assertFalse(bench.look(guard.REDIAL_SECONDS - 0.1))
    case.assertTrue(bench.look(0.2))


def test_owner_that_dials_again_is_followed_on(case):
    bench = Bench(make_answers(False))
    lose_owner(bench)
    bench.clock.advance(guard.REDIAL_SECONDS - 0.1)
    bench.guard.accept_owner(1, 'vm-00')
    case.assertFalse(bench.look(LIMITS.takeover - 0.2))


def test_side_that_is_cut_off_alone_leaves_the_shard(case):
    bench = Bench(make_answers(True))
    case.assertFalse(bench.look(LIMITS.takeover + 0.1))


def test_minority_waits_much_longer(case):
    bench = Bench({})
    case.assertFalse(bench.look(LIMITS.takeover + 0.1))
    lonely = LIMITS.takeover * takeover.ISOLATED_FACTOR
    case.assertTrue(bench.look(lonely))


def test_paused_members_are_not_waited_for(case):
    answers = make_answers(False)
    paused = next(iter(answers))
    answers[paused] = None
    bench = Bench(answers)
    case.assertTrue(bench.look(LIMITS.takeover + 0.1))
    for conn in bench.conns:
        case.assertEqual(max(conn.idle[-1:]), takeover.QUERY_TIMEOUT_SECONDS)


def test_owner_that_is_heard_while_asking_is_followed(case):
    """Before, each that had asked took the shard from the one before."""
    bench = Bench(make_answers(False))

    def be_taken():
        bench.guard.accept_owner(2, 'vm-03')
        return answer(False)

    bench.answers[next(iter(bench.answers))] = be_taken
    case.assertFalse(bench.look(LIMITS.takeover + 0.1))


class RestartedBench(Bench):
    """A watcher on the first of all in line, whose process has restarted."""

    def __init__(self, answers):
        """Take a map of member to answer."""
        super().__init__(answers)
        first = ids.rank_by_rendezvous('0', [vm.name for vm in VMS])[0]
        self.guard = guard.Guard(self.clock, LIMITS)
        self.watcher._guard = self.guard
        self.watcher._env.name = first
        self.watcher._load_members()

    def look_at_once(self):
        """Look before any silence could be too long."""
        if self.watcher._is_first_after_restart():
            self.watcher._take_over_all_restarted()
        return bool(self.claims)


def unheard(*, but=()):
    """Return the answers of all others, that no owner was heard."""
    return {
        vm.name: messages.OwnerAnswer(1, False, False, vm.name not in but)
        for vm in VMS
    }


def test_after_power_loss_everywhere_nobody_is_waited_for(case):
    bench = RestartedBench(unheard())
    case.assertTrue(bench.look_at_once())
    case.assertTrue(bench.claims[0].is_ok())


def test_one_that_heard_an_owner_since_is_enough_to_wait(case):
    for one in VMS:
        bench = RestartedBench(unheard(but=[one.name]))
        mine = one.name == bench.watcher._env.name
        case.assertEqual(bench.look_at_once(), mine)


def test_member_that_does_not_answer_may_hear_an_owner(case):
    bench = RestartedBench(unheard())
    others = [vm.name for vm in VMS if vm.name != bench.watcher._env.name]
    for missing in others:
        answers = unheard()
        del answers[missing]
        case.assertFalse(RestartedBench(answers).look_at_once())


def test_living_owner_is_the_only_one_that_is_asked(case):
    answers = unheard(but=['vm-00'])
    bench = RestartedBench(answers)
    case.assertFalse(bench.look_at_once())
    case.assertEqual(len(bench.conns), 1)


def test_only_the_first_in_line_asks_at_once(case):
    bench = RestartedBench(unheard())
    last = ids.rank_by_rendezvous('0', [vm.name for vm in VMS])[-1]
    bench.watcher._env.name = last
    case.assertFalse(bench.look_at_once())


def test_side_that_has_heard_an_owner_waits_as_long_as_ever(case):
    bench = RestartedBench(unheard())
    bench.guard.accept_owner(1, 'vm-00')
    case.assertFalse(bench.look_at_once())
