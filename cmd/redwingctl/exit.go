package main

import (
	"errors"
	"flag"
	"slices"

	"github.com/redwingpath/redwingpath/pkg/operator"
	"github.com/redwingpath/redwingpath/pkg/opslang"
)

// Exit codes, documented in rootHelp.
const (
	exitDone           = 0
	exitFailed         = 1
	exitUsage          = 2
	exitMalformed      = 3
	exitConflict       = 4
	exitNotAccepted    = 5
	exitOutcomeUnknown = 6
	exitUnauthorized   = 7
	exitNotReady       = 8
)

var (
	errUsage    = errors.New("wrong usage")
	errNotReady = errors.New("the host is not ready")
)

var exitCodeByFailure = map[operator.Code]int{
	operator.CodeUnauthorized:   exitUnauthorized,
	operator.CodeMalformed:      exitMalformed,
	operator.CodeConflict:       exitConflict,
	operator.CodeNotAccepted:    exitNotAccepted,
	operator.CodeRateLimited:    exitNotAccepted,
	operator.CodeOutcomeUnknown: exitOutcomeUnknown,
	operator.CodeInternal:       exitOutcomeUnknown,
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error, args []string) int {
	var failure *operator.Error
	var findings opslang.Findings
	var unanswered *unansweredError
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, flag.ErrHelp):
		return helpExitCode(args)
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errNotReady):
		return exitNotReady
	case errors.As(err, &unanswered):
		return exitOutcomeUnknown
	case errors.As(err, &findings):
		return exitMalformed
	case errors.As(err, &failure):
		return exitCodeByFailure[failure.Code]
	default:
		return exitFailed
	}
}

// helpExitCode returns exitDone if the arguments request help, and exitUsage if help
// is shown because the command is missing.
func helpExitCode(args []string) int {
	requested := slices.ContainsFunc(args, func(arg string) bool {
		return arg == "-h" || arg == "-help" || arg == "--help"
	})
	if requested {
		return exitDone
	}
	return exitUsage
}
