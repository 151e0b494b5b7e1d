// Package callback provides a registry of functions that are called once. Each function has an integer token,
// so that code which can store only a number can refer to it.
package callback

// Registry maps tokens to functions that have not been called yet. The zero value is empty and ready for use.
type Registry struct {
	functions map[int64]func()
	lastToken int64 // the token assigned last
}

// Add registers a function and returns its token. Tokens are assigned in ascending order from 1.
func (r *Registry) Add(function func()) int64 {
	if r.functions == nil {
		r.functions = map[int64]func(){}
	}
	r.lastToken++
	r.functions[r.lastToken] = function
	return r.lastToken
}

// Remove removes the function registered under the token without calling it. An unknown token is ignored.
func (r *Registry) Remove(token int64) { delete(r.functions, token) }

// Contains reports whether a function is registered under the token.
func (r *Registry) Contains(token int64) bool { return r.functions[token] != nil }

// Call removes the function registered under the token and calls it. An unknown token is ignored.
func (r *Registry) Call(token int64) {
	if function := r.functions[token]; function != nil {
		delete(r.functions, token)
		function()
	}
}
