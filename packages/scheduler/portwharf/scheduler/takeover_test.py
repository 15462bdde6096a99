# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which side takes over from a silent owner, and which does not."""

import threading

import result

from portwharf.core import clock
from portwharf.core import ids
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler import configuration
from portwharf.scheduler import environment
from portwharf.scheduler import events
from portwharf.scheduler import guard
from portwharf.scheduler import limits
from portwharf.scheduler import membership
from portwharf.scheduler import takeover
from portwharf.scheduler import zones
from portwharf.testing import fixtures

LIMITS = limits.Limits()
VMS = [fixtures.make_vm(number) for number in range(5)]
FIRST = ids.rank_by_rendezvous_hash('0', [vm.name for vm in VMS[1:]])[0]


class FakeConn:
    """A connection to a member that gives a fixed answer."""

    def __init__(self, answer):
        self._answer = answer
        self._greeted = False
        self.idle = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        pass

    def set_idle(self, seconds):
        """Record the idle timeout."""
        self.idle.append(seconds)

    def send(self, message):
        """Ignore a message."""

    def receive(self):
        """Return the greeting first, then the answer."""
        if not self._greeted:
            self._greeted = True
            return messages.Hello(role='side')
        if callable(self._answer):
            return self._answer()
        if self._answer is None:
            raise streams.PeerError('silent for too long')
        return self._answer


class WatcherBench:
    """A watcher on the first VM in line, in a shard that vm-00 owns."""

    def __init__(self, answers):
        """Take a map of member name to answer."""
        self.kv, _ = fixtures.make_store()
        takeover.create_shard(self.kv, 0, 'vm-00', VMS)
        self.clock = clock.ManualClock()
        self.guard = guard.GrantGuard(self.clock, LIMITS)
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
        self.watcher = takeover.OwnerWatcher(env, self.guard, self.kv)
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

    def poll_after(self, silence):
        """Advance the clock in silence, poll once; tell if it has claimed."""
        self.clock.advance(silence)
        if self.watcher._is_our_turn():
            self.watcher._take_over()
        return bool(self.claims)


class LateWatcherBench(WatcherBench):
    """A watcher on a VM that started after the log's members were read."""

    def __init__(self, answers, members=1):
        """Take the answers, and how many members the watcher has read."""
        super().__init__(answers)
        self.kv, _ = fixtures.make_store()
        claim = takeover.create_shard(self.kv, 0, 'vm-00', VMS[:members])
        self.log = claim.ok_value.log
        self.watcher._kv = self.kv
        self.guard = guard.GrantGuard(self.clock, LIMITS)
        self.watcher._guard = self.guard
        self.watcher._load_members()

    def add_members(self, first):
        """Have the owner add the other VMs, from a number on."""
        added = [events.MemberAdded(vm) for vm in VMS[first:]]
        self.log.append(added)


def make_answer(hears):
    """Return a member's answer."""
    return messages.OwnerAnswer(1, hears)


def make_answers(hears, *names):
    """Return a map with the same answer from several members."""
    others = [vm.name for vm in VMS if vm.name not in ('vm-00', FIRST)]
    return {name: make_answer(hears) for name in names or others}


def test_first_in_line_takes_over_from_a_silent_owner(case):
    bench = WatcherBench(make_answers(False))
    case.assertFalse(bench.poll_after(LIMITS.takeover - 0.1))
    case.assertTrue(bench.poll_after(0.2))
    case.assertTrue(bench.claims[0].is_ok())


def end_owner_connection(bench):
    """Hear the owner again after a while, then end its connection."""
    bench.clock.advance(10 * LIMITS.takeover)
    bench.guard.accept_owner(1, 'vm-00')
    bench.guard.record_disconnect()


def test_ended_connection_shortens_the_wait(case):
    bench = WatcherBench(make_answers(False))
    end_owner_connection(bench)
    case.assertFalse(bench.poll_after(guard.REDIAL_SECONDS - 0.1))
    case.assertTrue(bench.poll_after(0.2))


def test_owner_that_redials_is_kept(case):
    bench = WatcherBench(make_answers(False))
    end_owner_connection(bench)
    bench.clock.advance(guard.REDIAL_SECONDS - 0.1)
    bench.guard.accept_owner(1, 'vm-00')
    case.assertFalse(bench.poll_after(LIMITS.takeover - 0.2))


def test_side_that_is_cut_off_alone_does_not_take_over(case):
    bench = WatcherBench(make_answers(True))
    case.assertFalse(bench.poll_after(LIMITS.takeover + 0.1))


def test_minority_waits_much_longer(case):
    bench = WatcherBench({})
    case.assertFalse(bench.poll_after(LIMITS.takeover + 0.1))
    isolated_wait = LIMITS.takeover * takeover.ISOLATED_FACTOR
    case.assertTrue(bench.poll_after(isolated_wait))


