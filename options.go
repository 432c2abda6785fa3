package rosemarywind

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

// Option sets a part of a System.
type Option func(*options)

type options struct {
	logger       hclog.Logger
	folder       string
	controls     int
	entries      int
	workers      int
	perRack      int
	zones        int
	accelerators int
	slots        int
	latency      time.Duration
	taskLease    time.Duration
}

// WithLogger sets the logger of all roles.
func WithLogger(l hclog.Logger) Option { return func(o *options) { o.logger = l } }

// WithFolder sets the folder below which each control host keeps its data.
func WithFolder(path string) Option { return func(o *options) { o.folder = path } }

// WithHosts sets the numbers of control hosts, entry hosts and workers.
func WithHosts(controls, entries, workers int) Option {
	return func(o *options) { o.controls, o.entries, o.workers = controls, entries, workers }
}

// WithPlaces sets the workers in a rack and the number of availability zones.
func WithPlaces(perRack, zones int) Option {
	return func(o *options) { o.perRack, o.zones = perRack, zones }
}

// WithCapacity sets the accelerators and the slots of each worker.
func WithCapacity(accelerators, slots int) Option {
	return func(o *options) { o.accelerators, o.slots = accelerators, slots }
}

// WithLatency sets how long the stand-ins run each request.
func WithLatency(d time.Duration) Option { return func(o *options) { o.latency = d } }

// WithTaskLease sets the length of the leases of tasks.
func WithTaskLease(d time.Duration) Option { return func(o *options) { o.taskLease = d } }
