package placement

// StatedLimit is what an answer says of the requests that its upstream takes from all nodes
// together.
type StatedLimit struct {
	// Stated is true if the answer states a limit.
	Stated    bool
	PerSecond float64
}