def test_queries_of_paused_members_time_out(case):
    answers = make_answers(False)
    paused = next(iter(answers))
    answers[paused] = None
    bench = WatcherBench(answers)
    case.assertTrue(bench.poll_after(LIMITS.takeover + 0.1))
    for conn in bench.conns:
        case.assertEqual(max(conn.idle[-1:]), takeover.QUERY_TIMEOUT_SECONDS)


def test_owner_heard_during_the_query_stops_the_takeover(case):
    """Otherwise sides take the shard from each other in turn."""
    bench = WatcherBench(make_answers(False))

    def answer_after_takeover():
        bench.guard.accept_owner(2, 'vm-03')
        return make_answer(False)

    bench.answers[next(iter(bench.answers))] = answer_after_takeover
    case.assertFalse(bench.poll_after(LIMITS.takeover + 0.1))


class RestartedWatcherBench(WatcherBench):
    """A watcher on the first VM of all, whose process has restarted."""

    def __init__(self, answers):
        """Take a map of member name to answer."""
        super().__init__(answers)
        first = ids.rank_by_rendezvous_hash('0', [vm.name for vm in VMS])[0]
        self.guard = guard.GrantGuard(self.clock, LIMITS)
        self.watcher._guard = self.guard
        self.watcher._env.name = first
        self.watcher._load_members()

    def poll_at_once(self):
        """Poll before any silence is long enough; tell if it has claimed."""
        if self.watcher._is_first_after_restart():
            self.watcher._take_over_all_restarted()
        return bool(self.claims)


def make_unheard_answers(*, heard_by=()):
    """Return the answers of members that have heard no owner.

    :param heard_by: names of the members that have heard one
    """
    return {
        vm.name: messages.OwnerAnswer(1, False, False, vm.name not in heard_by)
        for vm in VMS
    }


def test_takeover_is_immediate_after_a_full_restart(case):
    bench = RestartedWatcherBench(make_unheard_answers())
    case.assertTrue(bench.poll_at_once())
    case.assertTrue(bench.claims[0].is_ok())


def test_one_member_that_heard_an_owner_delays_the_takeover(case):
    for one in VMS:
        bench = RestartedWatcherBench(
            make_unheard_answers(heard_by=[one.name])
        )
        is_own = one.name == bench.watcher._env.name
        case.assertEqual(bench.poll_at_once(), is_own)


def test_unanswered_query_delays_the_takeover(case):
    bench = RestartedWatcherBench(make_unheard_answers())
    others = [vm.name for vm in VMS if vm.name != bench.watcher._env.name]
    for missing in others:
        answers = make_unheard_answers()
        del answers[missing]
        case.assertFalse(RestartedWatcherBench(answers).poll_at_once())


def test_live_former_owner_is_the_only_one_queried(case):
    answers = make_unheard_answers(heard_by=['vm-00'])
    bench = RestartedWatcherBench(answers)
    case.assertFalse(bench.poll_at_once())
    case.assertEqual(len(bench.conns), 1)


def test_only_the_first_in_line_queries_at_once(case):
    bench = RestartedWatcherBench(make_unheard_answers())
    last = ids.rank_by_rendezvous_hash('0', [vm.name for vm in VMS])[-1]
    bench.watcher._env.name = last
    case.assertFalse(bench.poll_at_once())


def test_side_that_has_heard_an_owner_waits_for_silence(case):
    bench = RestartedWatcherBench(make_unheard_answers())
    bench.guard.accept_owner(1, 'vm-00')
    case.assertFalse(bench.poll_at_once())


def test_takeover_does_not_wait_for_members_that_hang(case):
    """A VM that has lost power lets connections to it hang."""
    names = [vm.name for vm in VMS if vm.name not in ('vm-00', FIRST)]
    bench = WatcherBench(make_answers(False, *names[:2]))
    let_dials_end, claimed = threading.Event(), threading.Event()
    case.addCleanup(let_dials_end.set)

    def dial(vm):
        if vm.name not in names[:2]:
            let_dials_end.wait(20)
        return bench.dial(vm)

    bench.watcher._env.dial = dial

    def poll():
        if bench.poll_after(LIMITS.takeover + 0.1):
            claimed.set()

    threading.Thread(target=poll, daemon=True).start()
    case.assertTrue(claimed.wait(8))


def test_side_that_is_not_added_yet_leaves_the_owner_alone(case):
    """Else all sides that start after the first depose each other in turn."""
    bench = LateWatcherBench({'vm-00': make_answer(True)})
    for _ in range(10):
        case.assertFalse(bench.poll_after(LIMITS.takeover))


def test_side_that_is_not_added_yet_has_no_vote(case):
    answers = {'vm-00': make_answer(False), 'vm-01': make_answer(True)}
    bench = LateWatcherBench(answers, members=2)
    case.assertFalse(bench.poll_after(LIMITS.takeover * 2))


