package statefile

import (
	"fmt"
	"strconv"
	"strings"
)

// fileKind is the last byte of a file's magic number.
type fileKind byte

const (
	snapshotFile fileKind = 'S'
	logFile      fileKind = 'L'

	snapshotPrefix = "snapshot"
	logPrefix      = "log"

	// temporaryName is the file name of a snapshot until it is complete and synced.
	temporaryName = "next"
)

func fileName(kind fileKind, generation uint64) string {
	prefix := logPrefix
	if kind == snapshotFile {
		prefix = snapshotPrefix
	}
	return fmt.Sprintf("%s-%08d", prefix, generation)
}

// parseFileName returns the kind and the generation of the file with a name, as the inverse of fileName. ok is false
// for other files of the folder, such as the lock.
func parseFileName(name string) (kind fileKind, generation uint64, ok bool) {
	prefix, number, _ := strings.Cut(name, "-")
	generation, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0, 0, false
	}
	switch prefix {
	case snapshotPrefix:
		return snapshotFile, generation, true
	case logPrefix:
		return logFile, generation, true
	default:
		return 0, 0, false
	}
}
