package rosemarywind

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"time"

	"rosemarywind.example/rosemarywind/internal/agent"
	"rosemarywind.example/rosemarywind/internal/control"
	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/ledger/storage"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/standin"
)

// addControls adds the control hosts and returns their QUIC addresses. It opens all ports first, because each host
// needs the addresses of all members.
func (s *System) addControls(now time.Time) (addresses []string, err error) {
	members := map[ledger.MemberID]string{}
	servers := make([]*link.Server, s.options.controls)
	material := make([]*keys.Reloader, s.options.controls)
	for i := range s.options.controls {
		name := fmt.Sprintf("c%d", i+1)
		if material[i], err = s.reloader("control", name, now); err != nil {
			return nil, err
		}
		if servers[i], err = link.Listen(loopback, material[i].Server()); err != nil {
			return nil, err
		}
		members[ledger.MemberID(name)] = servers[i].Address().String()
		addresses = append(addresses, servers[i].Address().String())
	}
	for i, server := range servers {
		if err = s.addControl(fmt.Sprintf("c%d", i+1), server, material[i], members); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

func (s *System) addControl(
	name string, server *link.Server, material *keys.Reloader, members map[ledger.MemberID]string,
) (err error) {
	folder, err := storage.OpenFolder(filepath.Join(s.folder, name))
	if err != nil {
		return err
	}
	store, saved, err := storage.Open(folder)
	if err != nil {
		return err
	}
	l, url, err := listen()
	if err != nil {
		return err
	}
	c, err := control.New(
		control.WithLogger(s.logger.Named(name)), control.WithTLS(material.Client("agent"), material.Client("control")), control.WithServer(server),
		control.WithListener(l), control.WithLeases(announceLease, s.taskLease),
		control.WithOperatorDigests([]string{keys.Digest(s.token)}),
		control.WithLedger(
			driver.WithMember(ledger.MemberID(name), server.Address().String()),
			driver.WithInitialMembers(members), driver.WithStorage(store, saved),
			driver.WithRandom(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		),
	)
	if err != nil {
		return err
	}
	s.controls = append(s.controls, c)
	s.controlURLs = append(s.controlURLs, url)
	s.roleFuncs = append(s.roleFuncs, c.Run)
	return nil
}

// announceLease is the duration of the announcement leases of agents.
const announceLease = 3 * time.Second

// addWorker adds a stand-in for a worker and its endpoint, and the agent beside it.
func (s *System) addWorker(i int, controls []string, now time.Time) (err error) {
	name := fmt.Sprintf("w%02d", i+1)
	l, url, err := listen()
	if err != nil {
		return err
	}
	stand := standin.New(name, s.accelerators, standin.WithLatency(s.latency))
	s.standins = append(s.standins, stand)
	s.roleFuncs = append(s.roleFuncs, func(ctx context.Context) error { return stand.Run(ctx, l) })
	material, err := s.reloader("agent", name, now)
	if err != nil {
		return err
	}
	server, err := link.Listen(loopback, material.Server())
	if err != nil {
		return err
	}
	rack := i / s.workersPerRack
	worker := fleet.NewWorker(name, "r1", fleet.AvailabilityZone(fmt.Sprintf("az%d", rack%s.zones+1)),
		fleet.Rack(fmt.Sprintf("rack%d", rack+1))).WithResources(workerCores, workerMemoryMB, s.accelerators)
	a := agent.New(
		agent.WithLogger(s.logger.Named(name)), agent.WithTLS(material.Client("control")),
		agent.WithPeerTLS(material.Client("agent")),
		agent.WithServer(server, server.Address().String()), agent.WithControl(controls),
		agent.WithWorker(worker, url), agent.WithEndpoint(url, s.slots, workerConnections),
	)
	s.agents = append(s.agents, a)
	s.roleFuncs = append(s.roleFuncs, a.Run)
	return nil
}

// The resources of each worker besides its accelerators and slots. workerConnections bounds the connections from an
// agent to its endpoint.
const (
	workerCores       = 32
	workerMemoryMB    = 64 << 10
	workerConnections = 64
)

func (s *System) addEntry(i int, controls []string, now time.Time) (err error) {
	name := fmt.Sprintf("e%d", i+1)
	material, err := s.reloader("entry", name, now)
	if err != nil {
		return err
	}
	l, url, err := listen()
	if err != nil {
		return err
	}
	e := entry.New(
		entry.WithLogger(s.logger.Named(name)), entry.WithTLS(material.Client("agent"), material.Client("control")),
		entry.WithControl(controls), entry.WithListener(l),
	)
	s.entries = append(s.entries, e)
	s.entryURLs = append(s.entryURLs, url)
	s.roleFuncs = append(s.roleFuncs, e.Run)
	return nil
}
