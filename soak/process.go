package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/storage/httpstorage"
)

const (
	region = "soak"
	// shutdownLag is how long a leaving node still accepts; balancerLag is how
	// long callers still choose a node that is ending.
	shutdownLag = 600 * time.Millisecond
	balancerLag = 200 * time.Millisecond
	// readyTimeout is how long a node may take until it is ready, also while
	// the store is down.
	readyTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
)

var (
	errNotReady = eris.New("the node was not ready in time")
	errAway     = eris.New("no node is there that is ready")
)

// process is one process of an entry node. The fleet's mutex guards life.
type process struct {
	// name is the VM's name; life.Name tells processes of one VM apart.
	name     string
	settings *settings.Settings
	node     *wigeontiller.Node
	gate     *gate
	life     NodeLife
}

// newProcess makes a node that has not started.
func (f *fleet) newProcess(ctx context.Context, place int, name string, addresses nodeAddresses) (*process, error) {
	client, err := httpstorage.NewClient(f.site.platformURL)
	if err != nil {
		return nil, err
	}
	made := &process{
		name: name,
		gate: &gate{platform: client},
		settings: &settings.Settings{
			Name:            name,
			DataCentre:      dataCentre(place),
			Region:          region,
			CallerAddress:   addresses.callers,
			OperatorAddress: addresses.operators,
			PeerAddress:     addresses.peers,
			PlatformURL:     f.site.platformURL,
			InProcessDemo:   true,
			OperatorTokens:  []settings.Secret{{Literal: operatorToken}},
			PeerKey:         settings.Secret{Literal: peerKey},
			ShutdownLag:     shutdownLag,
			Seeds:           f.seeds(),
		},
	}
	made.settings.Provision()
	made.life.Name = fmt.Sprintf("%s#%d", name, f.nextNumber())
	made.node, err = wigeontiller.New(ctx, made.settings, made.gate, f.site.logger.With().Str("process", made.life.Name).Logger())
	return made, err
}

// waitReady returns when the node is ready.
func (p *process) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !p.node.Ready() {
		select {
		case <-ctx.Done():
			return errNotReady
		case <-time.After(readyPoll):
		}
	}
	return nil
}