def test_side_that_is_not_added_yet_is_no_member_that_restarted(case):
    for answers in ({}, {'vm-00': make_answer(False)}):
        bench = LateWatcherBench(answers)
        bench.watcher._last_owner = 'vm-03'
        bench.watcher._take_over_all_restarted()
        case.assertEqual(bench.claims, [])


def test_members_added_since_the_start_of_a_side_are_asked(case):
    """The members that it knew may be gone by the time the owner ends."""
    bench = LateWatcherBench(make_answers(False))
    bench.add_members(1)
    bench.guard.accept_owner(1, 'vm-00')
    bench.poll_after(LIMITS.takeover + 0.1)
    case.assertTrue(bench.poll_after(0.1))
    case.assertTrue(bench.claims[0].is_ok())


def test_vote_of_members_that_were_since_outnumbered_does_not_count(case):
    bench = LateWatcherBench(
        make_answers(True) | {'vm-00': make_answer(False)}
    )
    bench.add_members(1)
    for _ in range(3):
        case.assertFalse(bench.poll_after(LIMITS.takeover))
    case.assertEqual(len(bench.watcher._members), len(VMS))


def test_log_is_not_read_again_while_a_majority_hears_the_owner(case):
    bench = LateWatcherBench({'vm-00': make_answer(True)})
    bench.watcher._kv = None
    for _ in range(3):
        case.assertFalse(bench.poll_after(LIMITS.takeover))


def test_owner_that_writes_is_not_replaced_by_a_side_that_hears_nobody(case):
    """Its queries may time out because many sides ask at the same time."""
    bench = LateWatcherBench({})
    for number in range(1, len(VMS)):
        bench.log.append([events.MemberAdded(VMS[number])])
        for _ in range(takeover.ISOLATED_FACTOR // 2):
            case.assertFalse(bench.poll_after(LIMITS.takeover))
    isolated_wait = LIMITS.takeover * takeover.ISOLATED_FACTOR
    case.assertTrue(bench.poll_after(isolated_wait))


def test_side_that_is_not_added_yet_asks_less_and_less_often(case):
    """A hundred of them would keep the members from following their owner."""
    bench = LateWatcherBench({'vm-00': make_answer(True)})
    bench.clock.advance(LIMITS.takeover)
    asked = []
    for _ in range(2):
        bench.conns.clear()
        for _ in range(50):
            bench.poll_after(0.1)
        asked.append(len(bench.conns))
    case.assertLess(asked[0], 25)
    case.assertLess(asked[1], 10)


def test_side_asks_again_at_once_after_the_first_refusal(case):
    """Members that heard the owner last may do so a moment longer."""
    bench = WatcherBench(make_answers(True))
    case.assertFalse(bench.poll_after(LIMITS.takeover + 0.05))
    bench.answers = make_answers(False)
    case.assertTrue(bench.poll_after(0.1))


def test_owner_gets_the_whole_wait_once_a_side_knows_of_it(case):
    """A side may read the log long after its start, or after it ended."""
    bench = LateWatcherBench(make_answers(False), members=len(VMS))
    for _ in range(2):
        bench.clock.advance(10 * LIMITS.takeover)
        bench.watcher._load_members()
        case.assertFalse(bench.poll_after(0))


def test_owners_that_were_never_heard_get_more_and_more_time(case):
    """Their members may need longer than that to follow them."""
    bench = LateWatcherBench(make_answers(False), members=len(VMS))
    bench.guard.accept_owner(1, 'vm-00')
    start_owner = takeover.OwnerWatcher._start_owner
    waits = []
    for epoch in range(2, 7):
        lost = result.Err(takeover.OwnedByOther(epoch))
        start_owner(bench.watcher, lost)
        waits.append(bench.watcher._find_own_wait())
    first = waits[0]
    case.assertEqual(
        waits, [first, 2 * first, 4 * first, 4 * first, 4 * first]
    )
    bench.guard.accept_owner(6, 'vm-03')
    case.assertEqual(bench.watcher._find_own_wait(), first)


def test_side_reads_the_members_again_once_the_owner_has_others(case):
    """With a short list, all sides count as first in line for a takeover."""
    bench = LateWatcherBench({})
    bench.add_members(1)
    bench.guard.accept_owner(1, 'vm-00')
    told = membership.hash_members({vm.name: vm for vm in VMS})
    due = []
    for _ in range(60):
        bench.clock.advance(0.1)
        bench.guard.accept_grant(1, 0.0, True, told)
        if bench.watcher._is_refresh_due():
            due.append(1)
            bench.watcher._reload_members()
    case.assertEqual(len(due), 1)
    case.assertEqual(len(bench.watcher._members), len(VMS))
