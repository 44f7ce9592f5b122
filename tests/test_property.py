"""Random legal days against an independent checker of the rules that one instance can see."""

from random import Random

import pytest
from helpers import KINDS, LOOKUP, REPORT, Driver

from applevale import api

R = api.Result
NEVER = {R.FULL, R.CONNECT_FAILED, R.MOOT}
CLASSES = (
    LOOKUP,
    REPORT,
    api.ClassSpec(
        "load", aim=2.0, deadline=6.0, worth=4.0, repeat=api.Repeat.UNSAFE, ordered=True, threads=2, load=True
    ),
    api.ClassSpec("keyed", aim=1.0, deadline=4.0, repeat=api.Repeat.KEYED, group="zone", repeat_window=1.5),
    api.ClassSpec("bound", aim=1.0, deadline=4.0, kinds=frozenset({1}), zones=frozenset({0, 1})),
)


class Checker:
    """Keeps its own books from events and actions; knows nothing of the module's."""

    def __init__(self, settings):
        self.s, self.engines, self.told, self.asks, self.tries = settings, {}, {}, {}, {}
        self.ended, self.arrivals, self.further, self.rest, self.line = {}, [], [], {}, []
        self.gap = (0.0, 0.0)  # the last time that the instance stood still

    def entry(self, now, entry):
        self.engines[entry.engine] = entry
        if entry.state is api.State.READY:
            self.told.pop(entry.engine, None)
        else:
            self.told.setdefault(entry.engine, now)

    def ask(self, now, ask):
        self.asks[ask.request], self.tries[ask.request] = (now, ask), []
        self.arrivals.append(now)
        if self.s.classes[ask.cls].ordered and ask.key:
            self.line.append(ask)

    def outcome(self, now, event):
        self.tries[event.request][event.attempt][2] = event.result
        ask = self.asks[event.request][1]
        if self.s.classes[ask.cls].ordered and event.result in (R.TIMEOUT, R.RESET, R.CANCELLED):
            self.rest[ask.key] = now + self.s.order_pause
        if event.final:
            self.end(now, event.request)

    def end(self, now, request):
        assert request not in self.ended, "a second final answer"
        self.ended[request] = now

    def action(self, now, a):
        if isinstance(a, api.Cancel):
            assert self.s.may_cancel and a.attempt < len(self.tries[a.request])
        elif isinstance(a, api.Probe):
            assert self.s.may_probe
        elif isinstance(a, api.SendPeerMessage):
            assert self.s.may_tell_peers
        elif isinstance(a, (api.Reject, api.Fail)):
            at, ask = self.asks[a.request]
            due = at + ask.ttl + self.s.answer_slack
            stood_still = self.gap[0] <= due and now == self.gap[1]
            assert now <= due or stood_still, "too late an answer"
            spec = self.s.classes[ask.cls]
            if isinstance(a, api.Reject) and spec.repeat is not api.Repeat.SAFE and spec.group != "all":
                assert all(t[2] in NEVER for t in self.tries[a.request]), "refused though it may have run"
            if isinstance(a, api.Reject) and spec.repeat is api.Repeat.UNSAFE:
                assert all(t[2] in NEVER for t in self.tries[a.request]), "refused though it may have run"
            self.end(now, a.request)
        elif isinstance(a, api.Send):
            self.send(now, a)

    def send(self, now, a):
        assert a.request not in self.ended, "sent after its end"
        _, ask = self.asks[a.request]
        spec, entry, tries = self.s.classes[ask.cls], self.engines[a.engine], self.tries[a.request]
        assert now <= self.told.get(a.engine, now) + self.s.drain_grace, "sent to a draining engine"
        assert spec.kinds is None or entry.kind in spec.kinds, "placement: kind"
        assert spec.zones is None or entry.zone in spec.zones, "placement: zone"
        assert len(tries) < self.s.try_limit, "too many attempts"
        assert self.s.parallel_tries or all(t[2] for t in tries), "two at once"
        maybe = [t for t in tries if t[2] not in NEVER]
        if spec.repeat is api.Repeat.UNSAFE:
            assert not maybe, "unsafe sent again"
        if spec.repeat is api.Repeat.KEYED and maybe:
            assert entry.zone == maybe[0][3] and now <= maybe[0][0] + spec.repeat_window, (
                "keyed group or window"
            )
        if spec.ordered and ask.key:
            assert self.rest.get(ask.key, 0) <= now, "the key rests"
            for other in self.line:
                if other is ask:
                    break
                assert other.key != ask.key or (
                    other.request in self.ended and all(t[2] for t in self.tries[other.request])
                ), "out of turn"
        if tries:
            self.further.append(now)
            if self.s.budget_share is not None:
                span = now - self.s.budget_span
                most = self.s.budget_free + self.s.budget_share * sum(t > span for t in self.arrivals)
                assert sum(t > span for t in self.further) <= most, "budget"
        tries.append([now, a.engine, None, entry.zone])


SITES = (
    dict(),
    dict(may_cancel=False, try_limit=3, when_short="wait", report_columns=("cpu",), report_how="probe"),
    dict(budget_share=0.1, budget_free=3.0, parallel_tries=True, progress=0.5, order_pause=0.3),
    dict(
        gateways=3,
        discovery_push=False,
        ranks_heeded=False,
        retry_after=False,
        report_columns=(),
        report_how="none",
    ),
    dict(gateways=300, may_probe=True, report_columns=("active",), report_how="probe", may_tell_peers=True),
    dict(gateways=60, may_probe=True, may_cancel=False, budget_share=0.0, budget_free=2.0),
)


