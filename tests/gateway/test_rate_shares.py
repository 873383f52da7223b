"""Hosts share the rate limits of upstreams, at any number of hosts and any limit."""

import dataclasses
import heapq
import random

import pytest

from bitternlever.fleet import rate_limits, upstreams as fleet_upstreams
from bitternlever.gateway import placement, rate_shares, sync, tables as gateway_tables
from bitternlever.messages import fleet
from tests.gateway import samples

NOW = 1_000.0
WINDOW_S = 4.0
LISTED_WITHIN_S = 0.6
"""Time until every host knows a change of the list."""


def host(number, state=fleet.HostState.READY) -> fleet.HostAnnouncement:
    return samples.host_announcement(f"h{number}", state=state)


def make_tables(number, count, *names) -> gateway_tables.GatewayTables:
    """Return the tables of one of some hosts that knows upstreams."""
    tables = gateway_tables.GatewayTables(announcement=host(number), seeds=())
    tables.catalog = samples.catalog()
    tables.hosts.listed = tuple(host(other) for other in range(count))
    for name in names or ("u1",):
        status = samples.upstream_status(name)
        fleet_upstreams.merge_status(tables.upstreams, NOW, status)
    return tables


def limit(tables, per_s, name="u1", at_s=NOW) -> None:
    rate_limits.observe(tables.rate_limits, at_s, name, 1_000, per_s)


@dataclasses.dataclass(slots=True)
class World:
    """Hosts that send all that they may, with lists that change at different times."""

    draws: random.Random
    hosts: dict[int, gateway_tables.GatewayTables]
    status: fleet.UpstreamStatus
    per_s: float
    sent_s: list[float] = dataclasses.field(default_factory=list)
    changes: list = dataclasses.field(default_factory=list)

    def ask(self, now, number) -> None:
        """Send a request from a host if it may."""
        while self.changes and self.changes[0][0] <= now:
            _, changed, listed = heapq.heappop(self.changes)
            if changed in self.hosts:
                tables = self.hosts[changed]
                tables.hosts.listed = tuple(host(other) for other in listed)
        tables = self.hosts[number]
        opens_s = rate_shares.request_opens_s(tables, now, self.status)
        if opens_s is None or opens_s <= now:
            rate_shares.take_request(tables, now, self.status)
            self.sent_s.append(now)

    def list_hosts(self, now) -> None:
        """Let each host learn within a time which hosts there are."""
        listed = tuple(sorted(self.hosts))
        for number in self.hosts:
            at_s = now + self.draws.uniform(0, LISTED_WITHIN_S)
            heapq.heappush(self.changes, (at_s, number, listed))

    def shorten_lists(self, now) -> None:
        """Let each host see only itself listed, and all hosts half a second later."""
        listed = tuple(sorted(self.hosts))
        for number in self.hosts:
            heapq.heappush(self.changes, (now, number, (number,)))
            heapq.heappush(self.changes, (now + 0.5, number, listed))

    def replace(self, now, count) -> None:
        """End some hosts and start others, which learn the limit at once."""
        for number in self.draws.sample(sorted(self.hosts), count):
            del self.hosts[number]
            new = max([*self.hosts, number]) + 1
            self.hosts[new] = make_tables(new, 0)
            limit(self.hosts[new], self.per_s, at_s=now)
        self.list_hosts(now)


def make_world(seed, count, per_s) -> World:
    hosts = {number: make_tables(number, count) for number in range(count)}
    for tables in hosts.values():
        limit(tables, per_s)
    return World(random.Random(seed), hosts, samples.upstream_status(), per_s)


def run(
    world,
    seconds,
    requests_per_s,
    replace_every_s=None,
    replaced=1,
    shorten_every_s=None,
) -> None:
    now = NOW
    shorten_s = None if shorten_every_s is None else NOW + shorten_every_s
    replace_s = None if replace_every_s is None else NOW + replace_every_s
    while now < NOW + seconds:
        now += world.draws.expovariate(requests_per_s)
        if replace_s is not None and now >= replace_s:
            world.replace(now, replaced)
            replace_s += replace_every_s
        if shorten_s is not None and now >= shorten_s:
            world.shorten_lists(now)
            shorten_s += shorten_every_s
        world.ask(now, world.draws.choice(sorted(world.hosts)))


