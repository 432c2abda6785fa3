package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/agent"
	"rosemarywind.example/rosemarywind/internal/control"
	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/intake"
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/ledger/storage"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/memory"
	"rosemarywind.example/rosemarywind/internal/operator"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/settings"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

func entryCommand() *cli.Command {
	return roleCommand("entry", "admit callers' requests and forward them", runEntry)
}

func agentCommand() *cli.Command {
	return roleCommand("agent", "serve beside an endpoint", runAgent)
}

func controlCommand() *cli.Command {
	return roleCommand("control", "keep the ledger, plan jobs and drive gangs", runControl)
}

// roleCommand returns the command that runs a role with a settings file.
func roleCommand(name, usage string, run func(ctx context.Context, file string) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE` (TOML)", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("settings"))
		},
	}
}

func runEntry(ctx context.Context, file string) error {
	s, err := settings.LoadEntry(file)
	if err != nil {
		return operator.SettingsError(err)
	}
	p, err := newProcess(ctx, "entry", s.Common, s.MemoryBytes())
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen().String())
	if err != nil {
		return err
	}
	e := entry.New(
		entry.WithLogger(p.logger), entry.WithTracer(p.tracing.Tracer()),
		entry.WithTLS(p.keys.Client("agent"), p.keys.Client("control")),
		entry.WithControl(addressStrings(s.ControlAddresses())), entry.WithListener(l),
		entry.WithBodyLimits(int(s.BodyBytes()), s.BufferedBytes()), entry.WithHeaderLimit(int(s.HeaderBytes())),
		entry.WithBodyRate(int(s.BodyRate())), entry.WithConnectionLimit(s.Connections()), entry.WithResources(p.resources),
		entry.WithReadTimeouts(s.HeaderTimeout(), s.BodyTimeout()), entry.WithQueueWait(s.QueueWait()),
		entry.WithDeadlines(s.DeadlineDefault(), s.DeadlineMax()),
		entry.WithRetries(s.RetrySharePercent(), s.RetryAttempts(), s.RetryBasePause()),
		entry.WithQuarantine(s.QuarantineFailures(), s.QuarantinePause()),
		entry.WithGrace(s.StopGrace()), entry.WithMetrics(p.registry),
	)
	registerEntryChecks(p.health, e.Board())
	return p.run(ctx, e.Run)
}

func runAgent(ctx context.Context, file string) error {
	s, err := settings.LoadAgent(file)
	if err != nil {
		return operator.SettingsError(err)
	}
	p, err := newProcess(ctx, "agent", s.Common, s.MemoryBytes())
	if err != nil {
		return err
	}
	server, err := link.Listen(s.Listen().String(), p.keys.Server())
	if err != nil {
		return err
	}
	worker := fleet.NewWorker(s.Name(), fleet.Region(s.Region()), fleet.AvailabilityZone(s.AvailabilityZone()),
		fleet.Rack(s.Rack())).WithResources(s.Cores(), s.MemoryMB(), s.Accelerators())
	a := agent.New(
		agent.WithLogger(p.logger), agent.WithTracer(p.tracing.Tracer()), agent.WithTLS(p.keys.Client("control")),
		agent.WithPeerTLS(p.keys.Client("agent")),
		agent.WithServer(server, s.Advertise().String()), agent.WithControl(addressStrings(s.ControlAddresses())),
		agent.WithWorker(worker, s.WorkerURL()), agent.WithEndpoint(s.EndpointURL(), s.Slots(), s.Connections()),
		agent.WithProbe(s.ProbeInterval(), s.ProbeTimeout()), agent.WithBodyLimit(int(s.BodyBytes())),
		agent.WithGrace(s.StopGrace()), agent.WithMetrics(p.registry),
	)
	registerAgentChecks(p.health, a.Board(), time.Now)
	return p.run(ctx, a.Run)
}

func runControl(ctx context.Context, file string) error {
	s, err := settings.LoadControl(file)
	if err != nil {
		return operator.SettingsError(err)
	}
	p, err := newProcess(ctx, "control", s.Common, s.MemoryBytes())
	if err != nil {
		return err
	}
	folder, err := storage.OpenFolder(s.Data())
	if err != nil {
		return err
	}
	store, saved, err := storage.Open(folder)
	if err != nil {
		return err
	}
	server, err := link.Listen(s.Listen().String(), p.keys.Server())
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.OperatorsListen().String())
	if err != nil {
		return err
	}
	members := map[ledger.MemberID]string{}
	for id, address := range s.Members() {
		members[ledger.MemberID(id)] = address.String()
	}
	c, err := control.New(
		control.WithLogger(p.logger), control.WithTracer(p.tracing.Tracer()), control.WithTLS(p.keys.Client("agent"), p.keys.Client("control")),
		control.WithPlanner(plan.WithWeights(s.CompletionWeight(), s.FragmentationWeight())),
		control.WithServer(server), control.WithListener(l), control.WithLeases(s.AnnounceLease(), s.TaskLease()),
		control.WithOperatorDigests(s.OperatorTokenDigests()), control.WithGrace(s.StopGrace()),
		control.WithClientLimits(s.BufferedBytes(), s.Connections(), int(s.BodyRate())),
		control.WithResources(p.resources),
		control.WithMonitor(p.monitorHandler()), control.WithMetrics(p.registry),
		control.WithLedger(
			driver.WithMember(ledger.MemberID(s.Name()), s.Listen().String()), driver.WithInitialMembers(members),
			driver.WithStorage(store, saved), driver.WithRandom(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		),
	)
	if err != nil {
		return err
	}
	registerControlChecks(p.health, c.Status)
	p.listen = netip.AddrPort{}
	return p.run(ctx, c.Run)
}

func addressStrings(addresses []netip.AddrPort) []string {
	list := make([]string, len(addresses))
	for i, a := range addresses {
		list[i] = a.String()
	}
	return list
}

// process holds what all roles need: logs, traces, keys, metrics, health checks and the port for metrics and health.
// The address listen is invalid for the control role, which serves metrics and health on its operators' port.
type process struct {
	logger   hclog.Logger
	tracing  *telemetry.Tracing
	keys     *keys.Reloader
	registry *telemetry.Registry
	health   *telemetry.Health
	listen   netip.AddrPort

	resources intake.Resources
}

// newProcess sets up logging, tracing, keys and the use of memory from the settings, before the role opens a port. It wraps
// each error with operator.BadSettings.
func newProcess(ctx context.Context, role string, s settings.Common, memoryBytes int64) (p *process, err error) {
	defer func() {
		if err != nil {
			err = operator.SettingsError(fmt.Errorf("start %s: %w", role, err))
		}
	}()
	origin := telemetry.NewOrigin(role, s.Name(), s.AvailabilityZone())
	p = &process{
		logger:   telemetry.NewLogger(os.Stderr, s.Telemetry().LogLevel(), origin),
		registry: telemetry.NewRegistry(), health: telemetry.NewHealth(), listen: s.OperatorsListen(),
		resources: useResources(memoryBytes),
	}
	p.tracing, err = telemetry.NewTracing(ctx, origin, telemetry.WithFile(s.Telemetry().TraceFile()),
		telemetry.WithOTLP(s.Telemetry().TraceOTLP()),
		telemetry.WithOnError(telemetry.NewErrorReporter(p.logger, p.registry.Counter(telemetry.TraceFailuresMetric), telemetry.TraceFailureMessage)))
	if err != nil {
		return nil, err
	}
	if p.keys, err = loadKeys(role, s, p); err != nil {
		return nil, err
	}
	p.registry.GaugeFunc(telemetry.KeyExpiryMetric, func() int64 {
		return int64(time.Until(p.keys.ExpiresAt()).Seconds())
	})
	return p, nil
}

// useResources makes the garbage collector keep to the memory of the settings, or to that of the host if they state none.
// It returns what the process may use.
func useResources(memoryBytes int64) intake.Resources {
	bytes := cmp.Or(memoryBytes, memory.Available(os.DirFS("/")))
	memory.CollectWithin(bytes)
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return intake.NewResources(bytes, 0)
	}
	return intake.NewResources(bytes, int(min(descriptors.Cur, math.MaxInt32)))
}

// loadKeys loads the key files of the settings. It returns an error if the certificate is for another role or name.
func loadKeys(role string, s settings.Common, p *process) (r *keys.Reloader, err error) {
	r, err = keys.NewReloader(s.Keys().Certificate(), s.Keys().Key(), s.Keys().Authority(),
		keys.WithOnError(telemetry.NewErrorReporter(p.logger, p.registry.Counter(telemetry.KeyFailuresMetric), telemetry.KeyFailureMessage)))
	if err != nil {
		return nil, err
	}
	if id := r.Identity(); id.Role() != role || id.Name() != s.Name() {
		return nil, fmt.Errorf("keys.certificate: %s is for %s, not for %s/%s", s.Keys().Certificate(), id, role, s.Name())
	}
	return r, nil
}

func (p *process) monitorHandler() http.Handler { return telemetry.Handler(p.registry, p.health) }

// run runs a role, and serves metrics and health until the role ends.
func (p *process) run(ctx context.Context, role func(context.Context) error) (err error) {
	p.logger.Info("started")
	defer func() { p.logger.Info("ended", "error", err) }()
	defer func() { _ = p.tracing.Shutdown(context.WithoutCancel(ctx)) }()
	var g errgroup.Group
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if p.listen.IsValid() {
		l, err := net.Listen("tcp", p.listen.String())
		if err != nil {
			return err
		}
		server := &http.Server{
			Handler: intake.IgnoreBodies(p.monitorHandler()), ReadHeaderTimeout: monitorTimeout, WriteTimeout: monitorTimeout,
			IdleTimeout: time.Minute,
		}
		sizes := intake.NewServerSizes(monitorBytes, monitorBytes, monitorBytes)
		limits := intake.NewServerLimits(sizes, p.monitorConnections(), intake.DefaultPace())
		// The metrics of the role's own limiter have the same names.
		limiter := intake.NewLimiter(limits, telemetry.NewRegistry(), p.logger, time.Now)
		limiter.Prepare(server)
		g.Go(func() error {
			if err := server.Serve(limiter.Listen(l, 1)); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		g.Go(func() error {
			<-inner.Done()
			return server.Close()
		})
	}
	g.Go(func() error {
		defer cancel()
		return role(ctx)
	})
	return g.Wait()
}

const (
	// monitorTimeout bounds the reading of a request for metrics or health and the writing of its answer.
	monitorTimeout = 5 * time.Second
	// monitorBytes bounds the head of such a request, and the bodies of all of them from one address.
	monitorBytes = 16 << 10
	// maxMonitorConnections bounds the connections of collectors of metrics.
	maxMonitorConnections = 64
	// monitorShare is the part of the descriptors that these connections may take.
	monitorShare = 1.0 / 8
)

// monitorConnections returns how many connections of collectors of metrics may be open.
func (p *process) monitorConnections() int {
	if n := p.resources.Descriptors(); n > 0 {
		return min(int(monitorShare*float64(n)), maxMonitorConnections)
	}
	return maxMonitorConnections
}
