package sycamorehill.model.identity;

/**
 * Identifies one waiting call of an operator within one life of a node.
 *
 * @param number counts up
 */
public record OperatorCallIdentifier(long number) {

}
