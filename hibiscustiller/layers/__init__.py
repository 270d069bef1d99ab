"""Layer placement, pipelines and admission for models split across engines."""

from hibiscustiller.layers._admission import (
    UNKNOWN_OUTCOME,
    Admission,
    Demand,
    Grant,
    PlaceOutcome,
)
from hibiscustiller.layers._admission_policy import AdmissionPolicy
from hibiscustiller.layers._answer_lengths import AnswerLengths
from hibiscustiller.layers._choice import PipelineSelector, has_old_reports
from hibiscustiller.layers._even_choice import (
    ServerLoad,
    choose_evenly,
    measure_peak,
)
from hibiscustiller.layers._load import EngineLoad, EngineUse
from hibiscustiller.layers._pipelines import (
    Pipeline,
    Stage,
    check_pipeline,
    find_fastest_pipeline,
    find_pipelines,
)
from hibiscustiller.layers._place_allocator import PlaceAllocator
from hibiscustiller.layers._place_client import PlaceClient
from hibiscustiller.layers._placement import plan_covers, plan_layers
from hibiscustiller.layers._placer import EngineGroup, LayerPlacer
from hibiscustiller.layers._rejections import RejectionRecord
from hibiscustiller.layers._shared_admission import SharedAdmission
from hibiscustiller.layers._yielding import MIN_LEFT_SHARE, MIN_RUN_TIME

__all__ = [
    "Admission",
    "AdmissionPolicy",
    "AnswerLengths",
    "UNKNOWN_OUTCOME",
    "Demand",
    "PlaceOutcome",
    "EngineGroup",
    "EngineLoad",
    "EngineUse",
    "Grant",
    "LayerPlacer",
    "MIN_LEFT_SHARE",
    "MIN_RUN_TIME",
    "Pipeline",
    "PipelineSelector",
    "PlaceClient",
    "PlaceAllocator",
    "RejectionRecord",
    "ServerLoad",
    "SharedAdmission",
    "Stage",
    "check_pipeline",
    "choose_evenly",
    "find_fastest_pipeline",
    "find_pipelines",
    "has_old_reports",
    "measure_peak",
    "plan_covers",
    "plan_layers",
]
