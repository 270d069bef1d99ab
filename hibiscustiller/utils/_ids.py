"""Types of identifiers, names and version numbers."""

from typing import NewType

RouterId = NewType("RouterId", str)
ServerId = NewType("ServerId", str)
OrganisationId = NewType("OrganisationId", str)
TeamId = NewType("TeamId", str)
ModelName = NewType("ModelName", str)
ClassName = NewType("ClassName", str)
ServiceName = NewType("ServiceName", str)
DomainId = NewType("DomainId", str)
RegionId = NewType("RegionId", str)
RequestId = NewType("RequestId", str)
Fingerprint = NewType("Fingerprint", str)
PartId = NewType("PartId", str)
CrashId = NewType("CrashId", int)
Revision = NewType("Revision", int)
Fence = NewType("Fence", int)
