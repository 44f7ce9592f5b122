"""Small builders shared by the tests."""

from applevale import api
from applevale.policy import AdmissionController

LOOKUP = api.ClassSpec(name="short", aim=0.8, aim_stretch=1.5, deadline=4.0, worth=1.0, threads=1)
REPORT = api.ClassSpec(name="long", aim=1.5, aim_stretch=2.5, deadline=25.0, worth=5.0, threads=3)
KINDS = (api.KindSpec("k", 8.0, 16384.0), api.KindSpec("m", 8.0, 16384.0))


def settings(**changes):
    base = dict(
        classes=(LOOKUP, REPORT),
        kinds=KINDS,
        gateways=1,
        may_cancel=True,
        retry_after=True,
        max_retry_after=2.0,
        ranks_heeded=True,
        tells_cost=True,
        largest_share=0.4,
        report_columns=("waiting", "cpu", "disk_busy", "memory_used"),
        report_how="answers",
    )
    return api.Settings(**(base | changes))


class Driver:
    """A controller with a clock; keeps all actions and fires the timers that are due."""

    def __init__(self, engines=3, seed=1, entries=None, **changes):
        self.settings = settings(**changes)
        self.controller, self.now, self.timers, self.log = (
            AdmissionController(self.settings, seed),
            100.0,
            [],
            [],
        )
        self.ids = iter(range(1, 1_000_000))
        entries = entries or tuple(api.EngineEntry(n) for n in range(1, engines + 1))
        self.give(api.EngineList(entries, whole=True))

    def give(self, *events):
        actions = self.controller.handle(self.now, events)
        self.timers += [(self.now + a.after, a.token) for a in actions if isinstance(a, api.SetTimer)]
        self.log += [(self.now, a) for a in actions]
        return [a for a in actions if not isinstance(a, (api.SetTimer, api.Terms))]

    def ask(self, cls=0, ttl=0.0, work=0.2, memory=50.0, **more):
        number = next(self.ids)
        ttl = ttl or self.settings.classes[cls].deadline
        return number, self.give(api.Request(number, cls, ttl=ttl, work=work, memory_mb=memory, **more))

    def end(self, send, result=api.Result.OK, attempt=0, work=0.2, memory=40.0, **more):
        final = more.pop("final", result is api.Result.OK)
        return self.give(
            api.Outcome(
                send.request,
                attempt,
                send.engine,
                result,
                0.1,
                final,
                work if result is api.Result.OK else 0.0,
                memory if result is api.Result.OK else 0.0,
                **more,
            )
        )

    def run(self, seconds):
        """Lets time pass; returns what was done."""
        done, until = [], self.now + seconds
        while self.timers and min(self.timers)[0] <= until:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            done += self.give(api.Timer(token))
        self.now = until
        return done


def of(kind, actions):
    return [a for a in actions if isinstance(a, kind)]
