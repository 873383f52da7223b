"""Test the operator's tool and its exit codes against a scripted entry host."""

import asyncio
import hashlib
import io
import itertools
import json
import pathlib
import sys
import threading

import msgspec
import pytest
from aiohttp import web

from bitternlever.commands import operator, operator_client, operator_output
from bitternlever.messages import directory

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "cantref.json"
TOKEN = "operator-token"
UNREACHABLE = "http://127.0.0.1:1"
CUT_OFF = b"cut"


class EntryHost:
    """An entry host whose answers a test scripts by method and path."""

    def __init__(self) -> None:
        self.answers = {}
        self.calls = []
        self.address = ""
        self.loop = asyncio.new_event_loop()
        self.ready = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()
        assert self.ready.wait(5)

    def run(self) -> None:
        """Serve until the loop is stopped."""
        self.loop.run_until_complete(self.start())
        self.loop.run_forever()

    async def start(self) -> None:
        """Listen on a free port."""
        self.runner = web.ServerRunner(web.Server(self.handle))
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"http://127.0.0.1:{port}"
        self.ready.set()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the next scripted answer; the last one is repeated."""
        self.calls.append((request.method, request.path, await request.read()))
        if request.headers.get("Authorization") != f"Bearer {TOKEN}":
            return problem(401, "no")
        answers = self.answers[request.method, request.path]
        status, body = answers.pop(0) if len(answers) > 1 else answers[0]
        if body is CUT_OFF:
            request.transport.abort()
        return web.Response(status=status, body=body)

    def stop(self) -> None:
        """Stop the server and its thread."""
        asyncio.run_coroutine_threadsafe(self.runner.cleanup(), self.loop).result(5)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.loop.close()


def problem(status: int, ran: str) -> web.Response:
    """Return a problem answer."""
    return web.json_response(
        {"title": "No", "detail": "because", "ran": ran},
        status=status,
    )


def status_body(
    numbers: dict[str, int],
    committed: int = 7,
    ended: tuple[str, ...] = (),
) -> bytes:
    """Return the answer body of ``GET /v1/status``."""
    hosts = [
        directory.HostStatus(
            host=name,
            epoch=1,
            address=f"http://{name}",
            link=f"tcp://{name}:1",
            zone="hall-a",
            manifest_number=number,
            draining=False,
            lease_left_s=2.0,
            ended=name in ended,
        )
        for name, number in numbers.items()
    ]
    status = directory.Status(
        manifest_number=committed,
        manifest_digest="d",
        leader="control-a",
        hosts=hosts,
        replicas=[],
        orders=[],
    )
    return msgspec.json.encode({"directory": status})


@pytest.fixture
def host():
    """Run a scripted entry host."""
    entry_host = EntryHost()
    yield entry_host
    entry_host.stop()


def run(*arguments: str, entry: str = "") -> int:
    """Run the tool and return its exit code."""
    options = ["--entry", entry, "--operator-token", TOKEN] if entry else []
    with pytest.raises(SystemExit) as system_exit:
        operator.main([*arguments, *options])
    return system_exit.value.code


def test_a_manifest_is_sent_to_the_next_host_when_one_is_down(host, capsys):
    body = json.dumps({"number": 1, "digest": "d"}).encode()
    host.answers["PUT", "/v1/manifest"] = [(200, body)]

    code = run("manifest", "apply", str(EXAMPLE), entry=f"{UNREACHABLE},{host.address}")

    assert code == operator_client.EXIT_DONE
    assert host.calls == [("PUT", "/v1/manifest", EXAMPLE.read_bytes())]
    assert hashlib.sha256(EXAMPLE.read_bytes()).hexdigest() in capsys.readouterr().out


@pytest.mark.parametrize(
    ("status", "ran", "code"),
    [
        (409, "no", operator_client.EXIT_REFUSED),
        (401, "no", operator_client.EXIT_UNAUTHORIZED),
        (503, "no", operator_client.EXIT_UNAVAILABLE),
        (503, "unknown", operator_client.EXIT_UNKNOWN),
    ],
)
def test_the_exit_code_reports_the_outcome_of_a_change(host, status, ran, code):
    host.answers["PUT", "/v1/manifest"] = [(status, problem(status, ran).body)]

    assert run("manifest", "apply", str(EXAMPLE), entry=host.address) == code


def test_a_refusal_is_not_repeated_at_another_host(host):
    host.answers["PUT", "/v1/manifest"] = [(409, problem(409, "no").body)]

    run("manifest", "apply", str(EXAMPLE), entry=f"{host.address},{host.address}")

    assert len(host.calls) == 1


def test_an_outcome_unknown_at_one_host_stays_unknown_when_the_next_is_down(host):
    host.answers["PUT", "/v1/manifest"] = [(503, problem(503, "unknown").body)]

    code = run("manifest", "apply", str(EXAMPLE), entry=f"{host.address},{UNREACHABLE}")

    assert code == operator_client.EXIT_UNKNOWN


def test_the_outcome_of_a_change_is_unknown_when_its_answer_is_lost(host):
    host.answers["PUT", "/v1/manifest"] = [(200, CUT_OFF)]

    code = run("manifest", "apply", str(EXAMPLE), entry=host.address)

    assert code == operator_client.EXIT_UNKNOWN


def test_waiting_ends_when_every_host_has_the_manifest_in_force(
    host,
    monkeypatch,
    capsys,
):
    monkeypatch.setattr(operator_output, "POLL_S", 0.0)
    behind = status_body({"entry-a": 7, "entry-b": 6})
    current = status_body({"entry-a": 7, "entry-b": 7})
    host.answers["GET", "/v1/status"] = [(200, behind), (200, behind), (200, current)]

    code = run("manifest", "status", "--wait", "--json", entry=host.address)

    assert code == operator_client.EXIT_DONE
    assert json.loads(capsys.readouterr().out)["in_force_everywhere"] is True


def test_an_ended_host_does_not_delay_a_manifest(host):
    body = status_body({"entry-a": 7, "entry-b": 0}, ended=("entry-b",))
    host.answers["GET", "/v1/status"] = [(200, body)]

    code = run("manifest", "status", "--wait", "--wait-s", "0", entry=host.address)

    assert code == operator_client.EXIT_DONE


def test_a_drain_is_complete_when_the_host_is_listed_as_ended(host):
    name = host.address.removeprefix("http://")
    numbers = {"entry-a": 7, name: 7}
    drained = status_body(numbers, ended=(name,))
    host.answers["GET", "/v1/status"] = [(200, status_body(numbers)), (200, drained)]
    host.answers["POST", "/v1/drain"] = [(202, b"{}")]

    code = run("drain", name, "--wait", "--wait-s", "0", entry=host.address)

    assert code == operator_client.EXIT_DONE


def test_a_replacement_waits_until_its_next_step_is_safe(host, monkeypatch, capsys):
    monkeypatch.setattr(operator_output, "POLL_S", 0.0)
    refused = (409, problem(409, "no").body)
    learner, done = (
        (status, msgspec.json.encode(directory.ReplaceProgress(step, "")))
        for status, step in ((202, "learner"), (200, "done"))
    )
    answers = [refused, refused, learner, done]
    host.answers["POST", "/v1/control/replace"] = answers

    code = run("control", "replace", "a", "disk", "b", "--wait", entry=host.address)

    assert code == operator_client.EXIT_DONE
    assert capsys.readouterr().out.startswith("done")


def test_waiting_too_long_has_an_exit_code_of_its_own(host):
    host.answers["GET", "/v1/status"] = [(200, status_body({"entry-a": 6}))]

    code = run("manifest", "status", "--wait", "--wait-s", "0", entry=host.address)

    assert code == operator_client.EXIT_NOT_YET


def test_a_drain_of_an_unknown_host_is_refused_with_the_known_ones(host, capsys):
    host.answers["GET", "/v1/status"] = [(200, status_body({"entry-a": 7}))]

    assert run("drain", "entry-x", entry=host.address) == operator_client.EXIT_REFUSED
    assert "known are: entry-a" in capsys.readouterr().err


def test_a_faulty_manifest_is_refused_offline_with_every_fault(tmp_path, capsys):
    path = tmp_path / "manifest.json"
    path.write_text('{"number": "one", "colour": 1}')

    assert run("manifest", "check", str(path)) == operator_client.EXIT_REFUSED
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[1] for line in lines[:-1]] == [
        "structure.E002:",
        "structure.E004:",
        "structure.E003:",
        "structure.E003:",
    ]


def test_settings_are_checked_offline_from_a_systemd_environment_file(tmp_path, capsys):
    path = tmp_path / "control.env"
    path.write_text(
        "# Settings of control on host-a.\n"
        "BITTERNLEVER_HOST=host-a\n"
        "BITTERNLEVER_ZONE=hall-a\n"
        "BITTERNLEVER_LISTEN=tcp://0.0.0.0:7001\n"
        f"BITTERNLEVER_CLUSTER_KEY={'k' * 40}\n"
        "BITTERNLEVER_NODES=host-a=tcp://10.0.0.1:7001,host-b=tcp://10.0.0.2:7001,"
        "host-c=tcp://10.0.0.3:7001\n"
        "BITTERNLEVER_ZONES=host-a=hall-a,host-b=hall-a,host-c=hall-c\n"
        f'BITTERNLEVER_DATA_FOLDER="{tmp_path}/data"\n',
    )

    code = run("config", "check", "control", "--environment-file", str(path), "--json")

    found = json.loads(capsys.readouterr().out)["messages"]
    assert code == operator_client.EXIT_REFUSED
    assert [message["id"] for message in found] == [
        "settings.E002",
        "settings.E003",
        "settings.W001",
    ]


class Terminal(io.StringIO):
    """A standard error stream that is a terminal."""

    def isatty(self) -> bool:
        """Return True."""
        return True


@pytest.mark.parametrize(
    ("stream", "shown"), [(Terminal(), True), (io.StringIO(), False)]
)
def test_progress_is_shown_on_a_terminal_only(stream, shown, monkeypatch):
    monkeypatch.setattr(sys, "stderr", stream)
    steps = iter([(False, "1/2 hosts"), (True, "2/2 hosts")])
    clock = itertools.count()

    done = operator_output.wait(
        lambda: next(steps),
        limit_s=60.0,
        now=lambda: float(next(clock)),
        sleep=lambda seconds: None,
    )

    assert done
    assert ("1/2 hosts" in stream.getvalue()) is shown
