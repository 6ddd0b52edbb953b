/**
 * Observes the target VMs of a data centre and shares the observations among its nodes.
 */
package sycamorehill.logic.observation;
