package targetstatus

import "time"

// Forecast estimates how long it takes until a target would hold the model. RankForLoad compares targets by it
// and by how much longer a request runs there than at the fastest one, which Forecast leaves out.
func (a LoadTimes) Forecast(s Status) time.Duration { return a.forecast(s, s.SpeedPercent) }
