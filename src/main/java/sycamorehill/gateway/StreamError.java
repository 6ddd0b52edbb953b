package sycamorehill.gateway;

/**
 * The last event of a streamed answer that is not whole: no end mark follows it.
 *
 * @param error what went wrong
 */
record StreamError(ProblemBody error) {

}
