package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/blocklist"
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

// BlockStore stores what must outlive all nodes of the blocks of requests.
type BlockStore interface {
	// SaveBlock stores ends whose times are relative to now.
	SaveBlock(ctx context.Context, key string, ends []quarantine.End) error
	// ClaimTrial reports whether the caller, and no other node, may send the next trial.
	ClaimTrial(ctx context.Context, key string, delay time.Duration) (bool, error)
	DeleteBlock(ctx context.Context, key string) error
}

// blockSynchronizer stores the blocks whose last witness this node saw, deletes those that it has stored or
// that an answer to it has ended, and claims trials.
type blockSynchronizer struct {
	store BlockStore
	list  *blocklist.Blocklist
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

func newBlockSynchronizer(store BlockStore, list *blocklist.Blocklist, isOwner func(id, zone string) bool, logger zerolog.Logger) *blockSynchronizer {
	b := &blockSynchronizer{store: store, list: list, isOwner: isOwner, logger: logger, stored: map[string]int{}, claimedAt: map[string]time.Time{}}
	list.Trial = b.claimTrial
	return b
}

// run stores and deletes blocks until the context is done.
func (b *blockSynchronizer) run(ctx context.Context) {
	for ctx.Err() == nil {
		var retry <-chan time.Time
		if !b.synchronize(ctx) {
			retry = time.After(blockRetryInterval)
		}
		select {
		case <-ctx.Done():
		case <-b.list.Changed():
		case <-retry:
		}
	}
}

// synchronize reports whether all is stored.
func (b *blockSynchronizer) synchronize(ctx context.Context) bool {
	done := true
	attempt := func(key, action string, call func(ctx context.Context) error) bool {
		ctx, cancel := context.WithTimeout(ctx, blockStoreTimeout)
		defer cancel()
		if err := call(ctx); err != nil {
			b.logger.Warn().Err(err).Str("block", key).Str("action", action).Msg("block not stored, trying again")
			done = false
			return false
		}
		return true
	}
	own := b.list.OwnBlocks()
	current := make(map[string]int, len(own))
	for _, block := range own {
		witnesses := len(block.Witnesses)
		current[block.Key] = b.stored[block.Key]
		if b.stored[block.Key] == witnesses {
			continue
		}
		if attempt(block.Key, "save", func(ctx context.Context) error {
			return b.store.SaveBlock(ctx, block.Key, lastWitnesses(block.Witnesses))
		}) {
			current[block.Key] = witnesses
		}
	}
	outdated := append(b.outdated, b.list.TakeReleased()...)
	for key := range b.stored {
		// A block that other parts have taken the place of.
		if _, still := current[key]; !still && !b.list.HasBlock(key) && !slices.Contains(outdated, key) {
			outdated = append(outdated, key)
		}
	}
	b.stored = current
	b.outdated = nil
	for _, key := range outdated {
		if !attempt(key, "delete", func(ctx context.Context) error { return b.store.DeleteBlock(ctx, key) }) {
			b.outdated = append(b.outdated, key)
		}
	}
	return done
}

func lastWitnesses(witnesses []quarantine.End) []quarantine.End {
	return witnesses[max(0, len(witnesses)-maxStoredWitnesses):]
}

// claimTrial claims a trial of a block in the background, if this node is the one to do so.
func (b *blockSynchronizer) claimTrial(block *quarantine.Block) {
	if !b.isOwner(keyOfTrial+block.Key, "") {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if time.Since(b.claimedAt[block.Key]) < trialClaimInterval {
		return
	}
	for key, at := range b.claimedAt {
		if time.Since(at) > quarantine.BlockTTL {
			delete(b.claimedAt, key)
		}
	}
	b.claimedAt[block.Key] = time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), blockStoreTimeout)
		defer cancel()
		// The node that was to store the block may be gone.
		err := b.store.SaveBlock(ctx, block.Key, lastWitnesses(b.list.Witnesses(block)))
		granted := false
		if err == nil {
			granted, err = b.store.ClaimTrial(ctx, block.Key, block.TrialDelay())
		}
		b.logger.Info().Err(err).Str("block", block.Key).Bool("granted", granted).Msg("trial of blocked requests claimed")
		if granted {
			b.list.GrantTrial(block.Key)
		}
	}()
}

// keyOfTrial begins the name by which the node that claims a block's trials is chosen.
const keyOfTrial = "trial/"
