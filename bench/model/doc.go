// Package model holds the models of upstreams that a measurement runs against,
// in virtual time.
//
// An engine batches continuously. Each step of the batch produces one token of
// every decoding sequence and reads one chunk of the waiting prompts. The chunk
// goes to the highest priority, and within a priority to one prompt after the
// other in turns. A step with prompts alone lasts as long as the chunk takes at
// the prefill rate. A step with decoding sequences lasts a base interval, a
// little for each sequence and for the memory in use, and a quarter of the
// chunk's time, because decoding is bound by memory and reading by arithmetic.
// The prefill rate is the same at every length: the growth of attention with
// the length is left out.
//
// A prefix cache keeps the prompts that were read in the memory that jobs leave
// free, and gives up the start that was used longest ago. A job finds what is
// there when its first chunk is read. It is lost when the engine restarts or goes
// cold. Answers are not kept, nor prompts that several engines hold.
//
// Memory is kept for the prompt and the longest answer asked for, from the
// start of a job to its end; a job without a slot or memory is refused.
//
// After a start, or when it goes cold unannounced, an upstream has a small
// share of its speed and slots, which grows evenly. With more jobs than that it
// falls over: all jobs break and it starts again.
package model
