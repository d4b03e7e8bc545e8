"""Log lines about single messages and calls, with the ids of the messages and the reason.

Failed calls, and messages that end other than by a delivery, are logged at INFO. Lines that every message
causes are logged at DEBUG, and so are refusals, because clients may cause them at full speed. Times are
milliseconds.
"""

from loguru import logger

from calicopin.facade import Call, CallProgress, FinalAnswer, outcome_of
from calicopin.interface import How

MAX_LOGGED_IDS = 10  # message ids in one line


def log_accepted(text, now: float) -> None:
    """Logs a message that was accepted."""
    logger.debug(
        "message {message} for destination {destination} accepted, {left_ms:.0f} ms left",
        event="message.taken",
        message=text.ident,
        destination=text.dest,
        left_ms=text.until - now,
    )


def log_repeated(text, now: float) -> None:
    """Logs a message whose idempotency key came before, with a submit that may have run."""
    logger.info(
        "message {message} for destination {destination} comes again under its key, "
        "which may have taken effect {age_ms:.0f} ms ago",
        event="message.repeated",
        message=text.ident,
        destination=text.dest,
        age_ms=now - text.ran_at,
    )


def log_call_sent(call: Call) -> None:
    """Logs a call that is about to be made."""
    logger.debug(
        "call to {endpoint} for destination {destination}, time-out {timeout_ms:.0f} ms, messages {messages}",
        event="call.sent",
        endpoint=call.place.ident,
        destination=call.place.dest,
        timeout_ms=call.timeout,
        messages=" ".join(text.ident for text in call.texts[:MAX_LOGGED_IDS]),
    )


def log_call_failed(call: Call, answer, elapsed: float) -> None:
    """Logs a call in which at least one message was not delivered."""
    outcomes = [outcome_of(answer, text.ident)[0] for text in call.texts]
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
        reached=CallProgress(answer.progress).name.lower(),
        status=answer.status,
        elapsed_ms=elapsed,
        wait_ms=answer.wait,
        attempt=call.texts[0].tries,
        messages=" ".join(text.ident for text in call.texts[:MAX_LOGGED_IDS]),
    )


def log_given_up(end: FinalAnswer) -> None:
    """Logs a message that ends undelivered with a notice, with the reason."""
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


def log_ended(end: FinalAnswer, now: float) -> None:
    """Logs a message that ends without a notice, with the reason."""
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


def log_refused(text, status: int, why: str) -> None:
    """Logs a message that was refused."""
    logger.debug(
        "message {message} for destination {destination} refused with {status}: {why}",
        event="message.refused",
        message=text.ident,
        destination=text.dest,
        status=status,
        why=why,
    )
