// Package bench measures the routing decisions: it runs one seeded workload in
// virtual time against models of the upstreams, with several entry nodes that
// each know only their own placements and lagging reports.
//
// Each node is told its position among those of its data centre.
//
// The nodes share one link model: a delay by distance, a little variation, and
// now and then a lost packet that costs a retransmission. A change of the site
// reaches each node after up to two seconds. The rest of a node follows package
// entry: a refused attempt, or one broken before its first token, is tried again
// elsewhere up to the document's limit; a call with a side effect is sent once;
// the deadline ends what is left; a cancel is repeated until it is confirmed.
// The time between tokens is taken at the engine. An admitted request that
// never got a first token counts with the whole of its deadline.
package bench
