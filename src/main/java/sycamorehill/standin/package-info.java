/**
 * Small stand-ins of outside systems: platform, VM list, weight store, engines and plain
 * services.
 */
package sycamorehill.standin;
