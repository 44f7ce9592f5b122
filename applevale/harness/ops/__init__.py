"""The operations harness: a manual ejection, a drain and an in-place upgrade of the application.

The script, whose random draws come from a seed:

1. A process starts. Clients keep connections to it, and reopen them when they are closed.
2. An engine is ejected by hand.
3. The process is drained, and the drain is ended.
4. A second process starts on the same address and reads the ejection from $TMPDIR. While both processes run,
   another engine is ejected at the second one's admin address.
5. The first process is terminated.
6. Both engines are enabled again.

What is checked:

- Neither process sends new work to an ejected engine later than 0.5 s after the ejection. The engine receives
  work again within 5 s of being enabled.
- `/ready` is negative during the drain and positive within 2 s of its end.
- The second process is ready within 6 s.
- The metrics agree with the clients' own count, within the specified tolerance.
- Every request is answered exactly once, and no load is executed twice.
- The order of each key is kept among the requests that one process accepted. Across the two processes no
  order is guaranteed while both run.
- The upgrade cuts the connection of at most two requests, and of none that has reached an engine.
- Each process answers every request that it accepted.
"""

from ..ports import free_address
from .admin_client import call_admin_api
from .runner import run

__all__ = ["call_admin_api", "free_address", "run"]
