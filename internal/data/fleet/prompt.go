package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// maxPartIDBytes is the longest id of a part that is kept as it is.
const maxPartIDBytes = 64

// PromptPart is one part of a prompt, which may be shared with other requests.
type PromptPart struct {
	// ID identifies the content of the part. It has at most maxPartIDBytes bytes if NewPromptPart has set it.
	ID     string
	Tokens int
}

// NewPromptPart returns a part with the id that a caller has sent, or with a digest of it if it is long: hosts
// remember ids longer than requests.
func NewPromptPart(id string, tokens int) PromptPart {
	if len(id) > maxPartIDBytes {
		sum := sha256.Sum256([]byte(id))
		id = "sha256-" + hex.EncodeToString(sum[:16])
	}
	return PromptPart{ID: id, Tokens: tokens}
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last
// one, which is specific to the request or its session.
func (r *Request) SharedParts() []PromptPart {
	if len(r.Prompt) == 0 {
		return nil
	}
	return r.Prompt[:len(r.Prompt)-1]
}

// QuarantinedPart is a part of prompts that has crashed engines. Requests with it are refused.
type QuarantinedPart struct {
	// Part is the ID of a PromptPart.
	Part string `json:"part"`
	// Until is the end of the quarantine.
	Until time.Time `json:"until"`
	// Crashes is the number of crashes that led to the quarantine.
	Crashes int `json:"crashes"`
}
