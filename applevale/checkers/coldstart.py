"""What is promised of hundreds that come up at once, read off a history."""

from __future__ import annotations

from collections import defaultdict

from .history import History, max_in_window, quantile

PROMISE = 0.5  # s from a drain's commit to the last new work at that engine
AFTER = 8.0  # s behind a break in which sessions are counted
ON_TOP = 0.001  # s by which two questions must overlap to be seen as such


def drains(history: History) -> list[tuple[float, float, str]]:
    """For each drain or deletion: its commit, the last new work behind it that came to that engine before it
    was listed as ready again, and the engine."""
    arrivals = defaultdict(list)
    for event in history.select("arrival"):
        arrivals[event["engine"]].append(event["at"])
    listed: dict[str, str] = {}  # key -> address, while it is ready
    waiting: dict[str, float] = {}
    found = []

    def close(address: str, until: float) -> None:
        since = waiting.pop(address, None)
        if since is not None:
            last = [at for at in arrivals[address] if since < at <= until]
            found.append((since, max(last, default=since), address))

    for event in history.select("commit"):
        former = listed.pop(event["key"], None)
        ready = event["address"] if event["state"] == "ready" else None
        if former is not None and former != ready and former not in listed.values():
            waiting.setdefault(former, event["at"])
        if ready is not None:
            close(ready, event["at"])
            listed[event["key"]] = ready
    for address in list(waiting):
        close(address, float("inf"))
    return found


def on_top(history: History) -> int:
    """Short reads that were sent while another was open on the same connection."""
    found, busy = 0, {}
    for event in history.select("read"):
        if event["whole"]:
            continue
        found += event["at"] < busy.get(event["caller"], 0.0) - ON_TOP
        busy[event["caller"]] = max(busy.get(event["caller"], 0.0), event["out"])
    return found


def ready_early(history: History) -> int:
    """Instances that called themselves ready before the list service had answered them anything since their
    start: neither a whole list, nor a short read that shows that the one they kept still holds."""
    found = 0
    for who, events in history.by_process("launched", "ready", "read").items():
        answered = [event["out"] for event in events if event["event"] == "read" and event["answered"]]
        launched = 0.0
        for event in events:
            if event["event"] == "launched":
                launched = event["at"]
            elif event["event"] == "ready" and event["ready"] and who != "other":
                found += not any(launched <= out <= event["at"] for out in answered)
                launched = -1e18  # only the first one after a start
    return found


def full_reads(history: History, until: float) -> list[int]:
    """Full reads that were answered, of each start of each instance."""
    found = []
    for events in history.by_process("launched", "read", until=until).values():
        count = 0
        for event in events:
            if event["event"] == "launched":
                found.append(count)
                count = 0
            else:
                count += event["whole"] and event["answered"]
        found.append(count)
    return found


def unconfirmed(history: History, since: float, until: float) -> int:
    """Times that an instance lost the promise within the stretch, or had lost it before."""
    state: dict[str, bool] = {}
    found = 0
    for event in history.select("list", "ended", until=until):
        if event["event"] == "ended":
            state.pop(event["who"], None)
        elif event["at"] < since:
            state[event["who"]] = event["confirmed"]
        else:
            found += not event["confirmed"]
    return found + sum(not confirmed for confirmed in state.values())


def stale(history: History) -> float:
    """s, over all instances, without the promise after it was first kept."""
    found, lost = 0.0, {}
    for event in history.select("list", "ended"):
        since = lost.pop(event["who"], None)
        if since is not None:
            found += event["at"] - since
        if event["event"] == "list" and not event["confirmed"]:
            lost[event["who"]] = event["at"]
    return found


def sessions_left(history: History, since: float, until: float) -> int:
    """Sessions that were open at `since`, and that their instances had ended by `until`."""
    open_then = set()
    for event in history.select("session", "session_end", until=since):
        (open_then.add if event["event"] == "session" else open_then.discard)(event["caller"])
    ended = {event["caller"] for event in history.select("session_end", since=since, until=until)}
    return len(open_then & ended)


