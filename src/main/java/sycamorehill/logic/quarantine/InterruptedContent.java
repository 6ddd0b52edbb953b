package sycamorehill.logic.quarantine;

/**
 * Content that a target ran when it broke off.
 *
 * @param isolated whether no other suspect ran there
 * @param repeated whether a target had died running it before
 */
record InterruptedContent(boolean isolated, boolean repeated) {

}
