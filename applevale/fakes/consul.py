"""A fake Consul member: blocking reads of keys over HTTP, on a store that members may share."""

from __future__ import annotations

import asyncio
import base64
import ssl

from aiohttp import web

from ..discovery.registry.messages import range_end
from .key_value_store import KeyValueStore, KeyVersion

SHUTDOWN_TIMEOUT_SECONDS = 0.1


class Member:
    """One member of the cluster, with faults that can be switched on.

    Attributes:
        stale_store: A frozen store that it answers from in place of the common one.
        rejects_credentials: Whether it rejects all credentials.
        silences_watches: Whether it leaves blocking reads unanswered.
        resets_index: Whether its index starts again at 1, as after a new start of the store.
        retry_after: Whole seconds for which it asks to be left alone, as it rejects all calls for its load;
            None if it does not.
        full_read_delay: Seconds that a full read takes.
    """

    def __init__(self, store: KeyValueStore, token: str = ""):
        """Prepare a member on a free port; without a token it serves everybody."""
        self.store = store
        self.token = token
        self.stale_store: KeyValueStore | None = None
        self.rejects_credentials = False
        self.silences_watches = False
        self.resets_index = False
        self.retry_after: int | None = None
        self.full_read_delay = 0.0
        self.read_count = 0
        self.runner: web.AppRunner | None = None
        self.address = ("127.0.0.1", 0)

    @property
    def visible_store(self) -> KeyValueStore:
        """The store that it answers from."""
        return self.stale_store or self.store

    async def start(self, tls: ssl.SSLContext | None = None) -> None:
        """Listen; `address` holds the port from then on."""
        app = web.Application()
        app.router.add_get("/v1/kv/{prefix:.*}", self._read)
        self.runner = web.AppRunner(app, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, *self.address, ssl_context=tls)
        await site.start()
        self.address = self.runner.addresses[0][:2]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self.runner.cleanup()

    def _index(self) -> int:
        """The index of the whole store: higher than the prefix's own where other keys changed."""
        return 1 if self.resets_index else self.visible_store.revision

    async def _read(self, request: web.Request) -> web.Response:
        if self.rejects_credentials or (self.token and request.headers.get("X-Consul-Token") != self.token):
            raise web.HTTPForbidden(text="ACL not found")
        self.read_count += 1
        self._check_load()
        prefix = request.match_info["prefix"].encode()
        if "index" in request.query:
            timeout = float(request.query["wait"].rstrip("s"))
            await self._wait_for_change(int(request.query["index"]), timeout)
            self._check_load()
        elif self.full_read_delay and "recurse" in request.query:
            await asyncio.sleep(self.full_read_delay)
        versions = self.visible_store.read_range(prefix, range_end(prefix))
        headers = {"X-Consul-Index": str(self._index())}
        if not versions:
            raise web.HTTPNotFound(headers=headers)
        if "keys" in request.query:
            return web.json_response([version.key.decode() for version in versions], headers=headers)
        return web.json_response([_entry(version) for version in versions], headers=headers)

    def _check_load(self) -> None:
        if self.retry_after is not None:
            raise web.HTTPTooManyRequests(headers={"Retry-After": str(self.retry_after)})

    async def _wait_for_change(self, index: int, timeout: float) -> None:
        """Wait until the index has changed, the time is over, or calls are rejected."""
        changed = asyncio.Event()
        self.store.changed.add(changed)
        try:
            async with asyncio.timeout(timeout):
                while (self.silences_watches or self._index() == index) and self.retry_after is None:
                    changed.clear()
                    await changed.wait()
        except TimeoutError:
            pass
        finally:
            self.store.changed.discard(changed)


def _entry(version: KeyVersion) -> dict:
    return {
        "Key": version.key.decode(),
        "Value": base64.b64encode(version.value).decode(),
        "ModifyIndex": version.revision,
        "CreateIndex": version.create_revision,
        "LockIndex": 0,
        "Flags": 0,
    }
