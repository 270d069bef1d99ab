"""The platform's services: key-value store and list of hosts."""

from hibiscustiller.platform._decoding import (
    UNREADABLE_ERRORS,
    read_peer_address,
    read_positive,
    read_text,
)
from hibiscustiller.platform._document_problems import inspect_fleet_document
from hibiscustiller.platform._engine_calls import (
    EngineReport,
    OrderOutcome,
    check_process,
    order_layers,
    read_engine_report,
)
from hibiscustiller.platform._errors import (
    HistoryLostError,
    LeaseExpiredError,
    StoreRefusedError,
    StoreRolledBackError,
    ValueTooLargeError,
)
from hibiscustiller.platform._fields import (
    AnswerFacts,
    Field,
    RequestFacts,
    make_caller_fields,
    make_router_answer_fields,
    make_router_fields,
    make_server_fields,
    read_answer_facts,
    read_request_facts,
)
from hibiscustiller.platform._fleet_document import DOCUMENT_KEY, decode_fleet_document
from hibiscustiller.platform._host_settings import (
    find_host_settings,
    load_host_settings,
    parse_host_settings,
)
from hibiscustiller.platform._hosts import HostList, HostState, read_host_list
from hibiscustiller.platform._kv_store import (
    NO_REVISION,
    Change,
    Changes,
    MetadataStore,
    Revision,
)
from hibiscustiller.platform._server_entries import SERVER_PREFIX, decode_server_entry
from hibiscustiller.platform._store import (
    NO_LEASE,
    Entry,
    EtcdStore,
    KeyValueStore,
    LeaseId,
    SwapOutcome,
    Watch,
)

__all__ = [
    "DOCUMENT_KEY",
    "NO_LEASE",
    "NO_REVISION",
    "SERVER_PREFIX",
    "UNREADABLE_ERRORS",
    "AnswerFacts",
    "Change",
    "Changes",
    "EngineReport",
    "Entry",
    "EtcdStore",
    "Field",
    "HistoryLostError",
    "HostList",
    "HostState",
    "KeyValueStore",
    "LeaseExpiredError",
    "LeaseId",
    "MetadataStore",
    "OrderOutcome",
    "RequestFacts",
    "Revision",
    "StoreRefusedError",
    "StoreRolledBackError",
    "SwapOutcome",
    "ValueTooLargeError",
    "Watch",
    "check_process",
    "decode_fleet_document",
    "decode_server_entry",
    "find_host_settings",
    "inspect_fleet_document",
    "load_host_settings",
    "make_caller_fields",
    "make_router_answer_fields",
    "make_router_fields",
    "make_server_fields",
    "order_layers",
    "parse_host_settings",
    "read_answer_facts",
    "read_engine_report",
    "read_host_list",
    "read_request_facts",
    "read_peer_address",
    "read_positive",
    "read_text",
]
