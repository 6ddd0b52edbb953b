/**
 * What all parts share towards the platform: how often and when they call it.
 */
package sycamorehill.logic.platform;
