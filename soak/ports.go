package soak

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and lastPort lie below the ports that systems give to outgoing
	// connections, which could otherwise take an address before it is used. The
	// demo, its test and the tests with processes use none of them.
	firstPort = 11_000
	lastPort  = 19_000
)

var errNoPort = eris.New("no free port on loopback")

// ports gives out addresses on loopback, each once. It is safe for concurrent use.
type ports struct {
	mutex sync.Mutex
	last  int
}

func newPorts() *ports {
	return &ports{last: firstPort + os.Getpid()%(lastPort-firstPort)}
}

// free returns an address that is free for TCP and UDP.
func (p *ports) free() (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for range lastPort - firstPort {
		p.last++
		if p.last >= lastPort {
			p.last = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", p.last)
		if isFree(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return datagrams.Close() == nil
}
