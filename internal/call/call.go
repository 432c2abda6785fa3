package call

import "rosemarywind.example/rosemarywind/internal/batch"

// Call is a request of a caller or an operator to the leader.
//
//sumtype:decl
type Call interface{ call() }

// Target identifies the queue or job that a caller's request addresses, and carries the caller's key.
type Target struct {
	host string
	path string
	key  string
}

// NewTarget returns the target of a request to a path on a host name; the key is empty for a caller without one.
func NewTarget(host, path, key string) Target { return Target{host: host, path: path, key: key} }

// Host returns the host name that the request was sent to.
func (t Target) Host() string { return t.host }

// Path returns the path of the request: the prefix of a queue, followed by a job's id if the request names a job.
func (t Target) Path() string { return t.path }

// Key returns the caller's key, or an empty string.
func (t Target) Key() string { return t.key }

// Submit requests that a job is accepted.
type Submit struct {
	target   Target
	document []byte
}

// Read requests the state of a job, or the number of pending jobs of a queue if the path names no job.
type Read struct{ target Target }

// Cancel requests the cancellation of a job.
type Cancel struct{ target Target }

// Declare requests that a declaration replaces the one in force.
type Declare struct{ document []byte }

// ReadDeclaration requests the declaration in force.
type ReadDeclaration struct{}

// StartWave requests the start of a maintenance wave.
type StartWave struct{ wave batch.Wave }

// ReadWave requests the state of a maintenance wave.
type ReadWave struct{ number int64 }

// Evacuate requests that nothing more starts in an availability zone.
type Evacuate struct{ zone, reason string }

// Reopen requests that an evacuated availability zone is used again.
type Reopen struct{ zone string }

// Ping has no effect; like every reply, its reply names the leader and the control hosts.
type Ping struct{}

func (Submit) call()          {}
func (Read) call()            {}
func (Cancel) call()          {}
func (Declare) call()         {}
func (ReadDeclaration) call() {}
func (StartWave) call()       {}
func (ReadWave) call()        {}
func (Evacuate) call()        {}
func (Reopen) call()          {}
func (Ping) call()            {}

// NewEvacuate returns the call that evacuates a zone; the reason may be empty.
func NewEvacuate(zone, reason string) Evacuate { return Evacuate{zone: zone, reason: reason} }

// Zone returns the name of the availability zone.
func (c Evacuate) Zone() string { return c.zone }

// Reason returns why the zone is evacuated, or an empty string.
func (c Evacuate) Reason() string { return c.reason }

// NewReopen returns the call that ends the evacuation of a zone.
func NewReopen(zone string) Reopen { return Reopen{zone: zone} }

// Zone returns the name of the availability zone.
func (c Reopen) Zone() string { return c.zone }

// NewStartWave returns the call that starts a maintenance wave.
func NewStartWave(w batch.Wave) StartWave { return StartWave{wave: w} }

// Wave returns the wave to start.
func (c StartWave) Wave() batch.Wave { return c.wave }

// NewReadWave returns the call that requests the state of the wave with the given number.
func NewReadWave(number int64) ReadWave { return ReadWave{number: number} }

// Number returns the number that the operator assigned to the wave.
func (c ReadWave) Number() int64 { return c.number }

// NewSubmit returns the call that submits a job.
func NewSubmit(t Target, document []byte) Submit { return Submit{target: t, document: document} }

// Target returns the path of the submitted job in its queue, with the caller's key.
func (c Submit) Target() Target { return c.target }

// Document returns the job specification as the caller sent it.
func (c Submit) Document() []byte { return c.document }

// NewRead returns the call that requests the state of a job or queue.
func NewRead(t Target) Read { return Read{target: t} }

// Target returns the job or queue whose state is requested, with the caller's key.
func (c Read) Target() Target { return c.target }

// NewCancel returns the call that cancels a job.
func NewCancel(t Target) Cancel { return Cancel{target: t} }

// Target returns the job to cancel, with the caller's key.
func (c Cancel) Target() Target { return c.target }

// NewDeclare returns the call that replaces the declaration in force.
func NewDeclare(document []byte) Declare { return Declare{document: document} }

// Document returns the declaration as the operator sent it.
func (c Declare) Document() []byte { return c.document }
