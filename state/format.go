package state

// FormatMajor and FormatMinor are the version of the format that is written. A reader rejects a larger major version.
// It reads a larger minor version and keeps its unknown fields when it writes the state again.
const (
	FormatMajor = 1
	FormatMinor = 0
)
