/**
 * The callers' interface over HTTP; it moves bytes and never decides.
 */
package sycamorehill.gateway;