def worst_window(sent_s) -> int:
    first = 0
    worst = 0
    for last, at_s in enumerate(sent_s):
        while sent_s[first] <= at_s - WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def allowed(per_s) -> float:
    return 1.5 * WINDOW_S * per_s + 5


@pytest.mark.parametrize("count", [1, 2, 6, 9, 60, 200])
@pytest.mark.parametrize("per_s", [0.0, 0.1, 0.5, 1.0, 3.0, 10.0, 100.0])
def test_all_hosts_together_keep_a_limit_and_use_it(count, per_s):
    world = make_world(1, count, per_s)
    seconds = 60.0
    # Every host gets enough for its share of the largest and of small limits.
    run(world, seconds, requests_per_s=min(4_000.0, 4.0 * per_s + 2.0 * count))

    burst = rate_shares.BURST_REQUESTS + per_s
    assert worst_window(world.sent_s) <= allowed(per_s)
    assert len(world.sent_s) <= (per_s + rate_shares.MINIMUM_PER_S) * seconds + burst
    assert len(world.sent_s) >= 0.6 * per_s * seconds - 1


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("per_s", [0.2, 1.0, 8.0])
@pytest.mark.parametrize(
    ("count", "replaced"), [(3, 1), (6, 1), (6, 3), (60, 4), (60, 30)]
)
def test_a_limit_is_kept_while_hosts_are_replaced(count, replaced, per_s, seed):
    world = make_world(seed, count, per_s)
    run(
        world,
        40.0,
        requests_per_s=4.0 * per_s + 2.0 * count,
        replace_every_s=5.0,
        replaced=replaced,
    )

    assert worst_window(world.sent_s) <= allowed(per_s)
    assert len(world.sent_s) >= 0.3 * per_s * 40.0 - 1


def test_a_limit_is_kept_while_control_starts_and_lists_few_hosts():
    world = make_world(2, 6, 10.0)
    requests_per_s = 4.0 * 10.0
    run(world, 12.0, requests_per_s, shorten_every_s=3.0)

    assert worst_window(world.sent_s) <= allowed(10.0)
    assert len(world.sent_s) >= 0.6 * 10.0 * 12.0


def test_a_new_catalog_divides_a_limit_among_hosts_that_were_listed_recently():
    tables = make_tables(0, 4)
    limit(tables, 4.0)
    status = samples.upstream_status()
    rate_shares.take_request(tables, NOW, status)
    tables.hosts.listed = (host(0),)
    tables.catalog = samples.catalog(version=2)
    before = rate_shares.request_tokens(tables, NOW + 0.1, status, NOW + 0.1)
    later = rate_shares.request_tokens(tables, NOW + 0.1, status, NOW + 0.6)

    assert later - before == pytest.approx(0.5)


def test_a_host_that_stops_or_is_not_listed_has_no_share():
    tables = make_tables(0, 2)
    limit(tables, 1.0)
    status = samples.upstream_status()
    draining = host(0, fleet.HostState.DRAINING)

    assert rate_shares.request_opens_s(tables, NOW, status) < NOW + 10.0
    tables.announcement = draining
    assert rate_shares.request_opens_s(tables, NOW, status) == float("inf")
    tables = make_tables(7, 2)
    limit(tables, 1.0)
    assert rate_shares.request_opens_s(tables, NOW, status) == float("inf")


def test_a_frozen_host_gets_no_more_than_its_bucket_holds():
    tables = make_tables(0, 6)
    limit(tables, 6.0)
    status = samples.upstream_status()
    rate_shares.take_request(tables, NOW, status)
    later_s = NOW + 3_600.0

    tokens = rate_shares.request_tokens(tables, later_s, status, later_s)
    assert tokens == pytest.approx(10.0 / 6)


