package impair

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

const maxDatagramBytes = 64 << 10

// Relay forwards datagrams between clients and one target address; each client address has a flow of its own. Its
// methods are safe for concurrent use.
type Relay struct {
	listener *net.UDPConn
	target   *net.UDPAddr
	mutex    sync.Mutex
	flows    map[string]*flow
	count    int
	active   sync.WaitGroup
}

// flow is the forwarding state for one client address, as a NAT device keeps it for a pair of addresses.
type flow struct {
	out           *net.UDPConn
	dropAll       atomic.Bool
	answersToDrop atomic.Int64
}

// NewRelay opens a loopback port and forwards to target until Close.
func NewRelay(target string) (r *Relay, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("relay to %s: %w", target, err)
		}
	}()
	r = &Relay{flows: map[string]*flow{}}
	if r.target, err = net.ResolveUDPAddr("udp", target); err != nil {
		return nil, err
	}
	if r.listener, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return nil, err
	}
	r.active.Go(r.forward)
	return r, nil
}

// Address returns the loopback address that clients use in place of the target's.
func (r *Relay) Address() string { return r.listener.LocalAddr().String() }

// DropFlows drops every later datagram of the flows that exist, in both directions; new flows are forwarded.
func (r *Relay) DropFlows() {
	for _, f := range r.allFlows() {
		f.dropAll.Store(true)
	}
}

// DropAnswers drops the next n datagrams from the target in each flow that exists.
func (r *Relay) DropAnswers(n int) {
	for _, f := range r.allFlows() {
		f.answersToDrop.Store(int64(n))
	}
}

// Flows returns the number of client addresses that have sent a datagram so far.
func (r *Relay) Flows() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.count
}

// Close closes the sockets and waits for the goroutines that forward.
func (r *Relay) Close() {
	_ = r.listener.Close()
	for _, f := range r.allFlows() {
		_ = f.out.Close()
	}
	r.active.Wait()
}

func (r *Relay) allFlows() (list []*flow) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, f := range r.flows {
		list = append(list, f)
	}
	return list
}

func (r *Relay) forward() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, client, err := r.listener.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		f, err := r.flow(client)
		if err != nil || f.dropAll.Load() {
			continue
		}
		_, _ = f.out.Write(buffer[:n])
	}
}

func (r *Relay) flow(client *net.UDPAddr) (f *flow, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if f, ok := r.flows[client.String()]; ok {
		return f, nil
	}
	f = &flow{}
	if f.out, err = net.DialUDP("udp", nil, r.target); err != nil {
		return nil, err
	}
	r.flows[client.String()] = f
	r.count++
	r.active.Go(func() { r.forwardAnswers(f, client) })
	return f, nil
}

// forwardAnswers forwards datagrams from the target to the client of a flow until its socket is closed.
func (r *Relay) forwardAnswers(f *flow, client *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := f.out.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || f.dropAll.Load() || f.answersToDrop.Add(-1) >= 0 {
			continue
		}
		_, _ = r.listener.WriteToUDP(buffer[:n], client)
	}
}
