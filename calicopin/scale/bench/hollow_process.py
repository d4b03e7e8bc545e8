"""The hollow couriers' process as the controller sees it."""

import multiprocessing

from calicopin.scale.bench import hollow

PATIENCE = 120.0  # seconds for an answer


class HollowFailedError(Exception):
    """The process did not answer; the message is one plain line."""


class HollowProcess:
    """Started with its settings; every call is one order and its answer."""

    def __init__(self, settings: hollow.HollowSettings):
        context = multiprocessing.get_context("spawn")
        self.connection, theirs = context.Pipe()
        self.process = context.Process(target=hollow.serve, args=(theirs, settings), daemon=True)
        self.process.start()
        theirs.close()
        self.empty: int = self._answer(PATIENCE)  # bytes resident without a courier

    def ask(self, order, patience: float = PATIENCE):
        """The answer to an order."""
        self.connection.send(order)
        return self._answer(patience)

    def _answer(self, patience: float):
        if not self.connection.poll(patience):
            raise HollowFailedError(f"the hollow couriers did not answer within {patience:.0f} s")
        try:
            return self.connection.recv()
        except EOFError:
            raise HollowFailedError("the process of the hollow couriers has ended") from None

    def stop(self) -> None:
        """Ends it, for certain."""
        try:
            self.connection.send(hollow.Stop())
        except OSError:
            pass
        self.process.join(5.0)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()
