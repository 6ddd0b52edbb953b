/**
 * The operators' interface over HTTP: tickets, state and dump.
 */
package sycamorehill.operator;
