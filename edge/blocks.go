package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/exchange"
	"github.com/wigeontiller/wigeontiller/quarantine"
)

const (
	// blockRetryInterval is how often blocks are stored again after a failed call.
	blockRetryInterval = 2 * time.Second
	// blockStoreTimeout bounds the calls for one block.
	blockStoreTimeout = time.Second
	// trialClaimInterval is the least time between two claims of a trial of the same block.
	trialClaimInterval = 10 * time.Second
	// maxStoredWitnesses bounds the ends that are stored with a block, of which the last ones count.
	maxStoredWitnesses = 16
)

// BlockStore stores what must outlive all nodes of the blocks of prompts.
type BlockStore interface {
	// SaveBlock stores ends whose times are relative to now.
	SaveBlock(ctx context.Context, key string, ends []quarantine.End) error
	// ClaimTrial reports whether the caller, and no other node, may send the next trial.
	ClaimTrial(ctx context.Context, key string, delay time.Duration) (bool, error)
	DeleteBlock(ctx context.Context, key string) error
}

// blockKeeper stores the blocks whose last witness this node saw, deletes those that it has stored or
// that an answer to it has ended, and claims trials.
type blockKeeper struct {
	store  BlockStore
	runner *exchange.QuarantineRunner
	// isOwner reports whether this node claims the trials of a block.
	isOwner func(id, zone string) bool
	logger  zerolog.Logger
	// stored holds the number of witnesses that are stored, by block.
	stored map[string]int
	// outdated are the blocks that are still to be deleted.
	outdated []string

	mutex sync.Mutex
	// claimedAt is when a trial was last claimed, by block.
	claimedAt map[string]time.Time
}

func newBlockKeeper(store BlockStore, runner *exchange.QuarantineRunner, isOwner func(id, zone string) bool, logger zerolog.Logger) *blockKeeper {
	k := &blockKeeper{store: store, runner: runner, isOwner: isOwner, logger: logger, stored: map[string]int{}, claimedAt: map[string]time.Time{}}
	runner.Trial = k.claimTrial
	return k
}

// run stores and deletes blocks until the context is done.
func (k *blockKeeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		var retry <-chan time.Time
		if !k.synchronize(ctx) {
			retry = time.After(blockRetryInterval)
		}
		select {
		case <-ctx.Done():
		case <-k.runner.Changed():
		case <-retry:
		}
	}
}

// synchronize reports whether all is stored.
func (k *blockKeeper) synchronize(ctx context.Context) bool {
	done := true
	attempt := func(key, action string, call func(ctx context.Context) error) bool {
		ctx, cancel := context.WithTimeout(ctx, blockStoreTimeout)
		defer cancel()
		if err := call(ctx); err != nil {
			k.logger.Warn().Err(err).Str("block", key).Str("action", action).Msg("block not stored, trying again")
			done = false
			return false
		}
		return true
	}
	own := k.runner.OwnBlocks()
	current := make(map[string]int, len(own))
	for _, block := range own {
		witnesses := len(block.Witnesses)
		current[block.Key] = k.stored[block.Key]
		if k.stored[block.Key] == witnesses {
			continue
		}
		if attempt(block.Key, "save", func(ctx context.Context) error {
			return k.store.SaveBlock(ctx, block.Key, lastWitnesses(block.Witnesses))
		}) {
			current[block.Key] = witnesses
		}
	}
	outdated := append(k.outdated, k.runner.TakeReleased()...)
	for key := range k.stored {
		// A block that other parts have taken the place of.
		if _, still := current[key]; !still && !k.runner.HasBlock(key) && !slices.Contains(outdated, key) {
			outdated = append(outdated, key)
		}
	}
	k.stored = current
	k.outdated = nil
	for _, key := range outdated {
		if !attempt(key, "delete", func(ctx context.Context) error { return k.store.DeleteBlock(ctx, key) }) {
			k.outdated = append(k.outdated, key)
		}
	}
	return done
}

func lastWitnesses(witnesses []quarantine.End) []quarantine.End {
	return witnesses[max(0, len(witnesses)-maxStoredWitnesses):]
}

// claimTrial claims a trial of a block in the background, if this node is the one to do so.
func (k *blockKeeper) claimTrial(block *quarantine.Block) {
	if !k.isOwner(keyOfTrial+block.Key, "") {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if time.Since(k.claimedAt[block.Key]) < trialClaimInterval {
		return
	}
	for key, at := range k.claimedAt {
		if time.Since(at) > quarantine.BlockTTL {
			delete(k.claimedAt, key)
		}
	}
	k.claimedAt[block.Key] = time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), blockStoreTimeout)
		defer cancel()
		// The node that was to store the block may be gone.
		err := k.store.SaveBlock(ctx, block.Key, lastWitnesses(k.runner.Witnesses(block)))
		granted := false
		if err == nil {
			granted, err = k.store.ClaimTrial(ctx, block.Key, block.TrialDelay())
		}
		k.logger.Info().Err(err).Str("block", block.Key).Bool("granted", granted).Msg("trial of blocked prompt parts claimed")
		if granted {
			k.runner.GrantTrial(block.Key)
		}
	}()
}

// keyOfTrial begins the name by which the node that claims a block's trials is chosen.
const keyOfTrial = "trial/"
