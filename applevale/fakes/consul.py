"""A fake Consul member: plain and blocking reads of keys over HTTP, from a store that members may share."""

from __future__ import annotations

import asyncio
import base64
import ssl

from aiohttp import web

from ..discovery.registry.messages import range_end
from .key_value_store import KeyValueStore, KeyVersion

SHUTDOWN_TIMEOUT_SECONDS = 0.1


class Member:
    """One member of the cluster, with faults that tests can switch on.

    Attributes:
        stale_store: Frozen copy of the store to answer from instead of the shared one; None for no fault.
        rejects_credentials: Whether all credentials are rejected.
        silences_watches: Whether blocking reads end only at their timeout, even if a key has changed.
        resets_index: Whether the index is 1 again, as after a restart of the store.
        retry_after: If not None, all reads are rejected as rate-limited, with this many whole seconds in
            `Retry-After`.
        full_read_delay: Delay of a full read, in seconds.
    """

    def __init__(self, store: KeyValueStore, token: str = ""):
        """Create a member that will listen on a free port; with an empty token it accepts every caller."""
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
        """The store that reads are answered from."""
        return self.stale_store or self.store

    async def start(self, tls: ssl.SSLContext | None = None) -> None:
        """Start to listen and set `address` to the port in use."""
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
        """Return the index of the whole store, which also grows when keys outside the prefix change."""
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
        return web.json_response([_json_entry(version) for version in versions], headers=headers)

    def _check_load(self) -> None:
        if self.retry_after is not None:
            raise web.HTTPTooManyRequests(headers={"Retry-After": str(self.retry_after)})

    async def _wait_for_change(self, index: int, timeout: float) -> None:
        """Wait until the index differs from `index`, `timeout` seconds pass or reads are rejected."""
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


def _json_entry(version: KeyVersion) -> dict:
    return {
        "Key": version.key.decode(),
        "Value": base64.b64encode(version.value).decode(),
        "ModifyIndex": version.revision,
        "CreateIndex": version.create_revision,
        "LockIndex": 0,
        "Flags": 0,
    }
