package state

// FormatMajor and Minor are the format that is written. A file of a larger major is refused; one of a larger minor is read as far
// as it is known, and what is not known is kept.
const (
	FormatMajor = 1
	FormatMinor = 0
)