def pick_result(random, health):
    return random.choices([R.OK, R.ERROR, R.FULL, R.CONNECT_FAILED, R.RESET], [health, 1, 0.5, 0.5, 0.5])[0]


@pytest.mark.parametrize("seed", range(18))
def test_rules_hold_on_random_days(seed):
    random = Random(seed)
    d = Driver(entries=(), seed=seed, classes=CLASSES, kinds=KINDS, **SITES[seed % len(SITES)])
    check, flying, clients, probes = Checker(d.settings), [], [], []

    def give(*events):
        for event in events:
            if isinstance(event, api.EngineList):
                for entry in event.entries:
                    check.entry(d.now, entry)
            elif isinstance(event, api.Request):
                check.ask(d.now, event)
            elif isinstance(event, api.Outcome):
                check.outcome(d.now, event)
        start = len(d.log)
        d.give(*events)
        books(start)

    def books(start):
        for at, a in d.log[start:]:
            check.action(at, a)
            if isinstance(a, api.Probe) and random.random() < 0.9:  # some are never answered
                probes.append((at + random.choice([0.005, 0.02, 0.25]), a.engine))
            if isinstance(a, api.Send):
                asked, ask = check.asks[a.request]
                limit = min(at + (a.timeout or 99.0), asked + ask.ttl)
                done = at + random.expovariate(3.0) * (100.0 if random.random() < 0.08 else 1.0)
                n = len(check.tries[a.request]) - 1
                flying.append([min(done, limit), a, n, None if done < limit else R.TIMEOUT])
            elif isinstance(a, api.Cancel):
                for item in flying:
                    if item[1].request == a.request and item[2] == a.attempt:
                        item[0], item[3] = at + 0.005, R.CANCELLED

    entries = [api.EngineEntry(n, zone=n % 3, kind=n % 2, cell=n % 2) for n in range(1, 9)]
    give(api.EngineList(tuple(entries), whole=True))
    for step in range(1500):
        d.now += 0.01
        if step and step % 400 == 0 and seed % 3 == 0:
            d.now = check.gap[1]
        start = len(d.log)
        d.run(0.0)
        books(start)
        due = [item for item in flying if item[0] <= d.now]
        for item in due:
            flying.remove(item)
            _, send, attempt, result = item
            result = result or pick_result(random, 1 if step % 500 < 100 else 20)
            final = send.request in check.ended or result is R.OK
            check.ended.pop(send.request, None) if send.request in check.ended else None
            report = tuple(random.choice([0.5, -1.0, 1e9]) for _ in d.settings.report_columns)
            give(api.Outcome(send.request, attempt, send.engine, result, 0.2, final, 0.2, 60.0, report))
        for item in [item for item in probes if item[0] <= d.now]:
            probes.remove(item)
            values = tuple(random.choice([0.5, 3.0, -1.0, 1e9]) for _ in d.settings.report_columns)
            result = random.choice([R.OK, R.OK, R.OK, R.FULL, R.TIMEOUT, R.ERROR])
            give(api.ProbeResult(item[1], result, 0.01, values if random.random() < 0.9 else values[1:]))
        if random.random() < 0.02:
            give(api.PeerMessage(random.randrange(400), bytes(random.randrange(256) for _ in range(9))))
        if random.random() < 0.02 and clients:
            leaver = random.choice(clients[-20:])
            if leaver not in check.ended:
                check.end(d.now, leaver)
                give(api.ClientGone(leaver))
        if step % 400 == 399 and seed % 3 == 0:  # it stands still; all that came meanwhile comes at once
            check.gap = (d.now, d.now + 1.2)
        if step < 1100 and random.random() < 0.6:
            cls = random.randrange(len(CLASSES))
            ttl = random.choice([CLASSES[cls].deadline, 0.5, 0.03, 0.0])
            number = 1000 + step
            clients.append(number)
            give(
                api.Request(number, cls, key=random.randrange(3), ttl=ttl, work=random.expovariate(2.0),
                            memory_mb=random.expovariate(0.002), tables=float(random.randrange(12)))
            )  # fmt: skip
        if random.random() < 0.03:
            entry = random.choice(entries)
            state = random.choice([api.State.READY, api.State.READY, api.State.DRAINING, api.State.GONE])
            give(api.EngineList((api.EngineEntry(entry.engine, entry.zone, entry.kind, entry.cell, 1.0, state,
                                                 d.now - 0.5 * random.random()),)))  # fmt: skip
    for _ in range(3000):
        d.now += 0.01
        start = len(d.log)
        d.run(0.0)
        books(start)
        for item in [item for item in flying if item[0] <= d.now]:
            flying.remove(item)
            final = item[1].request in check.ended
            check.ended.pop(item[1].request, None)
            give(api.Outcome(item[1].request, item[2], item[1].engine, item[3] or R.TIMEOUT, 0.2, final))
    assert len(clients) > 400 and set(check.ended) == set(clients)
    assert (
        not d.controller.attempts.pending
        and not d.controller.scheduler.waiting
        and not d.controller.attempts.key_queues.queues
    )
