//go:build review

// Package lab holds the stand-ins of the review's cases: cache servers, a discovery agent, clients and the
// platform, which starts and watches the router. It uses the standard library alone.
package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Encode returns a command as an array of bulk strings.
func Encode(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return []byte(b.String())
}

// Bulk returns a bulk string.
func Bulk(text string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text) }

var errForm = errors.New("not in the form of the protocol")

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	if !strings.HasSuffix(line, "\r\n") || len(line) < 3 {
		return "", errForm
	}
	return line[:len(line)-2], nil
}

func readLength(line string, kind byte) (int, error) {
	if line[0] != kind {
		return 0, errForm
	}
	return strconv.Atoi(line[1:])
}

// ReadCommand reads a command.
func ReadCommand(r *bufio.Reader) ([]string, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	count, err := readLength(line, '*')
	if err != nil {
		return nil, err
	}
	var words []string
	for range count {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		size, err := readLength(line, '$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(r, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, nil
}

// ReadAnswer reads a router's answer to a request. A bulk string comes back as "$" and its text, an error as
// "-" and its text.
func ReadAnswer(r *bufio.Reader) (string, error) {
	line, err := readLine(r)
	if err != nil {
		return "", err
	}
	if line[0] != '$' {
		return line, nil
	}
	size, err := readLength(line, '$')
	if err != nil || size < 0 {
		return line, err
	}
	text := make([]byte, size+2)
	if _, err := io.ReadFull(r, text); err != nil {
		return "", err
	}
	return "$" + string(text[:size]), nil
}

// Option returns the value of one of a request's options.
func Option(options, name string) string {
	for _, option := range strings.Split(options, ",") {
		if key, value, _ := strings.Cut(option, "="); key == name {
			return value
		}
	}
	return ""
}
