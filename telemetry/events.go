package telemetry

// The messages of log lines that are read again by the explain command.
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
	LogBeliefsChanged    = "beliefs changed"
	LogRequestsWait      = "requests wait"
	LogNoneWaits         = "no request waits"
	LogUpstreamMute      = "engine does not report"
	LogUpstreamMuteEnded = "engine reports again"
)
