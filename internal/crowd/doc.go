// Package crowd plays clients that do not keep to the limits of a server, for tests: each of them sends one kind of
// request and keeps its connection open. It also reads what the process under test uses of its memory and descriptors.
package crowd
