// Package driver runs a member of the replicated log. One goroutine owns the ledger.Core and feeds it with requests,
// messages and timer ticks; a second one writes to storage, and a third one owns the replicated application. The
// decisions are left to package ledger; the files and the network are behind the interfaces Storage and Transport.
package driver
