// Package soak runs the real programs as separate processes on one machine and
// injects faults from outside: processes are stopped, paused, killed, restarted, get a share of a
// processor and lose their disks; disks of control hosts are full or take only a part of a write (a limit on the
// sizes of the files that the process writes, RLIMIT_FSIZE); a loopback proxy delays or resets connections to targets, or drops their
// data in one or both directions; targets crash, refuse requests and truncate responses;
// crowds of clients send no whole request.
// Clients, an operator and the targets record what they observe.
//
// A seed determines the schedule of the faults. A run passes or fails on invariants that
// must hold at any time (see oracle.go), not on the number of served requests.
//
//	cd soak && go test                          # the fixed seeds
//	cd soak && SOAK_FIRST=100 SOAK_SEEDS=50 go test -timeout 2h
//	cd soak && SOAK_SCALE=20 go test -timeout 2h         # 140 processes instead of 7
//	cd soak && SOAK_STARVED=1 SOAK_FIRST=100 SOAK_SEEDS=50 go test -timeout 2h -run 'seed_1..$'
//	cd soak && SOAK_CROWDS=1 SOAK_FIRST=100 SOAK_SEEDS=50 go test -timeout 2h -run 'seed_1..$'
package soak
