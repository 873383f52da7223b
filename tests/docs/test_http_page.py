"""The page on the HTTP interface lists every route and every problem title."""

import pathlib
import re

from bitternlever.http import server

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "ref" / "http.md").read_text(encoding="utf-8")
TITLE = re.compile(r'title="([^"]+)"')


def test_the_page_lists_every_route():
    missing = []
    for route in server._routes():
        path = re.sub(r"\{pipeline\}", "{name}", route.path)
        path = re.sub(r"\{request_id\}", "{id}", path)
        if f"{route.method} {path}" not in PAGE:
            missing.append((route.method, path))

    assert missing == []


def test_the_page_lists_the_title_of_every_problem_of_a_request():
    titles = set()
    for path in (ROOT / "bitternlever" / "pipelines").glob("*.py"):
        titles.update(TITLE.findall(path.read_text(encoding="utf-8")))

    assert [title for title in sorted(titles) if title not in PAGE] == []
