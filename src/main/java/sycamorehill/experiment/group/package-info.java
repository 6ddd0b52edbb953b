/**
 * Runs group control against models of engines, VM list, weight store and platform, in
 * one thread and in virtual time: for measurements and for tests over histories.
 */
package sycamorehill.experiment.group;
