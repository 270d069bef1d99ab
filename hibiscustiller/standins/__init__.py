"""Small stand-ins for the platform and the backend servers."""

from hibiscustiller.standins._booking import BookingFaults, BookingStandin
from hibiscustiller.standins._dripping_server import DrippingServer, EndlessAnswer
from hibiscustiller.standins._engine import EngineFaults, EngineOptions, EngineStandin
from hibiscustiller.standins._fleet import (
    MODEL,
    MODEL_LAYERS,
    ORGANISATION_KEYS_BY_ID,
    TEAM_KEYS_BY_ID,
    Fleet,
    start_fleet,
)
from hibiscustiller.standins._flooding_server import Flood, run_flooding_server
from hibiscustiller.standins._layered_engine import (
    LayeredEngineFaults,
    LayeredEngineStandin,
    make_event,
)
from hibiscustiller.standins._metadata_store import (
    MetadataFaults,
    MetadataStoreStandin,
)
from hibiscustiller.standins._model import compute_answer
from hibiscustiller.standins._plain_server import PlainServerStandin
from hibiscustiller.standins._platform import PlatformStandin, StoreFaults
from hibiscustiller.standins._settings import make_standin_settings

__all__ = [
    "MODEL",
    "MODEL_LAYERS",
    "ORGANISATION_KEYS_BY_ID",
    "TEAM_KEYS_BY_ID",
    "BookingFaults",
    "BookingStandin",
    "DrippingServer",
    "EndlessAnswer",
    "EngineFaults",
    "EngineOptions",
    "EngineStandin",
    "Fleet",
    "Flood",
    "LayeredEngineFaults",
    "LayeredEngineStandin",
    "MetadataFaults",
    "MetadataStoreStandin",
    "PlainServerStandin",
    "PlatformStandin",
    "StoreFaults",
    "compute_answer",
    "make_event",
    "make_standin_settings",
    "run_flooding_server",
    "start_fleet",
]
