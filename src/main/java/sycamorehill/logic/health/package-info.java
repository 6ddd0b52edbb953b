/**
 * Outlier ejection: targets that fail, stall or respond slowly receive no requests for a
 * while.
 */
package sycamorehill.logic.health;
