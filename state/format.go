package state

// FormatMajor and FormatMinor are the version of the format that is written. A reader refuses a larger major
// version. It reads a larger minor version as far as it knows it, and keeps the fields that it does not know when it
// writes again.
const (
	FormatMajor = 1
	FormatMinor = 0
)
