"""Network clients and servers, each behind an abstract base class."""

from ._advisor import Advice, Advisor, NoAdvisor
from ._control_content import decode_content, encode_content
from ._coordination import (
    CoordinationStore,
    Put,
    StoreChange,
    StoreChanges,
    StoredItem,
    StoreListing,
)
from ._executor_calls import ANY_INCARNATION, MAX_CALL_SECONDS, ExecutorCalls, ExecutorEndpoint
from ._http import (
    BodyTooLargeError,
    ConnectError,
    Header,
    HttpError,
    RequestHead,
    ResponseHead,
    collect,
    end_to_end_headers,
    find_header,
)
from ._http_client import UNACKNOWLEDGED_SECONDS, ClientExchange, HttpClient, HttpClientConnection
from ._http_server import Exchange, HttpHandler, HttpServer, ServerLimits, listen
from ._instances import (
    HttpInstanceList,
    InstanceChange,
    InstanceChanges,
    InstanceList,
    InstanceState,
)
from ._loop_profile import LoopProfile
from ._loop_time import LoopTime
from ._machines import MachineCalls, NoMachines
from ._peer_connection import (
    Call,
    IncomingCall,
    OutgoingCall,
    PeerConnection,
    PeerHandler,
    refusal_error,
)
from ._peer_messages import AnswerHead, Chunk, Control, Forward, Pong, Refusal, Role, ServiceFigures
from ._peers import Peers
from ._platform import PlatformReport, RunReport, RunState, StartOrder, WorkerPlatform
from ._platform_http import HttpPlatform, RenewCall, StopCall, ThrottleCall
from ._relay_client import RelayedExecutors, RelayEndpoint
from ._relay_server import RelayServer
from ._relay_traffic import RelayTraffic
from ._replica_client import SocketReplicaPeers
from ._replica_server import ReplicaServer
from ._replicas import (
    ReplicaAnswer,
    ReplicaEndpoint,
    ReplicaPeer,
    ReplicaPeers,
    ReplicaQuery,
    ReplicaSource,
    Route,
)
from ._store import Store, StoredValue
from ._store_http import HttpStore

__all__ = [
    "ANY_INCARNATION",
    "MAX_CALL_SECONDS",
    "UNACKNOWLEDGED_SECONDS",
    "Advice",
    "Advisor",
    "AnswerHead",
    "BodyTooLargeError",
    "Call",
    "Chunk",
    "ClientExchange",
    "ConnectError",
    "Control",
    "CoordinationStore",
    "Exchange",
    "ExecutorCalls",
    "ExecutorEndpoint",
    "Forward",
    "Header",
    "HttpClient",
    "HttpClientConnection",
    "HttpError",
    "HttpHandler",
    "HttpInstanceList",
    "HttpPlatform",
    "HttpServer",
    "HttpStore",
    "IncomingCall",
    "InstanceChange",
    "InstanceChanges",
    "InstanceList",
    "InstanceState",
    "LoopProfile",
    "LoopTime",
    "MachineCalls",
    "NoAdvisor",
    "NoMachines",
    "OutgoingCall",
    "PeerConnection",
    "PeerHandler",
    "Peers",
    "PlatformReport",
    "Pong",
    "Put",
    "Refusal",
    "RelayEndpoint",
    "RelayServer",
    "RelayTraffic",
    "RelayedExecutors",
    "RenewCall",
    "ReplicaAnswer",
    "ReplicaEndpoint",
    "ReplicaPeer",
    "ReplicaPeers",
    "ReplicaQuery",
    "ReplicaServer",
    "ReplicaSource",
    "RequestHead",
    "ResponseHead",
    "Role",
    "Route",
    "RunReport",
    "RunState",
    "ServerLimits",
    "ServiceFigures",
    "SocketReplicaPeers",
    "StartOrder",
    "StopCall",
    "Store",
    "StoreChange",
    "StoreChanges",
    "StoreListing",
    "StoredItem",
    "StoredValue",
    "ThrottleCall",
    "WorkerPlatform",
    "collect",
    "decode_content",
    "encode_content",
    "end_to_end_headers",
    "find_header",
    "listen",
    "refusal_error",
]
