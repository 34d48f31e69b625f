package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/wigeontiller/wigeontiller"
	"github.com/wigeontiller/wigeontiller/storage"
)

// nodeAddresses are where a node listens.
type nodeAddresses struct{ callers, operators, peers string }

// fleet is the entry nodes, each at a place. The mutex guards the fields below
// it and the lives of processes.
type fleet struct {
	site *site

	mutex  sync.Mutex
	number int
	// places holds the process at each place, or the last one that was there.
	places []*process
	// all holds every process there ever was.
	all      []*process
	versions []VersionSample
	counters []CounterRead
	sampling conc.WaitGroup
}

func newFleet(s *site, nodes int) *fleet {
	return &fleet{site: s, places: make([]*process, nodes)}
}

// startAll starts the first process at each place. All know all addresses.
func (f *fleet) startAll(ctx context.Context) error {
	var seeds []string
	var addresses []nodeAddresses
	for range f.places {
		given, err := f.newAddresses()
		if err != nil {
			return err
		}
		addresses = append(addresses, given)
		seeds = append(seeds, given.peers)
	}
	for place := range f.places {
		made, err := f.newProcess(ctx, place, placeName(place), addresses[place])
		if err != nil {
			return err
		}
		made.settings.Seeds = seeds
		if err := f.start(ctx, place, made); err != nil {
			return err
		}
	}
	return nil
}

func placeName(place int) string {
	return fmt.Sprintf("entry-%c", 'a'+place)
}

func (f *fleet) newAddresses() (given nodeAddresses, err error) {
	for _, address := range []*string{&given.callers, &given.operators, &given.peers} {
		if *address, err = f.site.ports.free(); err != nil {
			return given, err
		}
	}
	return given, nil
}

// restart starts a process in place of one that has ended, under its name and
// addresses or under new ones.
func (f *fleet) restart(ctx context.Context, place int, detail string) error {
	ended := f.at(place)
	name := ended.name
	addresses := nodeAddresses{ended.settings.CallerAddress, ended.settings.OperatorAddress, ended.settings.PeerAddress}
	if detail == newName {
		name = fmt.Sprintf("%s-%d", placeName(place), f.nextNumber())
		var err error
		if addresses, err = f.newAddresses(); err != nil {
			return err
		}
	}
	made, err := f.newProcess(ctx, place, name, addresses)
	if err != nil {
		return err
	}
	return f.start(ctx, place, made)
}

// start starts a process and returns when it is ready.
func (f *fleet) start(ctx context.Context, place int, made *process) error {
	f.mutex.Lock()
	f.all = append(f.all, made)
	f.places[place] = made
	f.mutex.Unlock()
	err := made.node.Start()
	if err == nil {
		err = made.waitReady(ctx)
	}
	f.mutex.Lock()
	if err != nil {
		made.life.Problem = err.Error()
	} else {
		made.life.Ready = f.site.clock.now()
	}
	f.mutex.Unlock()
	f.listVMs()
	if err == nil {
		f.sampling.Go(func() { f.sample(made) })
	}
	return err
}

// listVMs tells the platform's list of the processes as they are.
func (f *fleet) listVMs() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var vms []storage.VM
	for _, one := range f.places {
		if one == nil {
			continue
		}
		vm := storage.VM{Name: one.name, DataCentre: one.settings.DataCentre, Region: region, State: storage.Live, PeerAddress: one.settings.PeerAddress}
		if one.life.Leaving > 0 {
			vm.State = storage.Leaving
		}
		vms = append(vms, vm)
	}
	f.site.platform.SetVMs(vms)
}

func (f *fleet) nextNumber() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.number++
	return f.number
}

func (f *fleet) at(place int) *process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.places[place]
}

// seeds are the peer addresses of the processes that are there.
func (f *fleet) seeds() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var seeds []string
	for _, one := range f.places {
		if one != nil {
			seeds = append(seeds, one.settings.PeerAddress)
		}
	}
	return seeds
}

// begin sets the time from which all times count.
func (f *fleet) begin() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.site.clock.restart()
	f.versions = nil
	for _, one := range f.all {
		one.life.Ready = 1
	}
}

// rotation is the processes that callers choose from: a balancer needs some
// time to notice that one is ending.
func (f *fleet) rotation() []*process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.site.clock.now()
	var chosen []*process
	for _, one := range f.places {
		if one == nil || one.life.Ready == 0 {
			continue
		}
		if end := one.life.end(); end == 0 || now < end+balancerLag {
			chosen = append(chosen, one)
		}
	}
	return chosen
}

// live is the processes that are ready and not ending.
func (f *fleet) live() []*process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var live []*process
	for _, one := range f.places {
		if one != nil && one.life.Ready > 0 && one.life.end() == 0 {
			live = append(live, one)
		}
	}
	return live
}

func (f *fleet) processes() []*wigeontiller.Node {
	var nodes []*wigeontiller.Node
	for _, one := range f.live() {
		nodes = append(nodes, one.node)
	}
	return nodes
}

// stop shuts every process down that still lives.
func (f *fleet) stop(ctx context.Context) error {
	var failures []error
	for place, one := range f.places {
		if one != nil && one.life.end() == 0 {
			failures = append(failures, f.shutDown(ctx, place))
		}
	}
	f.sampling.Wait()
	return errors.Join(failures...)
}
