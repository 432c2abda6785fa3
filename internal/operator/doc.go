// Package operator holds the verbs of the command line client: requests to the
// control hosts, key files, and the check of settings files.
package operator
