"""Signal handling of a control process."""

import asyncio

from bitternlever.control import shell
from bitternlever.messages import consensus


def make(loop):
    return shell.Shell(
        tables=None,
        links=None,
        writer=None,
        observer=None,
        stopped=loop.create_future(),
    )


def test_the_first_signal_asks_the_core_and_the_second_ends_at_once():
    loop = asyncio.new_event_loop()
    made = make(loop)
    events = []

    shell._handle_signal(made, events.append)
    assert events == [consensus.StopRequested()]
    assert not made.stopped.done()

    shell._handle_signal(made, events.append)
    assert made.stopped.done()
    assert len(events) == 1
    loop.close()


def test_the_core_ends_the_process():
    loop = asyncio.new_event_loop()
    made = make(loop)

    shell._deliver(made, consensus.Stopped())
    shell._deliver(made, consensus.Stopped())

    assert made.stopped.done()
    loop.close()
