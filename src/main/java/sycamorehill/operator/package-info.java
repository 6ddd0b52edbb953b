/**
 * Contains the operators' HTTP interface: tickets, state, dump and metrics.
 */
package sycamorehill.operator;
