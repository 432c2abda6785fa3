// Package control implements the role of a control host.
//
// Every control host replicates the ledger and applies its records to the replicated state. The leader also tracks the
// workers that announce themselves, commits the decisions of package plan, sends the orders of package gang to the
// agents, and serves the HTTP interface of operators. The controllers exchange data through the sections of a Board.
// Placement, the steps of a gang and the state machine are left to packages plan, gang and registry, the encoding of
// messages to package wire.
package control
