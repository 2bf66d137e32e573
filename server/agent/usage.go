package agent

import (
	"bytes"
	"encoding/json"
)

// usageTail is how much of an answer's end is kept to find its token counts.
// They stand in the last object of the customary answer.
const usageTail = 2 << 10

// usage finds the token counts in the end of an answer that passes through.
type usage struct {
	tail []byte
}

// Write keeps the end of what passes.
func (u *usage) Write(p []byte) {
	u.tail = append(u.tail, p...)
	if over := len(u.tail) - usageTail; over > 0 {
		u.tail = append(u.tail[:0], u.tail[over:]...)
	}
}

// Tokens returns the counts, zero where the answer tells none.
func (u *usage) Tokens() (prompt, generated int64) {
	const name = `"usage":`
	at := bytes.LastIndex(u.tail, []byte(name))
	if at < 0 {
		return 0, 0
	}
	var counts struct {
		Prompt     int64 `json:"prompt_tokens"`
		Completion int64 `json:"completion_tokens"`
	}
	if json.NewDecoder(bytes.NewReader(u.tail[at+len(name):])).Decode(&counts) != nil {
		return 0, 0
	}
	return max(counts.Prompt, 0), max(counts.Completion, 0)
}
