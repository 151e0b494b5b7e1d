// Package callback keeps functions that are called once, by a token that its owner passes through others.
package callback

// Registry holds functions by token. The zero value is empty.
type Registry struct {
	functions map[int64]func()
	last      int64
}

// Add keeps a function and returns its token. Tokens ascend from 1.
func (r *Registry) Add(function func()) int64 {
	if r.functions == nil {
		r.functions = map[int64]func(){}
	}
	r.last++
	r.functions[r.last] = function
	return r.last
}

// Call calls the function of the token and forgets it. An unknown token is ignored.
func (r *Registry) Call(token int64) {
	if function := r.functions[token]; function != nil {
		delete(r.functions, token)
		function()
	}
}
