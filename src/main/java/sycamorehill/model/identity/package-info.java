/**
 * Identifiers of nodes, VMs, targets, services, requests and calls, and network
 * addresses.
 */
package sycamorehill.model.identity;
