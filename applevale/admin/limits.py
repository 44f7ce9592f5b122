"""Resource limits of the admin API, in a module that does not import its HTTP library."""

from __future__ import annotations

MAX_CONCURRENT_REQUESTS = 64  # a new request above this limit closes the oldest unfinished one
REQUEST_TIMEOUT_SECONDS = 2.0  # time from the accepted connection to the complete response
ACCEPT_RETRY_SECONDS = 0.01  # delay after a failed accept
MAX_HEADER_BYTES = 8 * 1024
MAX_BODY_BYTES = 4 * 1024
RECEIVE_BUFFER_BYTES = 4096
