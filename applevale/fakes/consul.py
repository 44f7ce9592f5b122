"""A Consul-like member: blocking reads of keys over HTTP, on a store that members may share."""

from __future__ import annotations

import asyncio
import base64
import ssl

from aiohttp import web

from ..discovery.registry.messages import range_end
from .store import Store


class Member:
    """One member. `lag`, `deny`, `slow` and `mute` as those of the etcd-like one (a mute one leaves blocking
    reads unanswered); `reset`: its index starts again at 1, as after a new start of the store; `declining`:
    it refuses all for its load, and asks to be left alone for that many whole s."""

    def __init__(self, store: Store, token: str = ""):
        self.store, self.token = store, token
        self.lag: Store | None = None
        self.deny = self.mute = self.reset = False
        self.declining: int | None = None
        self.slow = 0.0
        self.reads = 0
        self.runner: web.AppRunner | None = None
        self.address = ("127.0.0.1", 0)

    @property
    def view(self) -> Store:
        return self.lag or self.store

    async def start(self, tls: ssl.SSLContext | None = None) -> None:
        app = web.Application()
        app.router.add_get("/v1/kv/{prefix:.*}", self._read)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, *self.address, ssl_context=tls)
        await site.start()
        self.address = self.runner.addresses[0][:2]

    async def stop(self) -> None:
        await self.runner.cleanup()

    def _index(self) -> int:
        """Of the whole store: higher than the prefix's own where other keys changed."""
        return 1 if self.reset else self.view.revision

    async def _read(self, request: web.Request) -> web.Response:
        if self.deny or (self.token and request.headers.get("X-Consul-Token") != self.token):
            raise web.HTTPForbidden(text="ACL not found")
        self.reads += 1
        self._declines()
        prefix = request.match_info["prefix"].encode()
        if "index" in request.query:
            await self._block(int(request.query["index"]), float(request.query["wait"].rstrip("s")))
            self._declines()
        elif self.slow and "recurse" in request.query:
            await asyncio.sleep(self.slow)
        found = self.view.under(prefix, range_end(prefix))
        headers = {"X-Consul-Index": str(self._index())}
        if not found:
            raise web.HTTPNotFound(headers=headers)
        if "keys" in request.query:
            return web.json_response([version.key.decode() for version in found], headers=headers)
        return web.json_response(
            [
                {
                    "Key": version.key.decode(),
                    "Value": base64.b64encode(version.value).decode(),
                    "ModifyIndex": version.revision,
                    "CreateIndex": version.created,
                    "LockIndex": 0,
                    "Flags": 0,
                }
                for version in found
            ],
            headers=headers,
        )

    def _declines(self) -> None:
        if self.declining is not None:
            raise web.HTTPTooManyRequests(headers={"Retry-After": str(self.declining)})

    async def _block(self, index: int, wait: float) -> None:
        """Until the index has passed, or the wait is over."""
        changed = asyncio.Event()
        self.store.changed.add(changed)
        try:
            async with asyncio.timeout(wait):
                while (self.mute or self._index() == index) and self.declining is None:
                    changed.clear()
                    await changed.wait()
        except TimeoutError:
            pass
        finally:
            self.store.changed.discard(changed)
