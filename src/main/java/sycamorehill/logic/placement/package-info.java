/**
 * Which node takes which duty.
 */
package sycamorehill.logic.placement;
