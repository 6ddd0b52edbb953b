package sycamorehill.model.identity;

/**
 * Identifies one pending call of an operator within one incarnation of a node.
 *
 * @param number the sequence number of the call
 */
public record OperatorCallIdentifier(long number) {

}
