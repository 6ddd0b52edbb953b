package sycamorehill.operator;

/**
 * Why an operator's call was not carried out.
 *
 * @param detail one sentence for people
 */
public record OperatorError(String detail) {

}
