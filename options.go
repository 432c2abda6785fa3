package rosemarywind

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

// Option configures a System.
type Option func(*options)

type options struct {
	logger         hclog.Logger
	folder         string
	controls       int
	entries        int
	workers        int
	workersPerRack int
	zones          int
	accelerators   int
	slots          int
	latency        time.Duration
	taskLease      time.Duration
}

// WithLogger sets the logger of all roles; by default nothing is logged.
func WithLogger(l hclog.Logger) Option { return func(o *options) { o.logger = l } }

// WithFolder sets the folder in which each control host gets a subfolder for its data. The default is the working
// directory.
func WithFolder(path string) Option { return func(o *options) { o.folder = path } }

// WithHosts sets the numbers of control hosts, entry hosts and workers. The default is 1, 2 and 11.
func WithHosts(controls, entries, workers int) Option {
	return func(o *options) { o.controls, o.entries, o.workers = controls, entries, workers }
}

// WithTopology sets the number of workers in each rack and the number of availability zones, to which the racks are
// assigned in turn. The default is 3 and 3.
func WithTopology(perRack, zones int) Option {
	return func(o *options) { o.workersPerRack, o.zones = perRack, zones }
}

// WithCapacity sets the numbers of accelerators and request slots of each worker. The default is 8 and 8.
func WithCapacity(accelerators, slots int) Option {
	return func(o *options) { o.accelerators, o.slots = accelerators, slots }
}

// WithLatency sets how long an endpoint runs each request; the default is 5 ms.
func WithLatency(d time.Duration) Option { return func(o *options) { o.latency = d } }

// WithTaskLease sets the duration of task leases; the default is 30 s.
func WithTaskLease(d time.Duration) Option { return func(o *options) { o.taskLease = d } }
