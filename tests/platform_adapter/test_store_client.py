"""Client of the store, on responses that a test sets."""

from __future__ import annotations

import json

from twisted.internet.defer import Deferred

from guavabarrow_platform.store_client import StoreResponse, StoreTable


def row(key: str, version: int) -> dict:
    return {"Key": key, "Ver": version}


class PagedClient:
    """Store whose table changes after each page."""

    def __init__(self) -> None:
        self.pages = [
            {"Ver": 10, "NowMs": 1000, "HasMore": True, "rows": [row("a", 3)]},
            {"Ver": 12, "NowMs": 1500, "HasMore": False, "rows": [row("z", 4)]},
        ]

    async def call(self, method, path, body=b"", *, wait_s=0.0):
        page = self.pages.pop(0)
        return StoreResponse(200, json.dumps(page).encode(), 0)


def test_a_watch_after_a_read_of_several_pages_misses_no_change():
    """A row of the first page that changed before the last one was read was missed."""
    results: list = []
    table = StoreTable(PagedClient(), "servers")
    Deferred.fromCoroutine(table.read()).addCallback(results.append)
    [result] = results
    assert [row.key for row in result.rows] == ["a", "z"]
    assert result.version == 10
    assert result.store_s == 1.0
