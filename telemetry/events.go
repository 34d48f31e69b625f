package telemetry

// The messages of log lines that the explain command reads.
const (
	LogAttemptPlaced        = "attempt placed"
	LogAttemptFailed        = "attempt failed"
	LogAttemptLost          = "attempt lost"
	LogNotAdmitted          = "request not admitted"
	LogRequestEnded         = "request ended"
	LogCatchingUp           = "request waits, the process was suspended"
	LogUpstreamUnresponsive = "upstream is silent"
	LogUpstreamAsked        = "upstream leaving or pausing"
	LogInvariantBroken      = "promise broken"
	LogNodeDraining         = "node drains"
	LogNodeStopped          = "node ends"
	LogStoreUnreachable     = "store lost"
	LogStoreReachable       = "store regained"
	LogStoreEra             = "store restored from a backup"
	LogViewChanged          = "beliefs changed"
	LogRequestsWaiting      = "requests wait"
	LogNoRequestWaiting     = "no request waits"
	LogRequestsBlocked      = "requests blocked"
	LogRequestsReleased     = "requests released"
	LogTrialSent            = "blocked request sent as a trial"
	LogLimitStated          = "upstream states a request limit"
	LogReportFailed         = "engine does not report"
	LogReportRecovered      = "engine reports again"
)
