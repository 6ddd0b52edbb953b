package sycamorehill.operator;

/**
 * Describes why an operator's call failed.
 *
 * @param detail one sentence for people
 */
public record OperatorError(String detail) {

}
