/**
 * HTTP clients without automatic retries, and readers for bodies of bounded size and
 * server-sent events.
 */
package sycamorehill.http;
