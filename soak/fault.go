package soak

import "time"

// FaultKind names a fault.
type FaultKind string

// The faults of a plan. Target and Detail of a Fault mean what stands beside.
const (
	// NodeClosed ends a node at once; another starts later. Target is the
	// place, Detail sameName or newName.
	NodeClosed FaultKind = "node closed"
	// NodeShutDown does so gracefully.
	NodeShutDown FaultKind = "node shut down"
	// StoreDown refuses every call of the platform.
	StoreDown FaultKind = "store down"
	// StoreSlow delays every call of the platform.
	StoreSlow FaultKind = "store slow"
	// StoreLosesAnswers takes writes of the table and does not answer.
	StoreLosesAnswers FaultKind = "store loses answers"
	// EngineCrash restarts an engine. Target is the engine.
	EngineCrash FaultKind = "engine crash"
	// EngineColdStart restarts an engine that then bears one request at a time.
	EngineColdStart FaultKind = "engine cold start"
	// EngineLeaving shows an engine as leaving.
	EngineLeaving FaultKind = "engine leaving"
	// EngineMemorySmall takes half of an engine's KV memory.
	EngineMemorySmall FaultKind = "engine memory small"
	// EngineMemoryFull takes all that is free of an engine's KV memory.
	EngineMemoryFull FaultKind = "engine memory full"
	// StreamsCut cuts connections of streams that run on.
	StreamsCut FaultKind = "streams cut"
	// StreamsBroken ends streams for good.
	StreamsBroken FaultKind = "streams broken"
	// LateReports delays an engine's load reports.
	LateReports FaultKind = "late reports"
	// ServiceRefusing refuses every call of a service unrun. Target is the service.
	ServiceRefusing FaultKind = "service refusing"
	// ServiceDown answers every call of a service with 503.
	ServiceDown FaultKind = "service down"
	// ServiceSlow delays every call of a service.
	ServiceSlow FaultKind = "service slow"
	// ServiceLosesAnswers runs calls and does not answer.
	ServiceLosesAnswers FaultKind = "service loses answers"
	// DataCentreOut takes a data centre out and back in. Target is the data centre.
	DataCentreOut FaultKind = "data centre out"
	// VMOut takes an engine's VM out and back in. Target is the engine.
	VMOut FaultKind = "vm out"
	// RacingPromotions lets two operators promote over one version.
	RacingPromotions FaultKind = "racing promotions"
)

const (
	sameName = "same name"
	newName  = "new name"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// At is when it begins and For how long it lasts, in nanoseconds from the
	// start of the load.
	At     time.Duration `json:"at_ns"`
	For    time.Duration `json:"for_ns"`
	Target int           `json:"target"`
	Detail string        `json:"detail,omitempty"`
	// Pair is true when it begins together with the fault before it.
	Pair bool `json:"pair,omitempty"`
}

// faultShape says what a kind of fault acts on and how long it lasts.
type faultShape struct {
	kind FaultKind
	// on is what the fault holds while it lasts; no other fault holds it then.
	on resource
	// shortest and longest bound how long it lasts.
	shortest, longest time.Duration
}

// resource is a part of the site that one fault at a time acts on.
type resource string

const (
	onNode       resource = "node"
	onStore      resource = "store"
	onEngine     resource = "engine"
	onService    resource = "service"
	onDataCentre resource = "data centre"
	onOperators  resource = "operators"
)

var faultShapes = []faultShape{
	{NodeClosed, onNode, time.Second, 8 * time.Second},
	{NodeShutDown, onNode, time.Second, 8 * time.Second},
	{StoreDown, onStore, 2 * time.Second, 12 * time.Second},
	{StoreSlow, onStore, 2 * time.Second, 10 * time.Second},
	{StoreLosesAnswers, onStore, time.Second, 5 * time.Second},
	{EngineCrash, onEngine, time.Second, time.Second},
	{EngineColdStart, onEngine, 3 * time.Second, 8 * time.Second},
	{EngineLeaving, onEngine, 7 * time.Second, 12 * time.Second},
	{EngineMemorySmall, onEngine, 2 * time.Second, 8 * time.Second},
	{EngineMemoryFull, onEngine, 2 * time.Second, 8 * time.Second},
	{StreamsCut, onEngine, time.Second, 5 * time.Second},
	{StreamsBroken, onEngine, time.Second, 5 * time.Second},
	{LateReports, onEngine, 2 * time.Second, 8 * time.Second},
	{ServiceRefusing, onService, time.Second, 6 * time.Second},
	{ServiceDown, onService, time.Second, 6 * time.Second},
	{ServiceSlow, onService, time.Second, 6 * time.Second},
	{ServiceLosesAnswers, onService, time.Second, 6 * time.Second},
	{DataCentreOut, onDataCentre, 7 * time.Second, 12 * time.Second},
	{VMOut, onDataCentre, 7 * time.Second, 12 * time.Second},
	{RacingPromotions, onOperators, time.Second, 3 * time.Second},
}
