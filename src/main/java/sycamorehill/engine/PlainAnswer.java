package sycamorehill.engine;

import java.util.Optional;

import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.RecordedAnswer;

/**
 * The result of a call to a plain service.
 *
 * @param result the result of the attempt
 * @param answer the complete answer for the caller, if there is one
 */
public record PlainAnswer(AttemptResult result, Optional<RecordedAnswer> answer) {

}
