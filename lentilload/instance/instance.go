// Package instance sends signals to the processes of instances, which are
// restarted by their supervisors, and reads their metrics.
package instance

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// Instances are the instances of a run, found by the files with their process
// ids.
type Instances struct {
	pidFolder string
}

// New returns the instances whose process ids are in the files
// instance-N.pid of a folder; N starts at 1.
func New(pidFolder string) *Instances {
	return &Instances{pidFolder: pidFolder}
}

// Kill sends SIGKILL to an instance, so that it ends without cleanup.
func (i *Instances) Kill(number int) error { return i.signal(number, syscall.SIGKILL) }

// Stop sends SIGTERM to an instance, so that it stops gracefully.
func (i *Instances) Stop(number int) error { return i.signal(number, syscall.SIGTERM) }

// Pause suspends the process of an instance until Resume.
func (i *Instances) Pause(number int) error { return i.signal(number, syscall.SIGSTOP) }

// Resume continues the process of an instance after Pause.
func (i *Instances) Resume(number int) error { return i.signal(number, syscall.SIGCONT) }

func (i *Instances) signal(number int, s syscall.Signal) error {
	data, err := os.ReadFile(filepath.Join(i.pidFolder, fmt.Sprintf("instance-%d.pid", number)))
	if err != nil {
		return merry.Wrap(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		return merry.Wrap(err)
	}
	if err := syscall.Kill(pid, s); err != nil {
		return merry.Wrap(err)
	}
	return nil
}
