"""Log lines on single messages: each call that failed, each message given up and each one refused, with the
message's id and the reason.

Failed calls, and messages that end in any other way than by a delivery, are logged at INFO; what every
message brings is logged at DEBUG, and so are refusals: clients may send those at full speed. Times are
milliseconds.
"""

from loguru import logger

from calicopin.facade import Call, End, Far, how
from calicopin.interface import How

MOST_NAMED = 10  # ids in one line


def taken(text, now: float) -> None:
    """One line for a message that was taken on."""
    logger.debug(
        "message {message} for destination {destination} taken on, {left_ms:.0f} ms left",
        event="message.taken",
        message=text.ident,
        destination=text.dest,
        left_ms=text.until - now,
    )


def call_sent(call: Call) -> None:
    """One line for a call that is about to be made."""
    logger.debug(
        "call to {endpoint} for destination {destination} within {timeout_ms:.0f} ms, messages {messages}",
        event="call.sent",
        endpoint=call.place.ident,
        destination=call.place.dest,
        timeout_ms=call.timeout,
        messages=" ".join(text.ident for text in call.texts[:MOST_NAMED]),
    )


def call_failed(call: Call, answer, elapsed: float) -> None:
    """One line for a call of which at least one message was not delivered."""
    outcomes = [how(answer, text.ident)[0] for text in call.texts]
    worst = next((outcome for outcome in outcomes if outcome != How.DELIVERED), None)
    if worst is None:
        return
    logger.info(
        "call to {endpoint} for destination {destination} failed: {outcome} after {elapsed_ms:.0f} ms, "
        "attempt {attempt}, messages {messages}",
        event="call.failed",
        endpoint=call.place.ident,
        destination=call.place.dest,
        outcome=worst.name.lower(),
        reached=Far(answer.far).name.lower(),
        status=answer.status,
        elapsed_ms=elapsed,
        wait_ms=answer.wait,
        attempt=call.texts[0].tries,
        messages=" ".join(text.ident for text in call.texts[:MOST_NAMED]),
    )


def given_up(end: End) -> None:
    """One line for a message that ends undelivered, with the reason."""
    logger.info(
        "message {message} for destination {destination} given up after {attempts} attempts: {why}",
        event="message.given-up",
        message=end.text.ident,
        destination=end.text.dest,
        attempts=end.text.tries,
        why=end.why,
        verdict=end.verdict,
        wait_ms=end.wait,
    )


def ended(end: End, now: float) -> None:
    """One line for a message of which nothing more is owed, without a notice: how it ended."""
    logger.log(
        "DEBUG" if end.delivered else "INFO",
        "message {message} for destination {destination} ended after {attempts} attempts: {why}",
        event="message.delivered" if end.delivered else "message.over",
        message=end.text.ident,
        destination=end.text.dest,
        attempts=end.text.tries,
        why=end.why,
        left_ms=end.text.until - now,
    )


def refused(text, status: int, why: str) -> None:
    """One line for a message that was not taken on."""
    logger.debug(
        "message {message} for destination {destination} refused with {status}: {why}",
        event="message.refused",
        message=text.ident,
        destination=text.dest,
        status=status,
        why=why,
    )
