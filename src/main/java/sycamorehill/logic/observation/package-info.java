/**
 * Which target VMs were seen, and in which state.
 */
package sycamorehill.logic.observation;
