/**
 * HTTP by library: clients without retries of their own, bounded bodies, server-sent
 * events.
 */
package sycamorehill.http;
