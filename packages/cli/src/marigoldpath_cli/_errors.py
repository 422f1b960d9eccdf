"""Errors of the operators' program."""

from ._exit_codes import ExitCode


class CommandError(Exception):
    """A command failed; the message is one line for people."""

    def __init__(self, exit_code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class AnswerLostError(CommandError):
    """A request was sent and its answer did not come back."""

    def __init__(self, message: str) -> None:
        super().__init__(ExitCode.UNKNOWN, message)


class RefusedError(CommandError):
    """An entry host refused; `payload` is its whole answer."""

    def __init__(self, exit_code: ExitCode, message: str, payload: dict) -> None:
        super().__init__(exit_code, message)
        self.payload = payload