def test_a_limit_that_falls_or_rises_holds_from_the_next_request_on():
    tables = make_tables(0, 1)
    status = samples.upstream_status()
    limit(tables, 100.0)
    for _ in range(50):
        rate_shares.take_request(tables, NOW, status)
    limit(tables, 0.5, at_s=NOW + 1.0)
    tokens = rate_shares.request_tokens(tables, NOW + 1.0, status, NOW + 1.0)
    assert tokens <= rate_shares.BURST_REQUESTS + 0.5

    for _ in range(5):
        rate_shares.take_request(tables, NOW + 1.0, status)
    assert rate_shares.request_opens_s(tables, NOW + 1.0, status) > NOW + 2.0
    limit(tables, 50.0, at_s=NOW + 2.0)
    assert rate_shares.request_opens_s(tables, NOW + 2.0, status) < NOW + 2.1
    assert rate_shares.request_opens_s(tables, NOW + 2.1, status) == NOW + 2.1

    limit(tables, None, at_s=NOW + 3.0)
    assert rate_shares.request_opens_s(tables, NOW + 3.0, status) is None


def test_a_limit_that_ends_and_begins_again_at_once_fills_no_bucket():
    tables = make_tables(0, 1)
    status = samples.upstream_status()
    limit(tables, 1.0)
    drain(tables, NOW, "u1")
    limit(tables, None, at_s=NOW + 0.1)
    assert rate_shares.request_opens_s(tables, NOW + 0.1, status) is None
    limit(tables, 1.0, at_s=NOW + 0.2)

    assert rate_shares.request_opens_s(tables, NOW + 0.2, status) > NOW + 0.2


def test_the_limit_of_a_stage_service_is_for_calls_unless_requests_go_there_too():
    tables = make_tables(0, 1)
    limit(tables, 2.0)
    status = samples.upstream_status()

    assert rate_shares.calls_per_s(tables, NOW, status) == 1.0
    tables.catalog = samples.catalog(version=2, routes={})
    assert rate_shares.calls_per_s(tables, NOW, status) == 2.0
    services = {"plain": samples.stage_service("plain")}
    tables.catalog = samples.catalog(version=3, services=services)
    shared = rate_shares.request_tokens(tables, NOW, status, NOW)
    later = rate_shares.request_tokens(tables, NOW, status, NOW + 1.0)
    assert later - shared <= 1.0


def drain(tables, now, *names) -> None:
    """Use all tokens for some upstreams."""
    for name in names:
        status = samples.upstream_status(name)
        while rate_shares.request_opens_s(tables, now, status) <= now:
            rate_shares.take_request(tables, now, status)


def test_a_limited_upstream_without_a_token_is_not_open_but_others_are():
    tables = make_tables(0, 1, "u1", "u2")
    limit(tables, 1.0)
    drain(tables, NOW, "u1")

    (open_upstream,) = sync.open_upstreams(tables, NOW, "plain")
    assert open_upstream.upstream == "u2"
    assert sync.closed(tables, NOW, "plain") is None


def test_a_limited_upstream_gets_its_share_unless_it_is_much_slower():
    tables = make_tables(0, 1, "u1", "u2")
    limit(tables, 10.0)
    usable = sync.usable_upstreams(tables, NOW, "plain")
    placement.record_success(placement.health(tables, "u1"), 0.15)
    placement.record_success(placement.health(tables, "u2"), 0.10)
    full_s = NOW + 10.0
    assert placement.choose(tables, NOW, usable, set(), None).upstream == "u2"
    assert placement.choose(tables, full_s, usable, set(), None).upstream == "u1"

    rate_shares.take_request(tables, full_s, samples.upstream_status())
    assert placement.choose(tables, full_s, usable, set(), None).upstream == "u2"
    placement.record_success(placement.health(tables, "u1"), 1.0)
    later_s = full_s + 10.0
    assert placement.choose(tables, later_s, usable, set(), None).upstream == "u2"


