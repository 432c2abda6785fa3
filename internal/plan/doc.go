// Package plan decides where jobs run: order, placement, reservation, backfill,
// borrowing, reclaim and the detection of faulty workers. A View and the time
// go in, decisions with their explanations come out.
package plan
