package demo

// StartAt, Loopback, Document and Wait are for the tests of the steps.
var (
	StartAt  = startAt
	Loopback = (*Demo).loopback
	Document = (*Demo).document
	Wait     = (*Demo).wait
)
