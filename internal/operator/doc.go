// Package operator implements the commands of the command line client: requests to the control hosts, the creation of
// keys and tokens, and the check of settings files. The requests themselves are in package client, the commands that
// start a role in the main package.
package operator
