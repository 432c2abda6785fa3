package impair

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

const datagramBytes = 64 << 10

// Relay is an address that forwards datagrams to another one; each client address is a flow of its own.
type Relay struct {
	listener *net.UDPConn
	target   *net.UDPAddr
	mutex    sync.Mutex
	flows    map[string]*flow
	total    int
	active   sync.WaitGroup
}

// flow is what a device between two ends keeps for one pair of addresses.
type flow struct {
	out    *net.UDPConn
	silent atomic.Bool
	lose   atomic.Int64
}

// NewRelay opens a loopback port that forwards to target.
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
	r.active.Go(r.run)
	return r, nil
}

// Address returns the address that clients use in place of the target's.
func (r *Relay) Address() string { return r.listener.LocalAddr().String() }

// Silence makes all flows that exist lose every datagram, while new flows pass.
func (r *Relay) Silence() {
	for _, f := range r.each() {
		f.silent.Store(true)
	}
}

// LoseAnswers makes each flow that exists lose the next n datagrams from the target.
func (r *Relay) LoseAnswers(n int) {
	for _, f := range r.each() {
		f.lose.Store(int64(n))
	}
}

// Flows returns the number of client addresses seen so far.
func (r *Relay) Flows() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.total
}

// Close ends forwarding.
func (r *Relay) Close() {
	_ = r.listener.Close()
	for _, f := range r.each() {
		_ = f.out.Close()
	}
	r.active.Wait()
}

func (r *Relay) each() (list []*flow) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, f := range r.flows {
		list = append(list, f)
	}
	return list
}

func (r *Relay) run() {
	buffer := make([]byte, datagramBytes)
	for {
		n, client, err := r.listener.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		f, err := r.flow(client)
		if err != nil || f.silent.Load() {
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
	r.total++
	r.active.Go(func() { r.back(f, client) })
	return f, nil
}

// back forwards the target's datagrams to the client of a flow.
func (r *Relay) back(f *flow, client *net.UDPAddr) {
	buffer := make([]byte, datagramBytes)
	for {
		n, err := f.out.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || f.silent.Load() || f.lose.Add(-1) >= 0 {
			continue
		}
		_, _ = r.listener.WriteToUDP(buffer[:n], client)
	}
}
