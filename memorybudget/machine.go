package memorybudget

// The parts of a machine's memory.
const (
	mebibyte = 1 << 20
	// DefaultMachineBytes is the memory that is assumed if the settings state none: that of the smallest machines.
	DefaultMachineBytes = 184 * mebibyte
	// MinMachineBytes is the least memory that a node runs in.
	MinMachineBytes = 64 * mebibyte
	// programBytes is what the runtime does not count: the pages of the program and of the C library.
	programBytes = 24 * mebibyte
	// ownBytes is what a node needs for itself: its view, books, logs.
	ownBytes = 16 * mebibyte
)

// ForMachine returns the runtime's soft limit and the budget of a process, from the memory of its machine. A tenth
// is left for the kernel. Of the soft limit less the node's own part, six tenths may be live: the rest is room for
// the collector, so that it need not run all the time.
func ForMachine(bytes int64) (softLimit, budget int64) {
	softLimit = bytes/10*9 - programBytes
	return softLimit, (softLimit - ownBytes) / 10 * 6
}
