// Package instance ends the processes of instances, which their keepers start
// again.
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

// Instances are those whose process ids stand in a folder.
type Instances struct {
	folder string
}

// New returns the instances of a run's folder.
func New(folder string) *Instances {
	return &Instances{folder: folder}
}

// Kill ends an instance at once.
func (i *Instances) Kill(number int) error { return i.signal(number, syscall.SIGKILL) }

// Stop asks an instance to stop gracefully.
func (i *Instances) Stop(number int) error { return i.signal(number, syscall.SIGTERM) }

// Pause stops the threads of an instance, and Resume lets them go on.
func (i *Instances) Pause(number int) error { return i.signal(number, syscall.SIGSTOP) }

// Resume undoes Pause.
func (i *Instances) Resume(number int) error { return i.signal(number, syscall.SIGCONT) }

func (i *Instances) signal(number int, s syscall.Signal) error {
	data, err := os.ReadFile(filepath.Join(i.folder, fmt.Sprintf("instance-%d.pid", number)))
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
