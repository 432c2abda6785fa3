// Package telemetry sets up the logs, metrics, traces and health checks of a process and
// serves them over HTTP. The packages that produce them choose the names, the values and
// the checks; only the metrics that every process has are defined here.
package telemetry
