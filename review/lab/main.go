package lab

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Env is what a case has at hand.
type Env struct {
	*Record
	// Root is the root of the repository, Temp a folder that is removed at the end.
	Root, Temp string
}

// Main runs a case in the root of the repository and ends the process with its exit code. folder is
// that of the case. run reports whether the rule was broken, or an error if the case couldn't run.
func Main(folder string, run func(*Env) (broken bool, err error)) { os.Exit(runCase(folder, run)) }

func runCase(folder string, run func(*Env) (bool, error)) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Println(err)
		return CannotRun
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return CannotRun
	}
	defer os.RemoveAll(temp)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		// The entry hosts end with this process.
		_ = os.RemoveAll(temp)
		os.Exit(CannotRun)
	}()
	record, err := NewRecord(filepath.Join(root, folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return CannotRun
	}
	defer record.Close()
	record.Say("trouble: %v", Trouble())
	broken, err := run(&Env{record, root, temp})
	switch {
	case err != nil:
		record.Say("could not run: %v", err)
		return CannotRun
	case broken:
		record.Say("the rule was BROKEN")
		return Broken
	}
	record.Say("the rule held")
	return Held
}
