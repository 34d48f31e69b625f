// Package soak runs a whole site in one process under a seeded load and a
// seeded plan of faults, and checks what must always hold against what the
// stand-ins saw.
//
// The plan of faults and of arrivals follows from the seed alone. What the
// goroutines make of it does not: a replay repeats the plan, not the
// interleaving.
package soak
