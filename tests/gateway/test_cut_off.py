"""Hosts that are cut off from all upstreams serve callers through other hosts."""

import asyncio
import contextlib
import dataclasses
import itertools
import socket
import time

import pytest

from bitternlever.catalog import tables as catalog_tables
from bitternlever.core import clocks
from bitternlever.gateway import batch_owners, shell as gateway_shell
from standins import scripted_upstream
from tests.gateway import entry_host, samples

CONTACT_S = 3.0
"""From here on after a cut began, callers of a host that is cut off must be served."""

MEASURED_S = 2.0
INTERVAL_S = 0.05
SETTLE_S = 0.1
"""Connections that were aborted have ended by then."""

KEPT_CURRENT_S = 60.0
"""Without control the catalog counts as current for the time of a test."""

REFUSED, SILENT, NEW_REFUSED = "refused", "silent", "new connections refused"
ACCEPTED_RESET, ACCEPTED_SILENT = "accepted, then reset", "accepted, then silent"
"""Cuts above TCP, as by a proxy or address translation on the way."""


@dataclasses.dataclass(slots=True)
class Gate:
    """A TCP relay in front of an upstream, which can cut off those that dial it."""

    upstream: scripted_upstream.ScriptedUpstream
    port: int = 0
    listener: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    blocking: list[socket.socket] = dataclasses.field(default_factory=list)
    silent: bool = False
    resets: bool = False

    async def open(self) -> None:
        """Accept connections; the cut ends."""
        for blocking in self.blocking:
            blocking.close()
        self.blocking.clear()
        self.silent = self.resets = False
        if self.listener is not None and self.listener.is_serving():
            return
        self.listener = await asyncio.start_server(
            self._relay, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """End all connections, so that none outlives the loop."""
        self.silent = False
        self.listener.close()
        for writer in list(self.writers):
            scripted_upstream.abort(writer)

    def cut(self, how: str) -> None:
        """Cut off those that dial it; ``how`` tells what they see."""
        self.silent = how in (SILENT, ACCEPTED_SILENT)
        self.resets = how == ACCEPTED_RESET
        if how in (ACCEPTED_RESET, ACCEPTED_SILENT):
            return
        self.listener.close()
        if how == REFUSED:
            for writer in list(self.writers):
                scripted_upstream.abort(writer)
        if how == SILENT:
            self._drop_new_connections()

    def _drop_new_connections(self) -> None:
        """Fill the queue of a listening socket: the kernel drops further dials."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(("127.0.0.1", self.port))
        listening.listen(0)
        self.blocking.append(listening)
        for _ in range(4):
            dial = socket.socket()
            dial.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                dial.connect(("127.0.0.1", self.port))
            self.blocking.append(dial)

    async def _relay(self, reader, writer) -> None:
        host, _, port = self.upstream.address.partition(":")
        other_reader, other_writer = await asyncio.open_connection(host, int(port))
        self.writers |= {writer, other_writer}
        await asyncio.gather(
            self._copy(reader, other_writer), self._copy(other_reader, writer)
        )
        self.writers -= {writer, other_writer}

    async def _copy(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if self.resets:
                    for each in self.writers:
                        scripted_upstream.abort(each)
                    break
                while self.silent:
                    await asyncio.sleep(0.02)
                writer.write(data)
        writer.close()


@dataclasses.dataclass(slots=True)
class Hosts:
    """A host behind gates and one that reaches the upstreams, and their ports."""

    gates: list[Gate]
    servers: list[scripted_upstream.ScriptedUpstream]
    gateway: object
    port: int
    other: object
    other_port: int

    def cut(self, how: str) -> None:
        for gate in self.gates:
            gate.cut(how)

    async def heal(self) -> None:
        for gate in self.gates:
            await gate.open()


@contextlib.asynccontextmanager
async def running(behaviour=None, catalog=None):
    """Run two hosts and three upstreams; the first host reaches them through gates."""
    behaviour = behaviour or scripted_upstream.answer(delay_s=0.02)
    catalog = catalog or samples.catalog()
    servers = [await scripted_upstream.start(f"u{n}", behaviour) for n in range(3)]
    gates = [Gate(server) for server in servers]
    for gate in gates:
        await gate.open()
    direct = [
        samples.upstream_status(each.name, address=each.address) for each in servers
    ]
    gated = [
        samples.upstream_status(each.upstream.name, address=f"127.0.0.1:{each.port}")
        for each in gates
    ]
    async with (
        entry_host.running(catalog, *direct) as (other, other_port),
        entry_host.running(catalog, *gated) as (gateway, port),
    ):
        listed = (
            samples.host_announcement("one", address=f"127.0.0.1:{port}"),
            samples.host_announcement("two", address=f"127.0.0.1:{other_port}"),
        )
        for each, own in zip((gateway, other), listed, strict=True):
            each.settings = dataclasses.replace(
                each.settings, host=own.host, link=own.link
            )
            each.tables.announcement = own
            each.tables.hosts.listed = listed
            each.tables.catalog_current_s = clocks.boot_time() + KEPT_CURRENT_S
            gateway_shell._expire(each)
        try:
            yield Hosts(gates, servers, gateway, port, other, other_port)
        finally:
            gateway.closing = other.closing = True
            for gate in gates:
                gate.close()
            await asyncio.sleep(SETTLE_S)


async def send(port, for_s, method="GET", prefix="r"):
    """Send requests at a fixed rate; return their answers (None: none) and times."""
    outcomes = {}

    async def ask(identity):
        started_s = time.monotonic()
        data = entry_host.request(method, identity=identity)
        answer = None
        with contextlib.suppress(OSError, IndexError, TimeoutError):
            answer = await entry_host.call(port, data, 3.0)
        outcomes[identity] = answer, time.monotonic() - started_s

    tasks = []
    ends_s = time.monotonic() + for_s
    for number in itertools.count():
        if time.monotonic() >= ends_s:
            break
        tasks.append(asyncio.ensure_future(ask(f"{prefix}{number}")))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    return outcomes


def served(outcomes) -> float:
    """Return the share of the requests that were answered with success."""
    answers = [answer for answer, _ in outcomes.values()]
    return sum(each is not None and each.status == 200 for each in answers) / len(
        answers
    )


@pytest.mark.parametrize("how", [REFUSED, SILENT, NEW_REFUSED])
async def test_callers_of_a_host_that_is_cut_off_are_served(how):
    async with running() as hosts:
        assert served(await send(hosts.port, 0.5, prefix="before")) == 1.0
        hosts.cut(how)
        await send(hosts.port, CONTACT_S, prefix="early")
        during = await send(hosts.port, MEASURED_S, prefix="during")
        await hosts.heal()
        await send(hosts.port, CONTACT_S, prefix="healed")
        sent = hosts.other.measures.attempts["sent"]
        after = await send(hosts.port, 0.5, prefix="after")

    assert served(during) >= 0.95
    assert max(took_s for _, took_s in during.values()) < 1.0
    assert served(after) == 1.0
    assert hosts.other.measures.attempts["sent"] == sent


@pytest.mark.parametrize("how", [ACCEPTED_RESET, ACCEPTED_SILENT])
async def test_callers_of_a_host_whose_connections_are_accepted_in_vain_are_served(how):
    """A connection that is accepted is no reach."""
    async with running() as hosts:
        assert served(await send(hosts.port, 0.5, prefix="before")) == 1.0
        hosts.cut(how)
        await send(hosts.port, CONTACT_S, prefix="early")
        during = await send(hosts.port, MEASURED_S, prefix="during")

    assert served(during) >= 0.95
    assert max(took_s for _, took_s in during.values()) < 1.0


async def test_requests_of_a_host_that_is_cut_off_run_once():
    route = samples.route(repeatability=catalog_tables.Repeatability.ONCE)
    catalog = samples.catalog(routes={"h.example": [route]})
    async with running(catalog=catalog) as hosts:
        hosts.cut(REFUSED)
        await send(hosts.port, CONTACT_S, "POST", prefix="early")
        during = await send(hosts.port, MEASURED_S, "POST", prefix="during")
        runs = [
            received.headers["x-bitternlever-request-id"]
            for server in hosts.servers
            for received in server.received
        ]

    assert served(during) >= 0.95
    assert len(runs) == len(set(runs))


async def test_streams_of_a_host_that_is_cut_off_pass_event_by_event():
    pieces = [b"id: %d\n\n" % number for number in range(4)]
    route = samples.route(repeatability=catalog_tables.Repeatability.STREAM)
    catalog = samples.catalog(routes={"h.example": [route]})
    stream = scripted_upstream.stream(*pieces, gap_s=0.2)
    async with running(stream, catalog) as hosts:
        hosts.cut(REFUSED)
        await send(hosts.port, CONTACT_S, prefix="early")
        reader, writer = await asyncio.open_connection("127.0.0.1", hosts.port)
        writer.write(entry_host.request("POST", identity="s"))
        times = []
        async with asyncio.timeout(3.0):
            while len(times) < len(pieces):
                if (await reader.readline()).startswith(b"id:"):
                    times.append(time.monotonic())
        writer.close()

    assert all(later - earlier > 0.1 for earlier, later in itertools.pairwise(times))


async def test_a_silent_upstream_is_no_cut():
    async with running() as hosts:
        await send(hosts.port, 0.3, prefix="before")
        hosts.gates[0].cut(SILENT)
        outcomes = await send(hosts.port, CONTACT_S, prefix="during")
        assert not hosts.gateway.tables.announcement.cut_off

    assert hosts.gateway.measures.attempts["handed_over"] == 0
    assert served(outcomes) >= 0.9


async def test_slow_upstreams_do_not_make_all_hosts_refuse():
    async with running(scripted_upstream.answer(delay_s=2.4)) as hosts:
        catalog = samples.catalog(
            routes={"h.example": [samples.route(timeout_s=4.0, objective_s=3.0)]}
        )
        hosts.gateway.tables.catalog = hosts.other.tables.catalog = catalog
        sent = [
            asyncio.ensure_future(send(port, 5.0, prefix=str(port)))
            for port in (hosts.port, hosts.other_port)
        ]
        outcomes = await asyncio.gather(*sent)

    assert min(served(each) for each in outcomes) >= 0.95


async def test_requests_are_refused_at_once_if_all_hosts_are_cut_off():
    async with running() as hosts:
        hosts.cut(REFUSED)
        for server in hosts.servers:
            scripted_upstream.stop(server)
        for name, port in (("one", hosts.port), ("two", hosts.other_port)):
            await send(port, 1.0, prefix=name)
        outcomes = await send(hosts.port, 1.0, prefix="during")

    answers = [answer for answer, _ in outcomes.values()]
    assert {answer.status for answer in answers} == {503}
    assert all(float(answer.headers["retry-after"]) > 0 for answer in answers)
    assert max(took_s for _, took_s in outcomes.values()) < 0.5


async def test_a_host_that_is_cut_off_is_announced_and_batches_no_stage_work():
    async with running() as hosts:
        hosts.cut(REFUSED)
        await send(hosts.port, 1.5, prefix="early")
        cut_off = hosts.gateway.tables.announcement
        hosts.other.tables.hosts.listed = (cut_off, hosts.other.tables.announcement)
        now = clocks.boot_time()
        owners = {
            batch_owners.owner(hosts.other, now, f"service-{number}")
            for number in range(20)
        }

    assert cut_off.cut_off
    assert owners == {hosts.other.tables.announcement.link}


async def test_connections_lost_by_the_network_are_no_crashes_of_requests():
    async with running(scripted_upstream.answer(delay_s=0.3)) as hosts:
        sending = asyncio.ensure_future(send(hosts.port, 0.5))
        await asyncio.sleep(0.4)
        hosts.cut(REFUSED)
        await sending

    # The first connection of those that are lost together may count.
    assert len(hosts.gateway.tables.crash_subjects.crashes) <= 1