def test_refused_callers_return_one_after_the_other_at_the_rate_of_the_limits():
    tables = make_tables(0, 4, "u1", "u2")
    limit(tables, 1.0, "u1")
    limit(tables, 3.0, "u2")
    drain(tables, NOW, "u1", "u2")
    refused = [sync.closed(tables, NOW, "plain") for _ in range(4)]

    assert {closed.reason for closed in refused} == {
        "all upstreams are at their limits"
    }
    times_s = [closed.retry_after_s for closed in refused]
    assert 0 < times_s[0] <= 0.25
    assert times_s[1] - times_s[0] == pytest.approx(1.0)
    assert times_s[3] - times_s[2] == pytest.approx(1.0)


def test_a_request_with_stages_is_refused_if_others_will_take_all_tokens():
    tables = make_tables(0, 1)
    limit(tables, 1.0)
    drain(tables, NOW, "u1")
    awaiting = tables.rate_shares.awaiting

    assert sync.closed(tables, NOW, "plain", in_s=0.1) is not None
    assert sync.closed(tables, NOW, "plain", in_s=2.0) is None
    awaiting["plain"] = 2
    assert sync.closed(tables, NOW, "plain", in_s=2.0) is not None
    assert sync.closed(tables, NOW, "plain", in_s=4.0) is None


def make_brittle(tables, name="u1", borne_per_s=2.0, at_s=NOW) -> fleet.UpstreamStatus:
    rate_limits.observe(tables.rate_limits, at_s, name, 1_000, None, borne_per_s)
    return tables.upstreams.entries[name].status


def running(tables, count, name="u1", latency_s=1.0) -> None:
    record = placement.health(tables, name)
    record.running, record.latency_s = count, latency_s


@pytest.mark.parametrize("hosts", [1, 2, 3, 7, 60])
@pytest.mark.parametrize("slots", [1, 6, 64])
def test_all_hosts_together_have_no_more_requests_at_a_brittle_upstream_than_slots(
    hosts, slots
):
    total = 0
    for number in range(hosts):
        tables = make_tables(number, hosts)
        status = samples.upstream_status(slots=slots, sequence=2)
        fleet_upstreams.merge_status(tables.upstreams, NOW, status)
        upstream = make_brittle(tables)
        while rate_shares.has_room(tables, NOW, upstream):
            total += 1
            placement.health(tables, "u1").running += 1

    assert total == slots


def test_a_rejection_of_a_brittle_upstream_lowers_what_it_gets_for_some_time():
    tables = make_tables(0, 2)
    status = samples.upstream_status(slots=64, sequence=2)
    fleet_upstreams.merge_status(tables.upstreams, NOW, status)
    upstream = make_brittle(tables)
    running(tables, 21)
    rate_shares.record_rejection(tables, NOW, upstream)

    running(tables, 0)
    assert not rate_shares.has_room(tables, NOW + 0.9, upstream)
    assert rate_shares.request_tokens(tables, NOW + 1.1, upstream, NOW + 1.1) == 14.0
    assert rate_shares.request_tokens(tables, NOW + 4.1, upstream, NOW + 4.1) == 16.0
    assert rate_shares.request_tokens(tables, NOW + 99.0, upstream, NOW + 99.0) == 32.0


def test_the_successor_of_a_brittle_upstream_is_brittle_until_it_has_answered():
    tables = make_tables(0, 1, "u1", "u2")
    make_brittle(tables)
    successor = tables.upstreams.entries["u2"].status
    running(tables, successor.slots, "u2")

    assert not rate_shares.has_room(tables, NOW, successor)
    later_s = NOW + rate_limits.SERVICE_RETENTION_S
    assert rate_shares.has_room(tables, later_s, successor)


def test_callers_of_full_brittle_upstreams_are_refused_and_return_one_after_another():
    tables = make_tables(0, 1)
    upstream = make_brittle(tables)
    running(tables, upstream.slots)

    refused = [sync.closed(tables, NOW, "plain") for _ in range(3)]
    assert sync.open_upstreams(tables, NOW, "plain") == []
    times = [outcome.retry_after_s for outcome in refused]
    assert times == sorted(times)
    assert times[-1] - times[0] == pytest.approx(2 / upstream.slots)
    # All that run now have ended by then.
    assert sync.closed(tables, NOW, "plain", in_s=1.0) is None
