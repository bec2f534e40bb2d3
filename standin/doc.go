// Package standin simulates the platform, the engines and the plain services of a
// deployment on loopback addresses.
package standin
