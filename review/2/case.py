"""More than half of the machines that run work are lost; see claim.txt."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins

LOST = 6
NEW = 5
NEW_AFTER_SECONDS = 2.0
TRAFFIC_SECONDS = 40.0
FINISH_SECONDS = 14.0


def make_job(number, work_ms, count, **fields):
    step = {'count': count, 'cpu': 480, 'memMb': 960, 'estimateMs': work_ms}
    return standins.Job(f'{number:016x}', f'{work_ms},', [step | fields])


def find_leader(deployment):
    """Return the machine that gives the orders, by its own log."""
    (leader,) = [
        name
        for name in deployment.sides
        if '"owner begins"' in deployment.read_log(name)
    ]
    return leader


def run(record, trouble):
    with standins.Deployment(record, fronts=3, sides=11) as deployment:
        if not deployment.wait_until_served():
            print('the deployment does not serve')
            return 2
        time.sleep(3.0)
        client = standins.Client(deployment, 'client')
        # One task on each of the 11 runners.
        wide = make_job(1, 8000, 11, antiAffinity=1)
        if not client.submit(wide) or not standins.wait_until(
            lambda: len(deployment.list_runs()) == 11, 8.0
        ):
            print('the wide job did not start')
            return 2
        time.sleep(1.0)
        began = time.monotonic()
        if trouble:
            remove_machines(deployment)
        number = 1
        while time.monotonic() - began < TRAFFIC_SECONDS:
            number += 1
            client.submit(make_job(number, 500, 2), 1)
            time.sleep(1.0)
        time.sleep(FINISH_SECONDS)
        return judge(record, deployment, client)


def remove_machines(deployment):
    """Remove the leader and others for good, and add empty machines."""
    leader = find_leader(deployment)
    others = [name for name in deployment.sides if name != leader]
    for name in [leader, *others][:LOST]:
        deployment.remove_machine(name)
    time.sleep(NEW_AFTER_SECONDS)
    for number in range(NEW):
        deployment.add_machine(f'side-{12 + number}', 'side')


def judge(record, deployment, client):
    """LOST: after finish_s a job isn't known, gets no answer or is stuck."""
    lost = []
    accepted = [job for job in client.jobs if job.accepted]
    runs = deployment.list_runs()
    busy = sum(run.ended is None for run in runs)
    idle = time.monotonic() - max(run.ended or run.began for run in runs)
    for job in accepted:
        status, state = client.ask(job)
        if (status, state) != (200, 'completed'):
            done = sum(
                run.how == 'done' and run.task.startswith(job.id)
                for run in runs
            )
            lost.append(job.id)
            record(
                'check',
                'LOST',
                job=job.id,
                status=status,
                state=state,
                done=done,
                tasks=job.steps[0]['count'],
            )
            print(
                f'job {job.id}: {status} {state!r}, {done} of '
                f'{job.steps[0]["count"]} tasks done'
            )
    up = sum(runner.up for runner in deployment.runners.values())
    text = (
        f'{len(accepted)} jobs accepted, {len(lost)} not completed '
        f'{FINISH_SECONDS:.0f} s after the traffic; {busy} tasks at work '
        f'on {up} runners for {idle:.0f} s'
    )
    print(text)
    record('check', 'result', text=text)
    return 1 if lost else 0


if __name__ == '__main__':
    sys.exit(standins.run_case(HERE, run))
