// Package workspace is the aggregate of one workspace: its rate and burst in tokens
// over the whole fleet.
//
// One Owner, on the control leader, keeps the bucket of each workspace. A Holder on
// each entry host draws small grants from it, charges requests against them, and
// returns what it does not use. The wire between them is rpc.DrawRequest and
// rpc.DrawResponse, which have the shape of Draw and Reply.
//
// The bound that all rules here serve: the tokens charged in any window, over all
// hosts and less what was refunded, are at most rate x window + burst.
//
// Owner and Holder hold plain data and no lock. Whoever shares one between
// goroutines puts one mutex around it, and takes no other lock under that mutex.
package workspace
