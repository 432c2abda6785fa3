package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// forwarder passes datagrams on and can lose the state of the flows that are open.
type forwarder struct {
	front *net.UDPConn
	back  *net.UDPAddr
	mutex sync.Mutex
	flows map[string]*flow
}

// flow is the datagrams of one source address.
type flow struct {
	conn   *net.UDPConn
	silent atomic.Bool
}

func newForwarder(front, back string) (f *forwarder, err error) {
	f = &forwarder{flows: map[string]*flow{}}
	if f.back, err = net.ResolveUDPAddr("udp", back); err != nil {
		return nil, err
	}
	address, err := net.ResolveUDPAddr("udp", front)
	if err != nil {
		return nil, err
	}
	if f.front, err = net.ListenUDP("udp", address); err != nil {
		return nil, err
	}
	go f.run()
	return f, nil
}

func (f *forwarder) close() {
	_ = f.front.Close()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, w := range f.flows {
		_ = w.conn.Close()
	}
}

func (f *forwarder) run() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := f.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		w := f.flow(from)
		if w != nil && !w.silent.Load() {
			_, _ = w.conn.Write(buffer[:n])
		}
	}
}

// flow returns the flow of a source, opened if it is new.
func (f *forwarder) flow(from *net.UDPAddr) *flow {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if w, ok := f.flows[from.String()]; ok {
		return w
	}
	conn, err := net.DialUDP("udp", nil, f.back)
	if err != nil {
		return nil
	}
	w := &flow{conn: conn}
	f.flows[from.String()] = w
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			if !w.silent.Load() {
				_, _ = f.front.WriteToUDP(buffer[:n], from)
			}
		}
	}()
	return w
}

// silence WORKER sets a forwarder before an agent, and drops all flows that are open at a repeated call.
func (s *script) silence(args []string) (err error) {
	name := args[0]
	number := int(name[1] - '0')
	f, ok := s.forwards[name]
	if !ok {
		front := s.address(agentPort + 50 + number)
		f, err = newForwarder(front, s.address(agentPort+number))
		s.forwards[name] = f
		if err != nil {
			return err
		}
		return s.edit(name+".toml", "name = \""+name+"\"\n", fmt.Sprintf("name = %q\nadvertise = %q\n", name, front))
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, w := range f.flows {
		w.silent.Store(true)
	}
	return nil
}
