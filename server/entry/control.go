package entry

import (
	"context"
	"errors"

	"cowsliptiller/coord/fault"
)

// controlError reads an error of a call to control. One that carries no kind
// came from the way there: control may have carried the call out or not.
func controlError(err error) error {
	if err == nil {
		return nil
	}
	var known *fault.Error
	if errors.As(err, &known) {
		return err
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return err
	}
	return fault.New(fault.Unavailable, "no answer of control")
}
