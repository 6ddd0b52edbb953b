/**
 * Targets put aside and taken back.
 */
package sycamorehill.logic.health;
