//go:build !linux

package node

import "time"

func monotonic() time.Duration { return sinceStart() }
