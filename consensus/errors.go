package consensus

import "errors"

// Reasons for which ProposeChange and ReplaceConfiguration fail, in addition to
// distribution.ErrVersionMismatch.
var (
	// ErrUnanswered means that it is unknown whether the proposed change has been or will be
	// accepted; the caller may propose the change again.
	ErrUnanswered = errors.New("consensus: no leader of the record has confirmed the change")
	// ErrChangeRefused means that the configuration record refuses the change, and would refuse the
	// same change again.
	ErrChangeRefused = errors.New("consensus: the record refuses the change")
)

// errNotProposed means, beside ErrUnanswered, that no leader can have accepted the change, because none
// was asked.
var errNotProposed = errors.New("consensus: the change was not proposed")

// Reasons for which a connection between members is refused.
var (
	errNotMember     = errors.New("consensus: the caller's certificate is not valid for the name of any member")
	errWrongID       = errors.New("consensus: the connection is for an ID that this member does not have now")
	errNoRoom        = errors.New("consensus: too many connections are open")
	errUnknownMember = errors.New("consensus: the settings have no address for the member")
)

// ConfigError names the key of a Config whose value cannot be used. Its reason says why, and how to
// correct it.
type ConfigError struct {
	// Key is the key in the options, such as members or folder.
	Key string
	// Err is the reason for which the value is refused.
	Err error
}

// Error returns the key, followed by the reason.
func (e *ConfigError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns Err, the reason for which the value is refused.
func (e *ConfigError) Unwrap() error { return e.Err }

// CallRefusedError means that a member answered a call by refusing it.
type CallRefusedError struct {
	// Reason is the reason for the refusal, as the member's answer states it.
	Reason string
}

// Error returns a message that ends with Reason.
func (e *CallRefusedError) Error() string {
	return "consensus: the member refuses the call: " + e.Reason
}
