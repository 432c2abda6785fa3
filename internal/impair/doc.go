// Package impair forwards datagrams between processes and loses some of them,
// for tests of connections that go silent.
package impair
