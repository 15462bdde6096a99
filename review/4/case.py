"""A job that repeats every five minutes for a year stops the whole system."""

import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins_2'))

import world  # noqa: E402

MEMORY_MB = {'entry': 300, 'side': 168}
RUNS_OF_A_YEAR = 365 * 24 * 12
INTERVAL_MS = 5 * 60 * 1000
RESTART_S = 1.0
CLIENTS = 12
GAP_S = 2.0
# Attempts of a client: the first and 4 retries.
ATTEMPTS = 5


def watch_memory(deployment, kills, stop):
    """Kill processes over the memory of their machine, and restart them."""
    due = {}
    while not stop.wait(0.1):
        for machine in deployment.machines.values():
            now = time.monotonic()
            if machine.name in due:
                if now >= due[machine.name]:
                    del due[machine.name]
                    machine.start()
                continue
            if machine.process.poll() is not None:
                deployment.record(machine.name, 'ended by itself')
                kills.append((deployment.record.now(), machine.name, 'ended'))
                due[machine.name] = now + RESTART_S
            elif (used := machine.memory_mb()) > MEMORY_MB[machine.role]:
                deployment.record(machine.name, 'uses', used, 'MB')
                kills.append((deployment.record.now(), machine.name, used))
                machine.kill()
                due[machine.name] = now + RESTART_S


def hand_in(deployment, runs, answers, number):
    """Hand one repeating job in, under one id until it is answered."""
    check = world.make_job(
        [
            {'count': 6, 'cpu': 240, 'memMb': 480, 'ms': 1280},
            {'count': 2, 'cpu': 240, 'memMb': 480, 'ms': 640, 'watchRev': [0]},
        ],
        maxRuns=runs,
        initialMs=int(time.time() * 1000) + 2000,
        intervalMs=INTERVAL_MS,
    )
    path = f'{deployment.prefix}{random.getrandbits(64):016x}'
    for _ in range(ATTEMPTS):
        answers[number], _ = deployment.call('POST', path, check)
        if answers[number] not in (0, 502, 503, 504):
            return
        time.sleep(random.uniform(1.0, 2.0))


def play(deployment, kills):
    """Play the case; returns its exit code."""
    record = deployment.record
    if not deployment.wait_until_served():
        return world.finish(record, 2, 'the deployment does not serve')
    usual = [{'count': 4, 'cpu': 240, 'memMb': 480, 'ms': 1280}]
    accepted = []
    for _ in range(5):
        job_id, status = deployment.submit(world.make_job(usual))
        if status == 200:
            accepted.append(job_id)
    if len(accepted) < 5 or not world.wait_until(
        lambda: all(
            deployment.read_state(one, 3)[1] == 'completed' for one in accepted
        ),
        20,
    ):
        return world.finish(record, 2, 'usual jobs do not end')
    record(
        'largest side before, MB:',
        max(m.memory_mb() for m in deployment.sides),
    )
    runs = RUNS_OF_A_YEAR if world.is_trouble() else 6
    answers = {}
    clients = [
        threading.Thread(
            target=hand_in, args=(deployment, runs, answers, number)
        )
        for number in range(CLIENTS)
    ]
    later = []
    for client in clients:
        client.start()
        one, answer = deployment.submit(world.make_job(usual), tries=1)
        later.append((one, answer))
        time.sleep(GAP_S)
    for client in clients:
        client.join()
    time.sleep(6)
    taken = [one for one, answer in later if answer == 200]
    old = [deployment.read_state(one, 4) for one in accepted]
    ran = sum(bool(deployment.list_runs(one)) for one in taken)
    names = {name for _, name, _ in kills}
    often = [n for n in names if sum(k[1] == n for k in kills) >= 3]
    text = (
        f'last answers to the repeating jobs: {answers}; over memory: '
        f'{len(kills)} on {len(names)} machines, three times or more on '
        f'{len(often)}; of {len(later)} jobs handed in after it '
        f'{len(taken)} were accepted and {ran} began; states of the jobs '
        f'completed before: {old}'
    )
    is_lost = any(state != (200, 'completed') for state in old)
    is_fault = len(often) >= 2
    return world.finish(record, int(is_lost or is_fault), text)


def main():
    with world.World(HERE) as deployment:
        kills, stop = [], threading.Event()
        watcher = threading.Thread(
            target=watch_memory, args=(deployment, kills, stop), daemon=True
        )
        watcher.start()
        try:
            return play(deployment, kills)
        finally:
            # Nothing is started again once the processes are ended.
            stop.set()
            watcher.join()


if __name__ == '__main__':
    sys.exit(main())
