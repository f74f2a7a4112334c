// Package client is a client of the system's public interface. It asks the
// directory which addresses to use, caches the answer for the time that the
// directory gives, and retries only requests that certainly did not run.
package client
