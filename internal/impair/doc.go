// Package impair forwards UDP datagrams between processes and drops some of them, for tests of connections whose peer
// no longer answers.
package impair
