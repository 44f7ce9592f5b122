"""The operations harness: the application through a manual ejection, a drain and an upgrade in place.

The script, from a seed: clients with kept connections that open them anew; an engine is ejected by hand; a
drain and its end; a second process starts on the same address, and reads the ejection from $TMPDIR; another
engine is ejected at its admin address while both run; the first process is terminated; both engines are
enabled again.

What is checked: nothing new reaches an ejected engine after 0.5 s, from either process, and work reaches it
again within 5 s of the enable; `/ready` is negative in the drain and positive within 2 s of its end; the
second process is ready within 6 s; the metrics agree with the clients' own count, within the tolerance that
is specified; every request is answered, once, and no load is executed twice; no key is out of order among
what one process accepted (across the two no order is guaranteed while both run); at most two requests are
cut by a closed connection in the upgrade, none of them after it reached an engine; each process answers
every request that it accepted.
"""

from ..ports import free_address
from .admin_client import call
from .runner import run

__all__ = ["call", "free_address", "run"]
