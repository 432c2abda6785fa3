package call

import "rosemarywind.example/rosemarywind/internal/batch"

// Call is what a caller or an operator asks.
//
//sumtype:decl
type Call interface{ call() }

// Target is where a caller's request was sent: a host name, a path and the caller's key.
type Target struct {
	host string
	path string
	key  string
}

// NewTarget returns the place of a request.
func NewTarget(host, path, key string) Target { return Target{host: host, path: path, key: key} }

// Host returns the host name.
func (p Target) Host() string { return p.host }

// Path returns the path.
func (p Target) Path() string { return p.path }

// Key returns the caller's key, or an empty string.
func (p Target) Key() string { return p.key }

// Submit hands in a job.
type Submit struct {
	target   Target
	document []byte
}

// Read asks for the state of a job, or for the pending jobs of a queue when the path names no job.
type Read struct{ target Target }

// Cancel ends a job.
type Cancel struct{ target Target }

// Declare puts a declaration in force.
type Declare struct{ document []byte }

// ReadDeclaration asks for the newest declaration.
type ReadDeclaration struct{}

// StartWave begins a wave of maintenance.
type StartWave struct{ wave batch.Wave }

// ReadWave asks how far a wave is.
type ReadWave struct{ number int64 }

// Ping asks for nothing; its reply names the control hosts.
type Ping struct{}

func (Submit) call()          {}
func (Read) call()            {}
func (Cancel) call()          {}
func (Declare) call()         {}
func (ReadDeclaration) call() {}
func (StartWave) call()       {}
func (ReadWave) call()        {}
func (Ping) call()            {}

// NewStartWave returns the call that begins a wave of maintenance.
func NewStartWave(w batch.Wave) StartWave { return StartWave{wave: w} }

// Wave returns the wave.
func (c StartWave) Wave() batch.Wave { return c.wave }

// NewReadWave returns the call that asks how far the wave of a number is.
func NewReadWave(number int64) ReadWave { return ReadWave{number: number} }

// Number returns the number of the wave.
func (c ReadWave) Number() int64 { return c.number }

// NewSubmit returns the call that hands in a job.
func NewSubmit(p Target, document []byte) Submit { return Submit{target: p, document: document} }

// Target returns where the request was sent.
func (c Submit) Target() Target { return c.target }

// Document returns the job as the caller sent it.
func (c Submit) Document() []byte { return c.document }

// NewRead returns the call that asks for a job's or a queue's state.
func NewRead(p Target) Read { return Read{target: p} }

// Target returns where the request was sent.
func (c Read) Target() Target { return c.target }

// NewCancel returns the call that ends a job.
func NewCancel(p Target) Cancel { return Cancel{target: p} }

// Target returns where the request was sent.
func (c Cancel) Target() Target { return c.target }

// NewDeclare returns the call that puts a declaration in force.
func NewDeclare(document []byte) Declare { return Declare{document: document} }

// Document returns the declaration as the operator sent it.
func (c Declare) Document() []byte { return c.document }
