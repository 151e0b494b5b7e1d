package resp

import (
	"bytes"
	"errors"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"marlstage/policy"
)

// Verbs are the names of the commands.
const (
	VerbGet  = "C.GET"
	VerbSet  = "C.SET"
	VerbPing = "PING"
	VerbQuit = "QUIT"
)

// Indexes of the arguments in Command.Args.
const (
	VerbArgument = iota
	KeyArgument
	IDArgument
	OptionsArgument
	ValueArgument // of a C.SET only
)

// Errors in a command that has been received completely. Their texts are sent to the client.
var (
	ErrArgumentSize   = errors.New("an argument is empty or too long")
	ErrValueTooLong   = errors.New("the value is too long")
	ErrInvalidTimeout = errors.New("d is not a number of milliseconds")
	ErrMissingOption  = errors.New("c and d are needed")
)

// ArgumentCountError reports a command with too many or too few arguments. Its text is sent to the
// client.
type ArgumentCountError struct {
	Verb string // as the client sent it
}

func (e *ArgumentCountError) Error() string {
	return "wrong number of arguments for " + e.Verb
}

// Command is a C.GET or C.SET command of a client.
type Command struct {
	Args              [][]byte // as received; indexed by VerbArgument and the following constants
	Size              int      // size on the wire in bytes
	Write             bool     // whether this is a C.SET
	KeyHash           uint64
	Class             string
	Tenant            string
	Timeout           policy.Time // how long the client waits for the reply
	Cost              policy.Time // cost that the client expects; 0 if it sent none
	HasIdempotencyKey bool

	// The digits of the timeout are Args[OptionsArgument][timeoutStart:timeoutEnd]. timeoutEnd is 0
	// until the option has been found.
	timeoutStart int
	timeoutEnd   int
}

// ParseCommand parses the arguments of a C.GET or C.SET that took size bytes on the wire. The
// returned command retains args.
func ParseCommand(args [][]byte, size int) (Command, error) {
	c := Command{
		Args:  args,
		Size:  size,
		Write: strings.EqualFold(string(args[VerbArgument]), VerbSet),
	}
	if err := c.checkArguments(); err != nil {
		return c, err
	}
	c.KeyHash = hashKey(args[KeyArgument])
	if err := c.parseOptions(string(args[OptionsArgument])); err != nil {
		return c, err
	}
	return c, nil
}

func (c *Command) checkArguments() error {
	count := OptionsArgument + 1
	if c.Write {
		count = ValueArgument + 1
	}
	if len(c.Args) != count {
		return &ArgumentCountError{Verb: string(c.Args[VerbArgument])}
	}
	for _, arg := range c.Args[:OptionsArgument+1] {
		if len(arg) == 0 || len(arg) > MaxArgumentSize {
			return ErrArgumentSize
		}
	}
	if c.Write && len(c.Args[ValueArgument]) > MaxValueSize {
		return ErrValueTooLong
	}
	return nil
}

func hashKey(key []byte) uint64 {
	h := fnv.New64a()
	h.Write(key)
	return h.Sum64()
}

// Names of the options.
const (
	optionClass          = "c"
	optionTenant         = "t"
	optionTimeout        = "d" // in milliseconds
	optionIdempotencyKey = "k"
	optionCost           = "h" // in microseconds
)

// parseOptions parses the options argument, a comma-separated list of name=value.
func (c *Command) parseOptions(options string) error {
	for start := 0; start < len(options); {
		end := len(options)
		if comma := strings.IndexByte(options[start:], ','); comma >= 0 {
			end = start + comma
		}
		if err := c.parseOption(options[start:end], end); err != nil {
			return err
		}
		start = end + 1
	}
	if c.Class == "" || c.timeoutEnd == 0 {
		return ErrMissingOption
	}
	return nil
}

// parseOption parses one option, which ends at the given index of the options argument. Options with
// unknown names are ignored here and forwarded unchanged.
func (c *Command) parseOption(option string, end int) error {
	name, value, _ := strings.Cut(option, "=")
	switch name {
	case optionClass:
		c.Class = value
	case optionTenant:
		c.Tenant = value
	case optionTimeout:
		return c.parseTimeout(value, end)
	case optionIdempotencyKey:
		c.HasIdempotencyKey = value != ""
	case optionCost:
		if cost, err := strconv.ParseInt(value, 10, 64); err == nil && cost > 0 {
			c.Cost = cost
		}
	}
	return nil
}

func (c *Command) parseTimeout(value string, end int) error {
	milliseconds, err := strconv.ParseInt(value, 10, 32)
	repeated := c.timeoutEnd > 0
	if err != nil || milliseconds < 0 || repeated {
		return ErrInvalidTimeout
	}
	c.Timeout = milliseconds * microsecondsPerMillisecond
	c.timeoutStart = end - len(value)
	c.timeoutEnd = end
	return nil
}

// Extra bytes reserved for parts of an encoded command that may be longer than in the client's command.
const (
	timeoutGrowth = 8  // for the digits of the timeout
	frameGrowth   = 32 // for the lengths in front of the arguments
)

// Encode returns the encoded command with the client's arguments, except that the timeout is replaced
// by the given one. The timeout is rounded down to milliseconds and is at least 1 ms.
func (c *Command) Encode(timeout policy.Time) []byte {
	options := c.optionsWithTimeout(timeout)
	b := redcon.AppendArray(make([]byte, 0, c.Size+frameGrowth), len(c.Args))
	for i, arg := range c.Args {
		if i == OptionsArgument {
			arg = options
		}
		b = redcon.AppendBulk(b, arg)
	}
	return b
}

// DropArguments drops all arguments but the verb and the id, so that the memory of the command can be reused. The
// command can't be encoded any more.
func (c *Command) DropArguments() {
	args := make([][]byte, IDArgument+1)
	args[VerbArgument] = bytes.Clone(c.Args[VerbArgument])
	args[IDArgument] = bytes.Clone(c.Args[IDArgument])
	c.Args = args
}

func (c *Command) optionsWithTimeout(timeout policy.Time) []byte {
	options := c.Args[OptionsArgument]
	b := make([]byte, 0, len(options)+timeoutGrowth)
	b = append(b, options[:c.timeoutStart]...)
	b = strconv.AppendInt(b, max(1, timeout/microsecondsPerMillisecond), 10)
	return append(b, options[c.timeoutEnd:]...)
}
