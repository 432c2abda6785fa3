// Package job describes gang jobs: what was asked for, where the members run,
// and how far the job has come.
package job
