"""Resource limits of the admin API. Importable without its HTTP library."""

from __future__ import annotations

MAX_CONCURRENT_REQUESTS = 64  # beyond that the oldest unfinished one is closed
REQUEST_TIMEOUT_SECONDS = 2.0  # for a whole request and its response, from the connection on
ACCEPT_RETRY_SECONDS = 0.01  # after a failed accept
MAX_HEADER_BYTES = 8 * 1024
MAX_BODY_BYTES = 4 * 1024
RECEIVE_BUFFER_BYTES = 4096
