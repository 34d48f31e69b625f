package demo

// StartAt, Loopback, Document and Wait export internals for TestDemoSteps.
var (
	StartAt  = startAt
	Loopback = (*Demo).loopback
	Document = (*Demo).document
	Wait     = (*Demo).wait
)
