package discovery

import (
	"bytes"
	"slices"
	"strings"
)

// duplicateKey returns the first of the given keys that occurs twice at the top
// level of a JSON object, or an empty string. The decoder would silently use the
// last occurrence. Like the decoder, it ignores case. The JSON has to be valid.
func duplicateKey(object []byte, keys ...string) string {
	seen := make([]bool, len(keys))
	depth := 0
	for i := 0; i < len(object); i++ {
		switch object[i] {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case '"':
			begin := i + 1
			i = stringEnd(object, begin)
			if depth != 1 || !isKey(object[i+1:]) {
				continue
			}
			position := slices.IndexFunc(keys, func(key string) bool { return strings.EqualFold(key, string(object[begin:i])) })
			if position < 0 {
				continue
			}
			if seen[position] {
				return keys[position]
			}
			seen[position] = true
		}
	}
	return ""
}

// stringEnd returns the index of the closing quote of the string whose content
// begins at the given index.
func stringEnd(json []byte, begin int) int {
	for i := begin; i < len(json); i++ {
		switch json[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(json) - 1
}

// isKey reports whether a string is a key of an object, given the JSON that
// follows the string.
func isKey(following []byte) bool {
	following = bytes.TrimLeft(following, " \t\r\n")
	return len(following) > 0 && following[0] == ':'
}
