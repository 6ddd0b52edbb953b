package sycamorehill.engine;

import java.util.Optional;

import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.RecordedAnswer;

/**
 * How a call to a plain service ended.
 *
 * @param result the result for the decisions
 * @param answer the whole answer for the caller, if there is one
 */
public record PlainAnswer(AttemptResult result, Optional<RecordedAnswer> answer) {

}
