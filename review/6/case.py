"""One job that can never be done keeps others from ever starting: see claim.txt."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit-2"))
import standins  # noqa: E402

HOST, PREFIX = "quotes.example", "/quotes/"
FINISH_S = 14
HOPELESS = "00000000000000f1"
JOBS = [f"{number:016x}" for number in range(0x100, 0x100 + 12)]
WORK = "def seconds(task):\n    return 0.4\n"


async def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    ample = {"cpu": 16000, "mem_mb": 32768, "gpus": 0}
    executors = [{"capacity": ample, "labels": ["b" if number in (2, 5) else "a", f"r1-{number % 4}"]} for number in range(8)]
    place = standins.Deployment(FOLDER, executors)
    note = place.note
    route = {"name": "quotes", "hostname": HOST, "path_prefix": PREFIX, "type": "unsafe", "timeout_ms": 3000, "slo_ms": 1000,
             "priority": 0, "backend": "storefront", "max_attempts": 3, "stretch": 2.0}
    headers = {"Host": HOST, "X-Jasminebend-Deadline-Ms": "3000"}

    async def post(key, job):
        for turn in range(20):
            daemon = place.daemons[turn % len(place.daemons)]
            status, _ = await standins.call(daemon["frontend"], "POST", PREFIX + key, job, headers)
            note(f"POST {key} at {daemon['name']} -> {status}: {job}")
            if status == 200:
                return True
            await asyncio.sleep(1)
        return False

    async def state(key):
        for daemon in place.daemons:
            status, value = await standins.call(daemon["frontend"], "GET", PREFIX + key, None, headers)
            if status == 200:
                return value["state"]
        return None

    try:
        await place.start([route], WORK)
        if trouble:
            step = {"count": 2, "cpu": 1000, "mem_mb": 256, "gpus": 1, "estimate_ms": 1000, "requires": "b", "long_running": True}
            if not await post(HOPELESS, {"spec": "needs what no executor has", "steps": [step]}):
                note("the job that can never be done was not accepted")
                return 2
        await asyncio.sleep(8)
        # The pool's other jobs need the same kind of executor, of which both are idle.
        step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 400, "requires": "b"}
        for key in JOBS:
            if not await post(key, {"spec": "a quote", "steps": [step]}):
                return 2
            await asyncio.sleep(0.5)
        note("the traffic has ended")
        await asyncio.sleep(FINISH_S)
        asked_at = time.time() - place.began
        states = {key: await state(key) for key in JOBS}
        await asyncio.sleep(3)
        judged_at = time.time() - place.began
        for key, shown in states.items():
            note(f"GET {key} {FINISH_S} s after the end of the traffic -> {shown}")
    finally:
        place.stop()
    events = place.events()
    place.remove_folder()
    place.note_calls()
    for event in events:
        if event[1] in ("start", "end"):
            note(f"executor: {event}")
    begun = {event[3].split(".")[0] for event in events if event[1] == "start" and event[0] < judged_at}
    waiting = [key for key in JOBS if key not in begun]
    running = [event for event in events if event[1] == "start" and event[0] > asked_at]
    note(f"{len(waiting)} of {len(JOBS)} accepted jobs had nothing running from {asked_at:.1f} to {judged_at:.1f} s and were never started; "
         f"in these 3 s {len(running)} tasks began on all 8 executors, 2 of which have the label")
    if waiting:
        print(f"LOST: {len(waiting)} of {len(JOBS)} jobs never started, with both executors of their kind idle")
        return 1
    print("held: every job was started")
    return 0


sys.exit(asyncio.run(main()))
