package disk

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the part of a file system that the store uses. All names are those of
// files in one folder.
type FS interface {
	// Create opens an empty file for writing.
	Create(name string) (File, error)
	// Open opens an existing file for writing.
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of the files.
	List() ([]string, error)
	// SyncDir makes created, renamed and removed names durable.
	SyncDir() error
	// Lock locks the folder until the result is closed. It returns ErrLocked
	// while another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Close() error
}

// ErrLocked means that another process uses the data folder.
var ErrLocked = errors.New("disk: the data folder is in use by another process")

const (
	folderMode = 0o700
	fileMode   = 0o600
)

type osFS struct{ folder string }

// NewFS returns the file system of the folder, which it creates if needed.
func NewFS(folder string) (FS, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, err
	}
	return osFS{folder}, nil
}

func (fs osFS) path(name string) string { return filepath.Join(fs.folder, name) }

func (fs osFS) Create(name string) (File, error) {
	return os.OpenFile(fs.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (fs osFS) Open(name string) (File, error) {
	return os.OpenFile(fs.path(name), os.O_WRONLY, fileMode)
}

func (fs osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(fs.path(name)) }

func (fs osFS) Rename(from, to string) error { return os.Rename(fs.path(from), fs.path(to)) }

func (fs osFS) Remove(name string) error { return os.Remove(fs.path(name)) }

func (fs osFS) List() ([]string, error) {
	files, err := os.ReadDir(fs.folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, f := range files {
		names = append(names, f.Name())
	}
	return names, nil
}

func (fs osFS) SyncDir() error {
	dir, err := os.Open(fs.folder)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (fs osFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(fs.path(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrLocked
	}
	return nil, err
}
