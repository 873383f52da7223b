"""Messages of the core reach their callers, however slowly they read."""

from bitternlever.http import exchanges
from bitternlever.messages import requests

PIECES = 200_000


def piece(caller, offset, text):
    return requests.StreamPiece(
        caller=caller,
        request_id="r-1",
        offset=offset,
        text=text,
    )


async def test_pieces_for_a_caller_that_does_not_read_become_one():
    opened = exchanges.Exchanges(on_event=None)
    with exchanges.open_exchange(opened) as exchange:
        for number in range(PIECES):
            exchanges.deliver(opened, piece(exchange.caller, number * 2, "ab"))

        received = await exchanges.receive(exchange)

    assert received.text == "ab" * PIECES
    assert not exchange.messages


async def test_a_piece_that_does_not_continue_the_last_stays_apart():
    opened = exchanges.Exchanges(on_event=None)
    with exchanges.open_exchange(opened) as exchange:
        exchanges.deliver(opened, piece(exchange.caller, 0, "ab"))
        exchanges.deliver(opened, piece(exchange.caller, 9, "cd"))

        received = [await exchanges.receive(exchange) for _ in range(2)]

    assert [(each.offset, each.text) for each in received] == [(0, "ab"), (9, "cd")]


async def test_a_message_for_a_caller_that_has_gone_is_dropped():
    opened = exchanges.Exchanges(on_event=None)

    exchanges.deliver(opened, piece(7, 0, "ab"))

    assert not opened.by_caller
