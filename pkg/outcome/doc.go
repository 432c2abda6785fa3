// Package outcome defines the outcome of a caller's request, the reasons of a refusal or loss, and their forms in HTTP
// answers. Entry hosts and control hosts send these values; package client sends the requests.
package outcome
