"""Errors of the operators' program."""

from ._exit_codes import ExitCode


class CommandError(Exception):
    """A command failed; the message is one line for the operator."""

    def __init__(self, exit_code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class OutcomeUnknownError(CommandError):
    """A request was sent and its reply was lost, so its outcome is unknown."""

    def __init__(self, message: str) -> None:
        super().__init__(ExitCode.UNKNOWN, message)


class RefusedError(CommandError):
    """An entry host replied with an error; `payload` is the body of the reply."""

    def __init__(self, exit_code: ExitCode, message: str, payload: dict) -> None:
        super().__init__(exit_code, message)
        self.payload = payload
