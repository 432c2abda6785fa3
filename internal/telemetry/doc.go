// Package telemetry sets up the logs, metrics, traces and health of a process.
package telemetry
