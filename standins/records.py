"""The records of a stand-in, one JSON line each, flushed immediately."""

import pathlib
import time

from bench.invariants import files, records
from bitternlever.messages import upstream
from standins import settings as standin_settings


class Recorder:
    """Write the records of one stand-in; without a folder, only count them."""

    __slots__ = ("append", "count", "name", "non_idempotent")

    def __init__(self, settings: standin_settings.Settings) -> None:
        self.name = settings.name
        self.non_idempotent = settings.non_idempotent
        self.count = 0
        self.append = None
        if settings.records:
            folder = pathlib.Path(settings.records)
            self.append = files.open_writer(folder, settings.name)

    def record_call(self, call: upstream.StageCall) -> None:
        """Record that a call is about to run."""
        binding = call.binding
        self.write(
            records.StageCalled(
                upstream=self.name,
                request=binding.request,
                stage=binding.stage,
                attempt=binding.attempt,
                epoch=binding.epoch,
                idempotent=binding.stage not in self.non_idempotent,
                input_digest=records.digest(call.input),
                time_s=time.monotonic(),
            ),
        )

    def record_end(
        self,
        call: upstream.StageCall,
        ending: records.Ending,
        output_digest: str = "",
    ) -> None:
        """Record how a call ended."""
        binding = call.binding
        self.write(
            records.CallEnded(
                upstream=self.name,
                request=binding.request,
                stage=binding.stage,
                attempt=binding.attempt,
                input_digest=records.digest(call.input),
                ending=ending,
                output_digest=output_digest,
                time_s=time.monotonic(),
            ),
        )

    def record_order(self, order: upstream.EngineOrder, accepted: bool) -> None:
        """Record an order and whether it was accepted."""
        self.write(
            records.OrderReceived(
                upstream=self.name,
                fencing=order.fencing,
                models=order.models,
                taken=accepted,
                time_s=time.monotonic(),
            ),
        )

    def record_announcement(self, leaving: bool) -> None:
        """Record that an entry host accepted the first announcement or the last one."""
        record_type = records.LeavingAnnounced if leaving else records.ServingAnnounced
        self.write(record_type(upstream=self.name, time_s=time.monotonic()))

    def write(self, record: records.Record) -> None:
        """Append one record and flush it."""
        self.count += 1
        if self.append is not None:
            self.append(record)
