"""Messages of the core reach their callers, and those of slow callers are merged."""

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


async def test_pieces_for_a_caller_that_does_not_read_are_merged():
    open_exchanges = exchanges.Exchanges(on_event=None)
    with exchanges.open_exchange(open_exchanges) as exchange:
        for number in range(PIECES):
            exchanges.deliver(open_exchanges, piece(exchange.caller, number * 2, "ab"))

        received = await exchanges.receive(exchange)

    assert received.text == "ab" * PIECES
    assert not exchange.messages


async def test_a_piece_that_does_not_continue_the_last_is_not_merged():
    open_exchanges = exchanges.Exchanges(on_event=None)
    with exchanges.open_exchange(open_exchanges) as exchange:
        exchanges.deliver(open_exchanges, piece(exchange.caller, 0, "ab"))
        exchanges.deliver(open_exchanges, piece(exchange.caller, 9, "cd"))

        received = [await exchanges.receive(exchange) for _ in range(2)]

    assert [(message.offset, message.text) for message in received] == [
        (0, "ab"),
        (9, "cd"),
    ]


async def test_a_message_for_a_disconnected_caller_is_dropped():
    open_exchanges = exchanges.Exchanges(on_event=None)

    exchanges.deliver(open_exchanges, piece(7, 0, "ab"))

    assert not open_exchanges.by_caller
