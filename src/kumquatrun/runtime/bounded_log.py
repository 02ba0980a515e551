"""Log handler that never blocks and writes a bounded number of lines.

A reader of the log that is slow or gone costs lines, not requests. Left-out
lines are counted and the count is written as soon as there is room.
"""

import logging
import os
import time

# A busy entry writes two lines for each request; this covers 200 requests/s.
MAX_LINES_PER_S = 400
# Lines that may come at once, for example at a start.
MAX_BURST_LINES = 800
# What a reader has not taken yet; about 2,000 lines.
MAX_UNWRITTEN_BYTES = 1024 * 1024


class BoundedLogHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting.

    Parameters
    ----------
    descriptor
        File descriptor to write to; it is made non-blocking.
    lines_per_s, burst_lines
        Bound of the volume.

    Attributes
    ----------
    dropped_lines
        Lines that were left out and are not reported yet.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = MAX_LINES_PER_S,
        burst_lines: int = MAX_BURST_LINES,
    ) -> None:
        super().__init__()
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._available_lines = float(burst_lines)
        self._refilled_at_s = time.monotonic()
        self._unwritten = b''
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as left out."""
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        if not self._reserve_line():
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            line = (
                f'event=log_lines_left_out count={self.dropped_lines}\n{line}'
            )
            self.dropped_lines = 0
        self._unwritten += line.encode('utf-8', 'replace') + b'\n'
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; nothing can be told to anyone.
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]

    def _reserve_line(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self._refilled_at_s) * self._lines_per_s
        self._available_lines = min(
            self._burst_lines, self._available_lines + gained
        )
        self._refilled_at_s = now_s
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self.flush()
        if (
            len(self._unwritten) > MAX_UNWRITTEN_BYTES
            or self._available_lines < 1
        ):
            return False
        self._available_lines -= 1
        return True
