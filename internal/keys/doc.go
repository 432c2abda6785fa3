// Package keys issues certificates for a trial, configures mutual TLS between
// the system's processes, and makes and compares bearer tokens.
package keys
