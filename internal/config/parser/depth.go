package parser

import "bytes"

// MaxDepth is how deep arrays and objects may be nested in a document.
const MaxDepth = 100

// FindDeepNesting returns the offset at which the arrays and objects of a JSON text, with or without comments, are nested
// deeper than MaxDepth, -1 if there is none. Decoders that recurse into them overflow the stack, which ends the process.
func FindDeepNesting(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		case '[', '{':
			if depth++; depth > MaxDepth {
				return i
			}
		case ']', '}':
			depth--
		}
	}
	return -1
}

// CountValues returns the number of objects of a JSON text, and of commas, which separate its values. What follows an
// error in the text may not be counted.
func CountValues(text []byte) (objects, commas int) {
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		case '{':
			objects++
		case ',':
			commas++
		}
	}
	return objects, commas
}

// endOfString returns the offset of the quote that ends the string at an offset, or the end of the text.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++ // the next byte is escaped
		case '"':
			return i
		}
	}
	return len(text)
}

// endOfComment returns the offset of the last byte of the comment at an offset, or the end of the text. What is no comment
// there is invalid.
func endOfComment(text []byte, start int) int {
	if start+1 >= len(text) {
		return len(text)
	}
	end, found := []byte("\n"), text[start+1] == '/'
	if text[start+1] == '*' {
		end, found = []byte("*/"), true
	}
	if !found {
		return start
	}
	if n := bytes.Index(text[start+2:], end); n >= 0 {
		return start + 2 + n + len(end) - 1
	}
	return len(text)
}