def most_connections(history: History) -> int:
    open_now = most = 0
    for event in history.select("session", "session_end"):
        open_now += 1 if event["event"] == "session" else -1
        most = max(most, open_now)
    return most


def figures(history: History, nodes: int) -> dict:
    """The figures of the last line of a run."""
    launched = history.mark_time("launched") or 0.0
    rest, rest_end = history.mark_time("rest"), history.mark_time("rest_end")
    slow, slow_end = history.mark_time("slow"), history.mark_time("slow_end")
    broke, healed = history.mark_time("break"), history.mark_time("break_end")
    reads = [event["at"] for event in history.select("read")]
    ready = {}
    for event in history.select("ready", "list"):
        if event.get("ready") or (event.get("confirmed") and not any(history.select("ready"))):
            ready.setdefault(event["who"], event["at"] - launched)
    lags = [last - since for since, last, _ in drains(history)]
    connects = defaultdict(list)
    for event in history.select("connect"):
        connects[event["engine"]].append(event["at"])
    full = full_reads(history, broke or float("inf"))
    until_rest = rest or float("inf")
    found = {
        "ready": len(ready),
        "ready_s": {
            name: round(value, 2)
            for name, value in (
                ("p50", quantile(list(ready.values()), 0.5)),
                ("p99", quantile(list(ready.values()), 0.99)),
                ("max", max(ready.values(), default=0.0)),
            )
        },
        "ready_early": ready_early(history),
        "full_reads": sum(full),
        "full_reads_most": max(full, default=0),
        "reads_until_rest": sum(at < until_rest for at in reads),
        "sessions": sum(1 for _ in history.select("session", until=until_rest)),
        "list_reads_s_max": max_in_window(reads, 1.0),
        "list_connections_max": most_connections(history),
        "questions_on_top": on_top(history),
        "connects_per_engine_s_max": max(
            (max_in_window(times, 1.0) for times in connects.values()), default=0
        ),
        "engines_fallen": sum(1 for _ in history.select("fell")),
        "drains": len(lags),
        "drain_lag_ms": {
            "p50": round(quantile(lags, 0.5) * 1000, 1),
            "max": round(max(lags, default=0.0) * 1000, 1),
        },
        "missed_drains": sum(lag > PROMISE for lag in lags),
        "stale_s": round(stale(history), 2),
    }
    if rest is not None and rest_end is not None:
        steady = sum(rest <= at < rest_end for at in reads) / (rest_end - rest)
        found["list_reads_s_steady"] = round(steady, 1)
        found["unconfirmed_at_rest"] = unconfirmed(history, rest, rest_end)
    if slow is not None and slow_end is not None:
        found["sessions_left"] = sessions_left(history, slow, slow_end)
    if broke is not None and healed is not None:
        found["reads_after_break"] = sum(healed <= at < healed + 1 for at in reads)
        found["sessions_after_break"] = sum(
            1 for _ in history.select("session", since=healed, until=healed + AFTER)
        )
    return found


# What a run must show, whatever its case; each is 0 in a sound one.
ALWAYS = (
    "ready_early",
    "questions_on_top",
    "engines_fallen",
    "missed_drains",
    "wrong_lists",
    "lost_requests",
    "answered_twice",
    "loads_twice",
    "order_breaks",
)


def broken(found: dict, nodes: int, bars: dict[str, float]) -> list[str]:
    """The bars that were missed, in words. `bars`: figure -> the most that it may be."""
    missed = [f"{name}: {found[name]}" for name in ALWAYS if found.get(name, 0)]
    for name, most in bars.items():
        if name not in found:
            missed.append(f"{name}: not measured")
        elif found[name] > most:
            missed.append(f"{name}: {found[name]}, over {most:g}")
    if found["ready"] < nodes:
        missed.append(f"ready: {found['ready']} of {nodes}")
    return missed
