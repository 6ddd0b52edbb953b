/**
 * Change tickets and the items whose whole new state they carry.
 */
package sycamorehill.model.ticket;
