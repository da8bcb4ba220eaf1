"""A repeated job of many tasks stops the records of all jobs."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "kit-2"))
import standins  # noqa: E402

HOST, PREFIX = "ledger.example", "/ledger/"
ACK_S, FINISH_S = 4, 14
LARGE = "00000000000000f1"
TASKS, TIMES = 9000, 5
JOBS = [f"{number:016x}" for number in range(0x100, 0x100 + 60)]
# Of the large job one task in each occurrence takes long; the others are as short as their estimate says.
WORK = f"""
def seconds(task):
    job, _, _, index = task.split(".")
    if job != "{LARGE}":
        return 0.3
    return 300 if index == "0" else 0.02
"""


async def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    ample = {"cpu": 64000, "mem_mb": 256000, "gpus": 0}
    executors = [{"capacity": ample, "labels": ["a", f"r1-{number % 4}"]} for number in range(8)]
    place = standins.Deployment(FOLDER, executors, processes=4)
    note = place.note
    route = {"name": "ledger", "hostname": HOST, "path_prefix": PREFIX, "type": "unsafe", "timeout_ms": 3000, "slo_ms": 1000,
             "priority": 0, "backend": "storefront", "max_attempts": 3, "stretch": 2.0}
    headers = {"Host": HOST, "X-Jasminebend-Deadline-Ms": "3000"}
    accepted = {}

    async def post(key, job, turn):
        daemon = place.daemons[turn % len(place.daemons)]
        status, _ = await standins.call(daemon["frontend"], "POST", PREFIX + key, job, headers)
        note(f"POST {key} at {daemon['name']} -> {status}: {job}")
        if status == 200:
            accepted[key] = time.time() - place.began
        return status == 200

    async def state(key):
        for daemon in place.daemons:
            status, value = await standins.call(daemon["frontend"], "GET", PREFIX + key, None, headers)
            if status == 200:
                return value["state"]
        return None

    try:
        await place.start([route], WORK)
        if trouble:
            job = {"spec": "a nightly ledger", "repeat_count": TIMES, "start_time_ms": int(time.time() * 1000) + 500,
                   "interval_ms": 1000, "steps": [{"count": TASKS, "cpu": 20, "mem_mb": 8, "estimate_ms": 20}]}
            if not await post(LARGE, job, 0):
                note("the large job was not accepted")
                return 2
        steps = [{"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 300},
                 {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 300, "after": [0]}]
        for turn, key in enumerate(JOBS):
            for again in range(4):
                if await post(key, {"spec": "a quote", "steps": steps}, turn + again):
                    break
                await asyncio.sleep(0.3)
            await asyncio.sleep(1)
        ended_at = time.time() - place.began
        note("the traffic has ended")
        await asyncio.sleep(FINISH_S)
        asked_at = time.time() - place.began
        for key in [LARGE, *JOBS]:
            if key in accepted:
                note(f"GET {key} {FINISH_S} s after the end of the traffic -> {await state(key)}")
        await asyncio.sleep(max(0, asked_at + 3 - (time.time() - place.began)))
        judged_at = time.time() - place.began
    finally:
        place.stop()
    return judge(place, accepted, ended_at, asked_at, judged_at)


def judge(place, accepted, ended_at, asked_at, judged_at):
    note = place.note
    events = place.events()
    place.remove_folder()
    place.note_calls()
    spans, begun, listed, acked, counts, first_listed = {}, {}, {}, {}, {}, {}
    for at, event, executor, task, number, *rest in events:
        if event == "start":
            begun[(task, number)] = at
            if not task.startswith(LARGE):
                note(f"executor {executor} at {at:.3f}: start {task} {number}")
        elif event == "end":
            spans.setdefault(task.split(".")[0], []).append((begun.get((task, number), at), at, task, rest[0]))
            if not task.startswith(LARGE):
                note(f"executor {executor} at {at:.3f}: end {task} {number} {rest[0]}")
            counts[int(at)] = counts.get(int(at), 0) + 1
        elif event == "listed":
            listed[executor] = number
            first_listed.setdefault(executor, []).append((at, number))
        elif event == "acked":
            acked[executor] = number
    note("ends of tasks in each second: " + " ".join(f"{second}:{count}" for second, count in sorted(counts.items())))
    refused = place.store.refused
    if refused:
        at, size, keys = refused[0]
        note(f"the store refused {len(refused)} transactions with a value beyond {standins.ROW_BYTES} bytes, the first at "
             f"{at - place.began:.3f} ({size} bytes; rows {keys}), the last at {refused[-1][0] - place.began:.3f}")
    running = sum(1 for at in begun.values() if at < asked_at) - sum(1 for rows in spans.values() for row in rows if row[1] < asked_at)
    note(f"{running} of all tasks had begun and not ended at the end")
    lost = []
    for key in accepted:
        if key == LARGE:
            continue
        done = {task for began, at, task, how in spans.get(key, []) if how == "done" and at < asked_at}
        active = [task for task, _ in begun if task.startswith(key) and (task not in {t for _, _, t, _ in spans.get(key, [])})]
        late = [task for (task, _), at in begun.items() if task.startswith(key) and asked_at <= at < judged_at]
        ended = [task for _, at, task, _ in spans.get(key, []) if at >= asked_at]
        if len(done) < 8 and not active and not late and not ended:
            lost.append(key)
            note(f"job {key}: accepted at {accepted[key]:.3f}, {len(done)} of its 8 tasks are done, nothing ran from {asked_at:.1f} to "
                 f"{judged_at:.1f}")
    open_ends = {executor: last - acked.get(executor, 0) for executor, last in listed.items()}
    # Ends that had been listed for the time of an acknowledgement at least.
    due = sum(max([n for at, n in rows if at < judged_at - ACK_S], default=0) for rows in first_listed.values())
    unread = sum(max(0, max([n for at, n in rows if at < judged_at - ACK_S], default=0) - acked.get(executor, 0))
                 for executor, rows in first_listed.items())
    note(f"ends that executors listed {ACK_S} s before the end or earlier: {due}, not taken note of: {unread}; by executor: {open_ends}")
    if lost:
        print(f"LOST: {len(lost)} of {len(accepted) - (LARGE in accepted)} accepted jobs had nothing running {FINISH_S} s after the end of "
              f"the traffic, though a task's turn had come and the executors were idle; {unread} listed ends were not taken note of")
        return 1
    print(f"held: no accepted job waits; {unread} of {due} listed ends were not taken note of")
    return 0


sys.exit(asyncio.run(main()))
