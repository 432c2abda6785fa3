// Package admission limits the requests of each workspace and orders waiting requests by urgency and workspace. The
// limits come from the configuration; package entry moves the requests.
package admission
