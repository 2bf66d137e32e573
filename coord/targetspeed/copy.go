package targetspeed

import "maps"

// Copy returns a copy that shares nothing with f.
func (f *Factors) Copy() *Factors {
	return &Factors{epoch: f.epoch, known: maps.Clone(f.known), medians: maps.Clone(f.medians)}
}

// Copy returns a copy that shares nothing with s.
func (s *Samples) Copy() *Samples {
	return &Samples{unsent: maps.Clone(s.unsent), newest: maps.Clone(s.newest)}
}
