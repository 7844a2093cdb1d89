"""What touches sockets, each kind behind an abstract base class."""

from ._http import Header, HttpError, RequestHead, ResponseHead, collect, end_to_end, find_header
from ._http_client import HttpClient, HttpClientConnection
from ._http_server import Exchange, HttpHandler, HttpServer, ServerLimits, listen
from ._platform import (
    PlatformReport,
    RunReport,
    RunState,
    StartOrder,
    WorkerPlatform,
)
from ._store import Store, StoredValue
from ._store_http import HttpStore

__all__ = [
    "Exchange",
    "Header",
    "HttpClient",
    "HttpClientConnection",
    "HttpError",
    "HttpHandler",
    "HttpServer",
    "HttpStore",
    "PlatformReport",
    "RequestHead",
    "ResponseHead",
    "RunReport",
    "RunState",
    "ServerLimits",
    "StartOrder",
    "Store",
    "StoredValue",
    "WorkerPlatform",
    "collect",
    "end_to_end",
    "find_header",
    "listen",
]
