package driver_test

import (
	"sync"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
)

// network is an in-memory network between members in one process.
type network struct {
	mutex    sync.RWMutex
	nodes    map[string]*driver.Node[int]
	isolated map[string]bool
}

func newNetwork() *network {
	return &network{nodes: map[string]*driver.Node[int]{}, isolated: map[string]bool{}}
}

func (n *network) attach(address string, node *driver.Node[int]) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.nodes[address] = node
}

// isolate starts or stops dropping all messages from and to an address.
func (n *network) isolate(address string, isolated bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolated[address] = isolated
}

func (n *network) port(address string) driver.Transport { return port{network: n, address: address} }

type port struct {
	network *network
	address string
}

func (p port) Send(_ ledger.MemberID, address string, message []byte) {
	p.network.mutex.RLock()
	defer p.network.mutex.RUnlock()
	if to := p.network.nodes[address]; to != nil && !p.network.isolated[address] && !p.network.isolated[p.address] {
		to.Deliver("", message)
	}
}
