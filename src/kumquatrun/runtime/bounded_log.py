"""Non-blocking log handler with a rate limit.

If the reader of the log is slow or has closed it, lines are dropped and
requests are not delayed. The number of dropped lines is logged before the next
line that is written.
"""

import logging
import os
import time

# A busy entry writes two lines for each request; this covers 200 requests/s.
MAX_LINES_PER_S = 400
# Lines in one burst, for example at startup.
MAX_BURST_LINES = 800
# Buffer for what the reader has not read yet; about 2,000 lines.
MAX_UNWRITTEN_BYTES = 1024 * 1024


class BoundedLogHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting.

    Parameters
    ----------
    descriptor
        File descriptor to write to; it is made non-blocking.
    lines_per_s, burst_lines
        Sustained rate and largest burst.

    Attributes
    ----------
    dropped_lines
        Lines that were dropped and are not reported yet.
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
        """Write one record, or count it as dropped."""
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
        """Write as much as possible without blocking."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the log; the buffered lines are lost.
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
