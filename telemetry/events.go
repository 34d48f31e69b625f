package telemetry

// The messages of log lines that the explain command reads.
const (
	LogAttemptPlaced     = "attempt placed"
	LogAttemptFailed     = "attempt failed"
	LogNotAdmitted       = "request not admitted"
	LogRequestEnded      = "request ended"
	LogUpstreamSilent    = "upstream is silent"
	LogPromiseBroken     = "promise broken"
	LogNodeDrains        = "node drains"
	LogNodeEnds          = "node ends"
	LogStoreLost         = "store lost"
	LogStoreRegained     = "store regained"
	LogViewChanged       = "beliefs changed"
	LogRequestsWait      = "requests wait"
	LogNoneWaits         = "no request waits"
	LogUpstreamMute      = "engine does not report"
	LogUpstreamMuteEnded = "engine reports again"
)
