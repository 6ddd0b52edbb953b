package sycamorehill.logic.quarantine;

/**
 * Content that a target ran when its connection was lost.
 *
 * @param isolated whether the content ran on its target isolated from other suspects
 * @param repeated whether a target crashed running it before this attempt
 */
record InterruptedContent(boolean isolated, boolean repeated) {

}
