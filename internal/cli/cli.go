// Package cli dispatches the subcommands of the two binaries, poplarcroft (package
// hostcmd) and poplarctl (package ctlcmd). It prints the list of commands on a wrong or
// missing name, and defines the exit codes that scripts can rely on.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of both binaries.
const (
	// ExitOK reports success.
	ExitOK = 0
	// ExitFailure reports that the command failed.
	ExitFailure = 1
	// ExitUsage reports wrong arguments.
	ExitUsage = 2
	// ExitConflict reports that a change was rejected because it conflicts with an earlier one.
	ExitConflict = 3
	// ExitUnknown reports that a change may or may not have taken effect.
	ExitUnknown = 4
)

// Command is a subcommand. Run parses its own arguments and returns an exit code.
// Its context ends on an interrupt or a termination signal.
type Command struct {
	Name    string
	Summary string
	Run     func(ctx context.Context, args []string, stdout, stderr io.Writer) int
}

// Group returns a command that dispatches to subcommands of its own.
func Group(program, name, summary string, commands []Command) Command {
	return Command{
		Name:    name,
		Summary: summary,
		Run: func(ctx context.Context, args []string, stdout, stderr io.Writer) int {
			return Dispatch(ctx, program+" "+name, commands, args, stdout, stderr)
		},
	}
}

// Main runs the subcommand that the process's arguments name and returns its exit code.
// An interrupt or a termination signal ends the subcommand's context.
func Main(program string, commands []Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Dispatch(ctx, program, commands, os.Args[1:], os.Stdout, os.Stderr)
}

// Dispatch runs the subcommand that args name and returns its exit code.
func Dispatch(ctx context.Context, program string, commands []Command, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr, program, commands)
		return ExitUsage
	}
	for _, command := range commands {
		if command.Name == args[0] {
			return command.Run(ctx, args[1:], stdout, stderr)
		}
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		usage(stdout, program, commands)
		return ExitOK
	}
	fmt.Fprintf(stderr, "%s: unknown command %q\n", program, args[0])
	usage(stderr, program, commands)
	return ExitUsage
}

// usage prints the list of commands.
func usage(w io.Writer, program string, commands []Command) {
	fmt.Fprintf(w, "usage: %s COMMAND [flags]\n\n", program)
	for _, command := range commands {
		fmt.Fprintf(w, "  %-12s %s\n", command.Name, command.Summary)
	}
	fmt.Fprintf(w, "\n%s COMMAND -help shows a command's flags.\n", program)
}
