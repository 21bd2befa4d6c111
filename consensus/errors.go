package consensus

import "errors"

// Reasons for which ProposeChange and ReplaceConfiguration fail, in addition to distribution.ErrVersionMismatch.
var (
	// ErrUnanswered leaves open whether the change is accepted; it may be proposed again.
	ErrUnanswered = errors.New("consensus: no leader of the record has answered")
	// ErrChangeRefused says that the configuration record refuses the change however often it is proposed.
	ErrChangeRefused = errors.New("consensus: the record refuses the change")
)

// Why a connection between members ends early.
var (
	errNotMember     = errors.New("consensus: the caller's certificate names no member")
	errOtherID       = errors.New("consensus: the caller means another ID")
	errUnknownMember = errors.New("consensus: no address of that member is known")
)

// ConfigError says which key of a Config cannot be used, why, and what would do.
type ConfigError struct {
	// Key is that of the options, such as members or folder.
	Key string
	// Err is the reason.
	Err error
}

// Error has the key before the reason.
func (e *ConfigError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap gives the reason.
func (e *ConfigError) Unwrap() error { return e.Err }

// CallRefusedError says that a member has answered a call, and refuses it.
type CallRefusedError struct {
	// Reason is what the member has given.
	Reason string
}

// Error has the reason.
func (e *CallRefusedError) Error() string {
	return "consensus: the member refuses the call: " + e.Reason
}
