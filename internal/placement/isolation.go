package placement

import "time"

// StartupTime is the time after a start within which a crash of the worker points to the runs that have just started
// there. A run that resumes needs about half of it to load its checkpoint.
const StartupTime = 1500 * time.Millisecond
