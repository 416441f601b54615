package intake

// StringEnd returns the index after the JSON string that begins at data[start], for scans that count what a body holds
// before it is decoded.
func StringEnd(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}
